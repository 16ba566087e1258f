"""An event loop whose clock jumps to the next timer, so that sleeping takes no time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for code without sockets; time advances between callbacks only."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def _run_once(self) -> None:
        if not self._ready:
            # A cancelled timer would make the loop wait in real time for the next one.
            times = (t.when() for t in self._scheduled if not t.cancelled())
            self.now = max(self.now, min(times, default=self.now))
        super()._run_once()


def run_virtual(work: Coroutine) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
