"""Benchmarks of the whole system with real processes."""
