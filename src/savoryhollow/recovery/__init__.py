"""Recovery: outcomes of past requests, and whether a request may be retried."""
