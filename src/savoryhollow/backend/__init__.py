"""Towards backend servers: HTTP through urllib3."""
