"""Clients of the platform's log service, instance list and weight store."""
