"""Configuration published by operators: models, merging, validation, routes."""
