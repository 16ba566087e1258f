"""Decisions over endpoints that hold ranges of a model's layers."""
