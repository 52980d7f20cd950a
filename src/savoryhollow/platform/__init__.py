"""The adapter to the users' platform: its names, its store and its settings file."""
