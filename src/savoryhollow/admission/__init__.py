"""Admission: which request holds a slot of the backend server, and when."""
