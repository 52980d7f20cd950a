"""Soak test: real daemon processes run under faults, and guarantees are checked."""
