"""Read the platform's read-only configuration service and share it with peers."""
