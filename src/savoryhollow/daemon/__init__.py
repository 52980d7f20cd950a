"""The daemon, one process beside each backend server."""
