"""Measurements of the whole system on one machine."""
