"""A monotonic clock that keeps counting while the machine is suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since the machine was booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
