"""Real daemons as separate processes, faults from outside, promises checked."""
