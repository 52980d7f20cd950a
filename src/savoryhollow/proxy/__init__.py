"""The path of a request on an event loop: front, router, gate."""
