"""Sends messages to each receiver in batches, one batch in flight at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")

#: Items of one batch at the most.
BATCH_LIMIT = 256


class Outbox(Generic[T]):
    """Items that wait for one receiver.

    While a batch is in flight, new items collect for the next one, so the number of
    requests follows the receiver's speed and not the number of items.

    Attributes:
        items: Items that wait.
        send: Sends a batch; it does its own retries.
        spawn: Runs work in the background.
        clock: Returns the present time in seconds.
        busy_since: When the batch in flight was first sent, or None.
    """

    def __init__(
        self,
        send: Callable[[list[T]], Awaitable[None]],
        spawn: Callable[[Any], Any],
        clock: Callable[[], float],
    ) -> None:
        self.items: list[T] = []
        self.send = send
        self.spawn = spawn
        self.clock = clock
        self.busy_since: float | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing is in flight."""
        return self.busy_since is None

    def wait(self) -> float:
        """Return the seconds that the batch in flight has waited for its receipt."""
        return 0.0 if self.busy_since is None else self.clock() - self.busy_since

    def put(self, item: T) -> None:
        """Add an item and send as soon as the receiver is free."""
        self.items.append(item)
        if self.busy_since is None:
            self.busy_since = self.clock()
            self.spawn(self._drain())

    async def _drain(self) -> None:
        try:
            while self.items:
                self.busy_since = self.clock()
                batch = self.items[:BATCH_LIMIT]
                del self.items[:BATCH_LIMIT]
                await self.send(batch)
        finally:
            self.busy_since = None
