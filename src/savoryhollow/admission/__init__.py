"""Admission control: decides which requests get a slot of the backend server."""
