"""HTTP client for the backend server, built on urllib3."""
