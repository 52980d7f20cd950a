"""Stand-ins for the platform, backend servers, the link and callers."""
