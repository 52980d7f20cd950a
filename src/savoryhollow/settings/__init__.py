"""Settings of a process: models, validation and loading."""
