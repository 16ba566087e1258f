"""What each role needs at the size that is designed for, from measured slopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.subsets import COPIES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.bench.figures import Figure

#: The size that is designed for.
ENTRIES = 330
ENDPOINTS = 3500
REQUESTS = 3700.0
TOKENS = 1_700_000.0
ORGANISATIONS = 990
CHANGES_A_DAY = 19_000
BETWEEN_TOKENS = 0.058
STAGES = 3
MODELS = 3
#: Different layer ranges that the endpoints of a model hold.
RANGES = 8
#: Endpoints that an entry watches when it knows what all of them hold.
WATCHED = MODELS * RANGES * COPIES
#: What control may spend on a node: share of a core, megabytes, bytes a second.
BUDGET = {"% of a core": 2.5, "MB": 128.0, "B/s": 2048.0}

MICROSECONDS = 1_000_000
KILOBYTE = 1024
DAY = 86_400


@attrs.frozen
class Slopes:
    """Measured slopes; processor time in microseconds, memory in kilobytes.

    Attributes:
        entry_token: Entry's time for a token.
        entry_request: Entry's time for a request.
        entry_change: Entry's time for a change of configuration.
        entry_endpoint: Entry's share of a core for a known endpoint at rest, %.
        entry_stream: Entry's memory for a stream.
        entry_known: Entry's memory for a known endpoint.
        entry_organisation: Entry's memory for an organisation.
        entry_start: Entry's memory after start, MB.
        agents_token: Time of all agents of a route for a token.
        agents_request: Time of all agents of a route for a request.
        agent_rest: Agent's share of a core at rest, %.
        agent_stage: Agent's memory for a stage of a stream.
        agent_start: Agent's memory after start, MB.
        status_bytes: Bytes of a question for a status and its answer.
        instance_bytes: Bytes of an instance in the instance list.
        polls: Questions for a status that an entry asks a watched agent a second.
        reads: Reads of the instance list a second.
    """

    entry_token: float
    entry_request: float
    entry_change: float
    entry_endpoint: float
    entry_stream: float
    entry_known: float
    entry_organisation: float
    entry_start: float
    agents_token: float
    agents_request: float
    agent_rest: float
    agent_stage: float
    agent_start: float
    status_bytes: float
    instance_bytes: float
    polls: float
    reads: float


@attrs.frozen
class Need:
    """What one thing needs on one node.

    Attributes:
        role: Which node.
        name: What needs it.
        unit: Its unit.
        value: How much.
        control: Whether it counts against the budget of control.
    """

    role: str
    name: str
    unit: str
    value: float
    control: bool = True

    @property
    def times_budget(self) -> float:
        """The need as a multiple of the budget."""
        return self.value / BUDGET[self.unit]


def needs(slopes: Slopes) -> list[Need]:
    """Return what each role needs if every watched endpoint were silent."""
    return [*entry_needs(slopes), *agent_needs(slopes)]


def streams_in_flight() -> float:
    """Return the streams of the whole deployment at the peak."""
    return TOKENS * BETWEEN_TOKENS


def entry_needs(slopes: Slopes) -> list[Need]:
    """Return what an entry needs."""
    core, memory, rate = BUDGET
    tokens = TOKENS / ENTRIES * slopes.entry_token / MICROSECONDS * 100
    requests = REQUESTS / ENTRIES * slopes.entry_request / MICROSECONDS * 100
    changes = CHANGES_A_DAY / DAY * slopes.entry_change / MICROSECONDS * 100
    streams = streams_in_flight() / ENTRIES * slopes.entry_stream / KILOBYTE
    known = ENDPOINTS * slopes.entry_known / KILOBYTE
    organisations = ORGANISATIONS * slopes.entry_organisation / KILOBYTE
    instances = (ENTRIES + ENDPOINTS) * slopes.instance_bytes * slopes.reads
    statuses = WATCHED * slopes.status_bytes * slopes.polls
    return [
        Need("entry", "tokens", core, tokens, control=False),
        Need("entry", "requests", core, requests, control=False),
        Need("entry", "streams", memory, streams, control=False),
        Need(
            "entry",
            "statuses of watched endpoints",
            core,
            WATCHED * slopes.entry_endpoint,
        ),
        Need("entry", "statuses of watched endpoints", rate, statuses),
        Need("entry", "reads of the instance list", rate, instances),
        Need("entry", "changes of configuration", core, changes),
        Need("entry", "after start", memory, slopes.entry_start),
        Need("entry", "endpoints and organisations", memory, known + organisations),
    ]


def agent_needs(slopes: Slopes) -> list[Need]:
    """Return what an agent needs."""
    core, memory, rate = BUDGET
    tokens = TOKENS / ENDPOINTS * slopes.agents_token / MICROSECONDS * 100
    requests = REQUESTS / ENDPOINTS * slopes.agents_request / MICROSECONDS * 100
    stages = streams_in_flight() * STAGES / ENDPOINTS
    return [
        Need("agent", "tokens", core, tokens, control=False),
        Need("agent", "requests", core, requests, control=False),
        Need(
            "agent",
            "stages of streams",
            memory,
            stages * slopes.agent_stage / KILOBYTE,
            control=False,
        ),
        Need("agent", "at rest, one entry asks", core, slopes.agent_rest),
        Need(
            "agent",
            "statuses for the entries that watch it",
            rate,
            ENTRIES * WATCHED / ENDPOINTS * slopes.polls * slopes.status_bytes,
        ),
        Need("agent", "after start", memory, slopes.agent_start),
    ]


def capacity_table(found: Iterable[Need]) -> str:
    """Return the needs as text, those of control with their budget."""
    lines = [f"{'at the designed size, on one node':<44}{'need':>12}  {'budget':>12}"]
    for each in found:
        name = f"{each.role}: {each.name} [{each.unit}]"
        budget = f"{each.times_budget:.2f} x" if each.control else "not control"
        lines.append(f"{name:<44}{each.value:>12.4g}  {budget:>12}")
    return "\n".join(lines)


def slopes_of(figures: Iterable[Figure], names: dict[str, str]) -> dict[str, float]:
    """Return values by attribute of `Slopes`.

    Args:
        figures: What was measured.
        names: Name of the figure by attribute.
    """
    values = {each.name: each.median for each in figures}
    return {attribute: values[name] for attribute, name in names.items()}
