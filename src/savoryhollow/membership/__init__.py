"""Membership: which endpoints exist, and in which state."""
