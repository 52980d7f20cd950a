"""HTTP/1.1 on an event loop: a server for callers and a client for backend servers."""
