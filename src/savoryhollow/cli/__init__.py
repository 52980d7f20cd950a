"""The ``savoryhollow`` command-line interface."""
