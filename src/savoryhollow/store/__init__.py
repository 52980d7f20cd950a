"""The platform's configuration service, which can only be read."""
