"""HTTP/1.1 on an event loop: callers' connections and backend servers'."""
