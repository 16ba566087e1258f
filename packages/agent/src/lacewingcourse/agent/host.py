"""What every part of an agent needs of the process that it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lacewingcourse.daemon.process import Process

if TYPE_CHECKING:
    from lacewingcourse.agent.metrics import AgentMetrics
    from lacewingcourse.agent.settings import AgentSettings


class Host(Process, Protocol):
    """The process of a part.

    Parts name what else they need, of the parts beside them, in protocols of their
    own that extend this one, so that none depends on the whole agent.

    Attributes:
        settings: The settings in force.
        metrics: Counters of the process.
        incarnation: Name of this start of the agent.
        leaving: Whether the instance is leaving for good.
    """

    settings: AgentSettings
    metrics: AgentMetrics
    incarnation: str
    leaving: bool
