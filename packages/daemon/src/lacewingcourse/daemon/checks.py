"""Checks of the values of settings; each raises ValueError with a clear reason."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from lacewingcourse.core.registry import Registry

#: Characters of a secret at the least.
SECRET_LENGTH = 16
#: Characters of a name at the most.
NAME_LENGTH = 128


def url(value: str) -> str:
    """Check a base URL with a host and no path."""
    parts = urlsplit(value)
    try:
        usable = parts.scheme in ("http", "https") and parts.hostname
        parts.port  # noqa: B018  (raises ValueError for a bad port)
    except ValueError:
        usable = False
    extra = parts.path or parts.query or parts.fragment or parts.username
    if not usable or extra or not printable(value):
        raise ValueError(f"{value!r} is not a base URL such as http://10.0.0.1:8000")
    return value


def advertised(value: str) -> str:
    """Check a base URL under which peers can reach a process: IP number and port."""
    parts = urlsplit(url(value))
    try:
        address = ipaddress.ip_address(parts.hostname)
    except ValueError:
        raise ValueError(f"{value!r} does not name an IP number") from None
    if address.is_unspecified:
        raise ValueError(f"{value!r} is no address that peers can reach")
    if not parts.port:
        raise ValueError(f"{value!r} does not name a port")
    return value


def address(value: str) -> str:
    """Check an IP number."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{value!r} is not an IP number") from None
    return value


def name(value: str) -> str:
    """Check the name of an instance, a zone or a service."""
    if not re.fullmatch(r"[A-Za-z0-9._-]+", value) or len(value) > NAME_LENGTH:
        raise ValueError(
            f"{value!r} is not a name of 1 to {NAME_LENGTH} letters, digits, '.', "
            "'_' or '-'"
        )
    return value


def name_or_empty(value: str) -> str:
    """Check a name that may be left empty."""
    return name(value) if value else value


def whole_number(value: str) -> int:
    """Check a whole number."""
    try:
        return int(value)
    except ValueError:
        raise ValueError(f"{value!r} is not a whole number") from None


def port(value: str) -> int:
    """Check a TCP port number; 0 lets the system choose."""
    number = whole_number(value)
    if not 0 <= number <= 65535:
        raise ValueError(f"{value} is not a port between 0 and 65535")
    return number


def positive(value: str) -> float:
    """Check a number above zero."""
    try:
        number = float(value)
    except ValueError:
        raise ValueError(f"{value!r} is not a number") from None
    if not number > 0 or math.isinf(number):
        raise ValueError(f"{value} is not a number above 0")
    return number


def count(value: str) -> int:
    """Check a whole number of at least 1."""
    number = whole_number(value)
    if number < 1:
        raise ValueError(f"{value} is not a whole number of at least 1")
    return number


def secret(value: str) -> str:
    """Check a secret; its value is never part of the reason."""
    if len(value) < SECRET_LENGTH:
        raise ValueError(f"shorter than {SECRET_LENGTH} characters")
    if not printable(value):
        raise ValueError("has characters other than printable ASCII without spaces")
    return value


def printable(value: str) -> bool:
    """Tell whether a text is printable ASCII without spaces."""
    return re.fullmatch(r"[!-~]*", value) is not None


def boolean(value: str) -> bool:
    """Check a yes or no."""
    lowered = str(value).lower()
    if lowered in ("1", "true", "yes", "on"):
        return True
    if lowered in ("0", "false", "no", "off"):
        return False
    raise ValueError(f"{value!r} is neither true nor false")


def one_of(*names: str):
    """Return a check for one of some names."""

    def check(value: str) -> str:
        if value not in names:
            raise ValueError(f"{value!r} is not one of {', '.join(names)}")
        return value

    return check


def registered(registry: Registry):
    """Return a check for a name that is in a registry."""
    return one_of(*registry.names())
