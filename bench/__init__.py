"""Measurements of the project; each module is a command of its own."""
