"""Parses IP addresses with ports."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    Raises:
        ValueError: The address has no port.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"address {address!r} has no port")
    return host, int(port)
