"""Membership: which endpoints exist and what state they are in."""
