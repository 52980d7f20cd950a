"""Routing: which endpoint gets a request, and what happens when it fails."""
