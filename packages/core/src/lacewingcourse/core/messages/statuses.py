"""State of an agent and its endpoint."""

from __future__ import annotations

import attrs

from lacewingcourse.core.estimates import LoadReport
from lacewingcourse.core.layers import LayerRange


@attrs.frozen
class StatusRequest:
    """Entry to agent: ask for the state.

    Attributes:
        entry_url: Where the agent sends later changes of its state.
    """

    entry_url: str = ""


@attrs.frozen
class Status:
    """Agent to entry: state of the agent and its endpoint.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: Incarnation of the agent.
        availability_zone: Where it stands.
        model: Model it holds layers of, or empty.
        layers: Layers it holds, or None.
        service: Plain service it runs, or empty.
        version: Version of the model's weights.
        leaving: Whether it takes no new work.
        ready: Whether its engine or service answers.
        running: Streams or calls running.
        queued: Items that wait for the engine.
        step_time: Seconds an engine step takes at present.
        configuration_version: Version of the configuration in force.
        load: What the agent has learned of speed and load.
        max_layers: Layers that fit into its engine, 0 if it does not tell.
        sequence: Count of the agent's statuses; a later one has a higher number.
    """

    endpoint: str
    incarnation: str
    availability_zone: str
    model: str = ""
    layers: LayerRange | None = None
    service: str = ""
    version: str = ""
    leaving: bool = False
    ready: bool = True
    running: int = 0
    queued: int = 0
    step_time: float = 0.0
    configuration_version: int = 0
    load: LoadReport = LoadReport()
    sequence: int = 0
    max_layers: int = 0
