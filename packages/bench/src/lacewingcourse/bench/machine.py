"""Processor time and memory of processes, read from /proc."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Clock ticks a second in /proc.
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
#: Fields of /proc/PID/stat behind the name: user and system ticks.
USER_FIELD, SYSTEM_FIELD = 11, 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far, 0.0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def busy_cores() -> tuple[float, float]:
    """Return the processor seconds that the whole machine was busy and idle so far."""
    fields = [
        int(each) for each in Path("/proc/stat").read_text().split("\n")[0][3:].split()
    ]
    idle = fields[3] + fields[4]
    return (sum(fields[:8]) - idle) / TICKS, idle / TICKS


@attrs.frozen
class CpuUse:
    """Processor use between two moments.

    Attributes:
        seconds: Time between them.
        cores: Cores that each group used, by name.
        machine: Share of the whole machine that was busy, 0 to 1.
    """

    seconds: float
    cores: dict[str, float]
    machine: float

    def text(self) -> str:
        """Return the use as one line."""
        parts = [f"{name} {cores:.2f}" for name, cores in self.cores.items()]
        return f"cores: {', '.join(parts)}; machine {self.machine:.0%} busy"


class CpuMeter:
    """Measures groups of processes from its making on.

    Attributes:
        groups: Process ids by name of the group.
    """

    def __init__(self, groups: Mapping[str, Iterable[int]]) -> None:
        self.groups = {name: list(pids) for name, pids in groups.items()}
        self.started_at = time.monotonic()
        self.before = self._read()
        self.machine_before = busy_cores()

    def _read(self) -> dict[str, float]:
        return {
            name: sum(cpu_seconds(pid) for pid in pids)
            for name, pids in self.groups.items()
        }

    def read(self) -> CpuUse:
        """Return the use since the meter was made."""
        seconds = time.monotonic() - self.started_at
        now = self._read()
        busy, idle = busy_cores()
        busy -= self.machine_before[0]
        idle -= self.machine_before[1]
        cores = {
            name: (now[name] - before) / seconds for name, before in self.before.items()
        }
        return CpuUse(seconds, cores, busy / max(busy + idle, 1e-9))
