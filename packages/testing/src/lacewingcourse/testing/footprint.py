"""What a process and the kernel hold for its connections."""

from __future__ import annotations

import os
import threading
import time
from pathlib import Path

import attrs

#: Seconds between two samples.
SAMPLE_INTERVAL = 0.01
#: State of a listening socket in the kernel's table.
LISTENING = "0A"
MEBIBYTE = 1024 * 1024


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def unread_bytes(ports: frozenset[int]) -> int:
    """Return the bytes that the kernel holds unread for connections of some ports."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != LISTENING and int(fields[1].partition(":")[2], 16) in ports:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@attrs.define
class Footprint:
    """Samples what a process holds until it is stopped.

    Attributes:
        pid: The process.
        ports: Ports that it listens on.
        peak_bytes: Most resident and unread bytes together.
        peak_unread: Most unread bytes.
        peak_descriptors: Most open descriptors.
    """

    pid: int
    ports: frozenset[int]
    peak_bytes: int = 0
    peak_unread: int = 0
    peak_descriptors: int = 0
    stopped: threading.Event = attrs.field(factory=threading.Event)
    thread: threading.Thread | None = None

    def __enter__(self) -> Footprint:
        self.thread = threading.Thread(target=self.run)
        self.thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stopped.set()
        self.thread.join()

    def run(self) -> None:
        """Take samples until stopped or until the process is gone."""
        while not self.stopped.is_set():
            try:
                self.sample()
            except OSError:
                return
            time.sleep(SAMPLE_INTERVAL)

    def sample(self) -> None:
        """Take one sample."""
        unread = unread_bytes(self.ports)
        total = resident_bytes(self.pid) + unread
        self.peak_unread = max(self.peak_unread, unread)
        self.peak_bytes = max(self.peak_bytes, total)
        self.peak_descriptors = max(self.peak_descriptors, descriptors(self.pid))
