"""Placement and routing for endpoints that each hold a range of a model's layers."""
