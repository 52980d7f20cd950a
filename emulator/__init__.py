"""Emulated platform, backend servers, link and callers, for tests and benchmarks."""
