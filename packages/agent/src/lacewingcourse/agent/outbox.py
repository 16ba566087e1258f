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
        busy: Whether a batch is in flight.
    """

    def __init__(
        self,
        send: Callable[[list[T]], Awaitable[None]],
        spawn: Callable[[Any], Any],
    ) -> None:
        self.items: list[T] = []
        self.send = send
        self.spawn = spawn
        self.busy = False

    def put(self, item: T) -> None:
        """Add an item and send as soon as the receiver is free."""
        self.items.append(item)
        if not self.busy:
            self.busy = True
            self.spawn(self._drain())

    async def _drain(self) -> None:
        try:
            while self.items:
                batch = self.items[:BATCH_LIMIT]
                del self.items[:BATCH_LIMIT]
                await self.send(batch)
        finally:
            self.busy = False
