"""The event-loop daemon: front, router and gate."""
