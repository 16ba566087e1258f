"""Stand-ins for outside systems, a fault proxy and a local launcher."""
