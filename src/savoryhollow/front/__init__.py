"""Towards callers: plain HTTP/1.1."""
