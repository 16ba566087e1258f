"""An event loop whose clock jumps to the next timer, so that waits take no time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without sockets of its own whose time passes only between events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        """Return the time that has passed in the play, seconds."""
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0].when())
        super()._run_once()


def run_virtual(work: Coroutine) -> Any:
    """Run a coroutine in virtual time; return what it returns."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
