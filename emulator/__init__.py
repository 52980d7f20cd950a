"""Emulated platform, backend servers, region link and callers, for tests."""
