"""What every part of an entry needs of the process that it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio
    import random
    from collections.abc import Coroutine

    from lacewingcourse.core.configuration import Configuration
    from lacewingcourse.entry.settings import EntrySettings
    from lacewingcourse.wire.client import PeerClient


class Host(Protocol):
    """The process of a part.

    Parts name what else they need, of the parts beside them, in protocols of their
    own that extend this one, so that none depends on the whole entry.

    Attributes:
        settings: The settings in force.
        peers: Client for messages to other processes.
        rng: Source of randomness for decisions.
    """

    settings: EntrySettings
    peers: PeerClient
    rng: random.Random

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    def now(self) -> float:
        """Return the present time in seconds on a clock that never goes back."""

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work in the background until it ends."""
