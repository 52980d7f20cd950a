"""Recovery: what became of a request, and whether it may be placed again."""
