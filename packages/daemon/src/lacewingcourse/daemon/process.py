"""What a part of a daemon needs of the process that it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from lacewingcourse.wire.client import PeerClient


class Process(Protocol):
    """The process of a part; parts extend this by what else they need.

    Attributes:
        peers: Client for messages to other processes.
    """

    peers: PeerClient

    def now(self) -> float:
        """Return the present time in seconds on a clock that never goes back."""

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work in the background until it ends."""

    def supervise(self, loop: Callable[[], Coroutine]) -> asyncio.Task:
        """Run a loop in the background; after an error it begins again."""
