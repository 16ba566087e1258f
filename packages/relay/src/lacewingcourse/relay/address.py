"""IP addresses with ports."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    Raises:
        ValueError: There is no port.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"no port in {address!r}")
    return host, int(port)
