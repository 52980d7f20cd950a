"""The adapter to the users' platform: its words, its store, its settings file."""
