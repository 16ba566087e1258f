"""The engine stand-in's bounded cache of prompt prefixes and its events."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque

import attrs

#: Words, or inputs of a later stage, that one block of the cache spans.
BLOCK_LENGTH = 16
#: Blocks that an engine keeps unless told otherwise.
DEFAULT_BLOCKS = 256
#: Events that are kept for readers.
EVENT_LIMIT = 1000
#: Characters of a block's name.
NAME_LENGTH = 16


@attrs.frozen
class CacheEvent:
    """A block of a prompt that the engine stored or dropped.

    Attributes:
        number: Counts up by one an event; a gap means that events were lost.
        block: Name of the block, as `block_names` gives it.
        stored: Whether the block was stored; else it was dropped.
        at: When it happened, seconds on the engine's clock.
    """

    number: int
    block: str
    stored: bool
    at: float


@attrs.frozen
class CacheEvents:
    """Events from a number on, as far as they are kept."""

    next_number: int
    events: tuple[CacheEvent, ...]


def block_names(parts: list[str]) -> list[str]:
    """Return the names of a prompt's whole blocks.

    The name of block n is the start of the SHA-256 of the first n blocks' words,
    joined by spaces, in hexadecimal; so equal names mean equal prefixes.
    """
    ends = range(BLOCK_LENGTH, len(parts) + 1, BLOCK_LENGTH)
    return [
        hashlib.sha256(" ".join(parts[:end]).encode()).hexdigest()[:NAME_LENGTH]
        for end in ends
    ]


@attrs.define
class PrefixCache:
    """Blocks by use, the least recently used first.

    Attributes:
        capacity: Blocks that are kept at the most.
        blocks: Names of the blocks.
        events: Events that were published or are still to be.
        next_number: Number of the next event.
        hits: Positions that were found.
    """

    capacity: int = DEFAULT_BLOCKS
    blocks: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    events: deque[CacheEvent] = attrs.field(factory=lambda: deque(maxlen=EVENT_LIMIT))
    next_number: int = 0
    hits: int = 0

    def use(self, parts: list[str], now: float, gap: int) -> int:
        """Look a prompt up and store it.

        Args:
            parts: Words of the prompt, or inputs of a later stage.
            now: The present time.
            gap: Every so many events one is lost; 0 is none.

        Returns:
            Positions that need no computation.
        """
        names = block_names(parts)
        found = 0
        while found < len(names) and names[found] in self.blocks:
            found += 1
        for name in names:
            if name not in self.blocks:
                self._note(name, True, now, gap)
            self.blocks[name] = None
            self.blocks.move_to_end(name)
        while len(self.blocks) > self.capacity:
            dropped, _ = self.blocks.popitem(last=False)
            self._note(dropped, False, now, gap)
        self.hits += found * BLOCK_LENGTH
        return found * BLOCK_LENGTH

    def _note(self, block: str, stored: bool, now: float, gap: int) -> None:
        number = self.next_number
        self.next_number += 1
        if gap == 0 or (number + 1) % gap != 0:
            self.events.append(CacheEvent(number, block, stored, now))

    def published(self, first: int, until: float) -> CacheEvents:
        """Return events from a number on that happened by some time."""
        shown = tuple(
            event
            for event in self.events
            if event.number >= first and event.at <= until
        )
        after = shown[-1].number + 1 if shown else first
        return CacheEvents(after, shown)
