"""Load generator for the callers' interface."""
