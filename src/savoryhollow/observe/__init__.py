"""What operators see: events, metrics, dumps and placement records."""
