"""Measurements of the whole system, on real processes."""
