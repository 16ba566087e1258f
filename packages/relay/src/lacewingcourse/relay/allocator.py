"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

#: Parameters of the C library's `mallopt`.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
#: Bytes from which a block is mapped by itself, so that its memory returns to the
#: system when it is freed. The library raises this to the largest block freed, and
#: large bodies then leave holes between small objects.
MAPPED_BYTES = 256 * 1024
#: Bytes free at the end of the heap above which they are returned to the system.
TRIMMED_BYTES = 4 * 1024 * 1024


def return_large_blocks() -> bool:
    """Let large blocks return to the system when freed; return whether that is so.

    Other C libraries than glibc have no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_mapped = mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    return bool(is_mapped and mallopt(M_TRIM_THRESHOLD, TRIMMED_BYTES))
