"""Read the platform's configuration service and share its documents with peers."""
