"""The configuration that operators publish: models, folder merge, acceptance."""
