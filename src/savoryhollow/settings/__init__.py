"""Models, validation and loading of the settings of a process."""
