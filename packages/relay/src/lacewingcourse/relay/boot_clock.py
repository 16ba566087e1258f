"""A clock that does not stand still while the machine is suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since the machine was started, suspended ones among them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
