"""Observability: events, metrics and records of requests, for operators."""
