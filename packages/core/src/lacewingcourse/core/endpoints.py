"""What is known of an endpoint and its agent."""

from __future__ import annotations

import attrs

from lacewingcourse.core.estimates import LoadReport
from lacewingcourse.core.layers import LayerRange


@attrs.frozen
class EndpointState:
    """An endpoint as its agent last reported it.

    Attributes:
        id: Name of the endpoint instance.
        incarnation: Which start of the agent this is; new at each start.
        availability_zone: Where the instance stands.
        agent_url: Base URL of the agent.
        model: Name of the model it holds layers of, or empty.
        layers: The layers it holds, or None for a plain service.
        service: Name of the plain service it runs, or empty.
        version: Version of the model's weights.
        leaving: Whether it takes no new work.
        ready: Whether its engine or service answers.
        running: Streams or calls running there at the time of the report.
        queued: Items that wait for the engine at the time of the report.
        step_time: Seconds an engine step takes, 0.0 before the first.
        reported_at: When the report was received, on the receiver's clock, seconds.
        load: What the agent has learned of speed and load.
        admitted_share: Share of its turns at which it may be chosen, 0 to 1.
    """

    id: str
    incarnation: str
    availability_zone: str
    agent_url: str
    model: str = ""
    layers: LayerRange | None = None
    service: str = ""
    version: str = ""
    leaving: bool = False
    ready: bool = True
    running: int = 0
    queued: int = 0
    step_time: float = 0.0
    reported_at: float = 0.0
    load: LoadReport = LoadReport()
    admitted_share: float = 1.0

    def takes_new_work(self) -> bool:
        """Tell whether new work may be sent here."""
        return self.ready and not self.leaving
