"""What every part of an agent needs of the process that it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Coroutine

    from lacewingcourse.agent.metrics import AgentMetrics
    from lacewingcourse.agent.settings import AgentSettings
    from lacewingcourse.wire.client import PeerClient


class Host(Protocol):
    """The process of a part.

    Parts name what else they need, of the parts beside them, in protocols of their
    own that extend this one, so that none depends on the whole agent.

    Attributes:
        settings: The settings in force.
        peers: Client for messages to other processes.
        metrics: Counters of the process.
        incarnation: Name of this start of the agent.
        leaving: Whether the instance is leaving for good.
    """

    settings: AgentSettings
    peers: PeerClient
    metrics: AgentMetrics
    incarnation: str
    leaving: bool

    def now(self) -> float:
        """Return the present time in seconds on a clock that never goes back."""

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work in the background until it ends."""
