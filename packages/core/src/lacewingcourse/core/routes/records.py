"""What an entry holds of one endpoint: its last report, and what was sent since."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.estimates import (
    PRIOR_BASE,
    PRIOR_DUTY,
    PRIOR_LIMIT,
    PRIOR_POSITION,
    PRIOR_STREAMS,
)

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.layers import LayerRange

#: Share of a step that work waits on average for the step that runs.
RESIDUAL = 0.5

#: Draws after which a small admitted share no longer keeps an endpoint out.
DRAWS = 4


class EndpointRecord:
    """One endpoint: its last report, and what this entry did since.

    Attributes:
        state: The last report.
        ejected: Whether it is excluded as an outlier.
        group: The group it is a member of, or None.
        slot: Its place in the group's list.
        in_flight: Streams of this entry that run there.
        delta: Streams that this entry opened, less those it ended, since the report.
        sent_positions: Prompt positions that this entry sent since the report.
        base: Seconds of the fixed part of a step.
        position: Seconds that each position adds.
        limit: Items of a step at the most.
        duty: Share of the streams that wait or run there.
        share: Share of its turns at which it may be chosen.
        sources: Entries that send streams there.
        reported: Streams that ran there at the last report.
        backlog: Positions that waited there at the last report.
        probation: Whether it was left out and has not done well since.
        fresh: Whether its estimates rest on steps of late.
        stream_limit: Streams that may run there.
    """

    __slots__ = (
        "state",
        "ejected",
        "group",
        "slot",
        "in_flight",
        "delta",
        "sent_positions",
        "base",
        "position",
        "limit",
        "duty",
        "share",
        "sources",
        "reported",
        "backlog",
        "fresh",
        "probation",
        "stream_limit",
    )

    def __init__(self, state: EndpointState) -> None:
        self.state = state
        self.ejected = False
        self.group: Group | None = None
        self.slot = -1
        self.in_flight = 0
        self.delta = 0
        self.sent_positions = 0
        self.base = PRIOR_BASE
        self.position = PRIOR_POSITION
        self.limit = PRIOR_LIMIT
        self.duty = PRIOR_DUTY
        self.share = 1.0
        self.sources = 1
        self.reported = state.running
        self.backlog = state.load.backlog
        self.fresh = False
        self.probation = False
        self.stream_limit = PRIOR_STREAMS

    def running(self) -> int:
        """Return how many streams run there: the report, corrected.

        Other entries are taken to have sent as much as this one since the report.
        """
        guess = self.reported + self.delta * self.sources
        return guess if guess > self.in_flight else self.in_flight

    def decode_time(self, added: int = 1) -> float:
        """Return the seconds that one token is predicted to spend there.

        Args:
            added: Streams to count beside those that run.
        """
        running = self.running() + added
        present = running * self.duty
        if running <= 1 or present < 1.0:
            return self.base + self.position * max(1.0, present)
        limit = self.limit
        if present <= limit:
            return (1.0 + RESIDUAL) * (self.base + self.position * present)
        return (present / limit + RESIDUAL) * (self.base + self.position * limit)

    def prefill_time(self, positions: int) -> float:
        """Return the seconds that a prompt is predicted to spend there."""
        waiting = self.backlog + self.sent_positions * self.sources
        return self.decode_time() + self.position * (waiting + positions - 1)

    def request_time(self, prompt_length: int, tokens: int) -> float:
        """Return the seconds that a request is predicted to spend there."""
        waiting = self.backlog + self.sent_positions * self.sources
        prefill = self.position * (waiting + prompt_length - 1)
        return prefill + (1 + tokens) * self.decode_time()

    def token_rate(self, items: float) -> float:
        """Return the tokens a second that steps of so many items make."""
        return items / (self.base + self.position * items)


class Group:
    """Endpoints that hold the same layers of a model.

    Attributes:
        layers: The layers.
        members: Records that take new work, in no order.
        ejected: Records that take new work but are outliers.
    """

    def __init__(self, layers: LayerRange) -> None:
        self.layers = layers
        self.members: list[EndpointRecord] = []
        self.ejected: list[EndpointRecord] = []

    def add(self, record: EndpointRecord) -> None:
        """Add a record."""
        pool = self.ejected if record.ejected else self.members
        record.slot = len(pool)
        record.group = self
        pool.append(record)

    def remove(self, record: EndpointRecord) -> None:
        """Remove a record."""
        pool = self.ejected if record.ejected else self.members
        last = pool.pop()
        if last is not record:
            pool[record.slot] = last
            last.slot = record.slot
        record.group = None

    def pool(self) -> list[EndpointRecord]:
        """Return the members, or the outliers if there is nobody else."""
        return self.members or self.ejected

    def sample(
        self, count: int, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return some records at random that are not excluded; all if there are few.

        Records with a small admitted share are passed over at their other turns.
        """
        pool = self.pool()
        size = len(pool)
        if size <= count:
            return self.allowed(excluded, rng)
        found: list[EndpointRecord] = []
        draw = rng.random
        for _ in range(count + DRAWS):
            record = pool[int(draw() * size)]
            if record in found or (excluded and record.state.id in excluded):
                continue
            if record.share < 1.0 and draw() >= record.share:
                continue
            found.append(record)
            if len(found) == count:
                return found
        return found or self.allowed(excluded, rng)

    def allowed(
        self, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return all records that are not excluded; outliers if there is no other."""
        found = [each for each in self.members if each.state.id not in excluded]
        if not found:
            return [each for each in self.ejected if each.state.id not in excluded]
        ready = [
            each for each in found if each.share >= 1.0 or rng.random() < each.share
        ]
        return ready or found
