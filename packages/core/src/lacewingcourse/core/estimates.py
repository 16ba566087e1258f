"""Online estimates of step times, waiting and link delays, learned from nothing."""

from __future__ import annotations

import math

import attrs

#: Share of its weight that an old step keeps when a new one is seen.
STEP_MEMORY = 0.95
#: Weight of the newest value in a moving average.
NEW_VALUE = 0.1
#: Steps after which a far longer one is clipped before it counts.
CLIPPED_AFTER = 8
#: How many times the expected duration a step may count for.
CLIP_FACTOR = 5.0
#: Seconds of a step's fixed part before any was seen.
PRIOR_BASE = 0.004
#: Seconds that a position adds to a step before any was seen.
PRIOR_POSITION = 0.0001
#: Share of an endpoint's streams that wait or run there, before any was seen.
PRIOR_DUTY = 0.4
#: Positions of a step that an engine takes, before its agent has told.
PRIOR_LIMIT = 32
#: Seconds without a step after which estimates no longer count as fresh.
FRESH_FOR = 10.0
#: Streams that an agent lets in, before it has told.
PRIOR_STREAMS = 512
#: Links that a report names at the most.
REPORTED_LINKS = 8
#: Links that an agent remembers at the most.
KEPT_LINKS = 64
#: How many times its zones' delay makes a link count as degraded.
DEGRADED_FACTOR = 4.0
#: Seconds below which no link counts as degraded.
DEGRADED_FLOOR = 0.02
#: Seconds after which a degraded link is tried again.
DEGRADED_KEPT = 10.0


@attrs.frozen
class LinkReport:
    """Delay of hops from an endpoint to another.

    Attributes:
        endpoint: Name of the receiving endpoint instance.
        delay: Seconds one way.
    """

    endpoint: str
    delay: float


@attrs.frozen
class LoadReport:
    """What an agent has learned of its endpoint's speed and load.

    Attributes:
        steps: Steps that the estimates rest on, at most a few hundred.
        step_base: Seconds of the fixed part of a step.
        step_position: Seconds that each position adds to a step.
        step_limit: Items of one step at the most.
        duty: Share of the open streams that wait or run here at one time.
        backlog: Positions that wait for the engine.
        sources: Entries that have streams here.
        running: Streams that are open here.
        stream_limit: Streams that may be open here.
        fresh: Whether a step has ended lately. Work that nobody dares to send would
            never show that an endpoint is fast again.
        links: Delays of the hops that were last sent.
    """

    steps: int = 0
    step_base: float = 0.0
    step_position: float = 0.0
    step_limit: int = 0
    duty: float = 0.0
    backlog: int = 0
    sources: int = 0
    running: int = 0
    stream_limit: int = 0
    fresh: bool = False
    links: tuple[LinkReport, ...] = ()


@attrs.define
class Average:
    """An exponentially weighted moving average that starts at its first value.

    Attributes:
        value: The average; 0.0 before the first value.
        count: Values seen.
    """

    value: float = 0.0
    count: int = 0

    def add(self, value: float, weight: float = NEW_VALUE) -> None:
        """Take a value; the first few weigh more, so that the average converges."""
        self.count += 1
        self.value += max(weight, 1.0 / self.count) * (value - self.value)


@attrs.define
class StepFit:
    """Step time as a line over the positions of a step, with forgetting.

    Attributes:
        count: Steps seen.
        base: Seconds of the fixed part.
        position: Seconds that each position adds.
    """

    count: int = 0
    base: float = 0.0
    position: float = 0.0
    _weight: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0

    def add(self, positions: int, duration: float) -> None:
        """Take the duration of a step, in seconds."""
        if self.count >= CLIPPED_AFTER:
            duration = min(duration, CLIP_FACTOR * self.duration(positions))
        self.count += 1
        self._weight = self._weight * STEP_MEMORY + 1.0
        self._x = self._x * STEP_MEMORY + positions
        self._y = self._y * STEP_MEMORY + duration
        self._xx = self._xx * STEP_MEMORY + positions * positions
        self._xy = self._xy * STEP_MEMORY + positions * duration
        self._solve()

    def _solve(self) -> None:
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        spread = self._xx / self._weight - mean_x * mean_x
        if spread > 0.01 * mean_x * mean_x:
            slope = (self._xy / self._weight - mean_x * mean_y) / spread
            self.position = min(max(slope, 0.0), mean_y / mean_x)
        self.position = min(self.position, mean_y / mean_x)
        self.base = mean_y - self.position * mean_x

    def duration(self, positions: float) -> float:
        """Return the predicted seconds of a step."""
        return self.base + self.position * positions


@attrs.define
class EndpointEstimates:
    """What an agent learns of its engine; the source of its load reports.

    Attributes:
        step_limit: Items of one step at the most.
        stream_limit: Streams that may be open here.
        fit: Step time over positions.
        duty: Share of the open streams that wait or run here.
        positions_per_character: How prompts turn into positions.
        links: Delay of hops by receiving endpoint, last used last.
    """

    step_limit: int = PRIOR_LIMIT
    stream_limit: int = PRIOR_STREAMS
    fit: StepFit = attrs.field(factory=StepFit)
    duty: Average = attrs.field(factory=Average)
    positions_per_character: Average = attrs.field(factory=Average)
    links: dict[str, Average] = attrs.field(factory=dict)
    _ended_at: float = -math.inf

    def on_step(self, positions: int, started_at: float, now: float) -> None:
        """Take an ended step.

        Steps overlap with the wait for the step before, so a step counts from the
        end of the one before it.

        Args:
            positions: Positions that were run.
            started_at: When the step was given to the engine, seconds.
            now: Present time, seconds.
        """
        begun = max(started_at, self._ended_at)
        self._ended_at = now
        if positions > 0 and now > begun:
            self.fit.add(positions, now - begun)

    def on_load(self, present: int, streams: int) -> None:
        """Take how many items are here at the start of a step."""
        if streams > 0:
            self.duty.add(min(1.0, present / streams))

    def on_prompt(self, characters: int, positions: int) -> None:
        """Take how many positions a prompt turned into."""
        if characters > 0:
            self.positions_per_character.add(positions / characters)

    def on_hop(self, endpoint: str, round_trip: float) -> None:
        """Take the seconds between a hop and its acknowledgement."""
        link = self.links.pop(endpoint, None) or Average()
        link.add(round_trip / 2.0)
        self.links[endpoint] = link
        if len(self.links) > KEPT_LINKS:
            del self.links[next(iter(self.links))]

    def prompt_positions(self, characters: int) -> int:
        """Return how many positions a prompt will turn into."""
        ratio = self.positions_per_character
        return max(1, round(characters * (ratio.value if ratio.count else 0.25)))

    def report(
        self, backlog: int, sources: int, running: int, now: float
    ) -> LoadReport:
        """Return what entries are told.

        Args:
            backlog: Positions that wait for the engine.
            sources: Entries that have streams here.
            running: Streams that are open here.
            now: Present time in seconds.
        """
        names = list(self.links)[-REPORTED_LINKS:]
        return LoadReport(
            steps=min(self.fit.count, 999),
            step_base=round(self.fit.base, 6),
            step_position=round(self.fit.position, 8),
            step_limit=self.step_limit,
            duty=round(self.duty.value, 3),
            backlog=backlog,
            sources=sources,
            running=running,
            stream_limit=self.stream_limit,
            fresh=now - self._ended_at <= FRESH_FOR,
            links=tuple(
                LinkReport(name, round(self.links[name].value, 6)) for name in names
            ),
        )


@attrs.frozen
class DegradedLink:
    """A link that is far slower than others between its zones.

    Attributes:
        delay: Seconds one way.
        until: When it may be tried again, seconds.
    """

    delay: float
    until: float


@attrs.define
class LinkEstimates:
    """Delays between availability zones, and single links that are degraded.

    Attributes:
        zones: Delay by pair of zones.
        degraded: Degraded links by pair of endpoints.
    """

    zones: dict[tuple[str, str], Average] = attrs.field(factory=dict)
    degraded: dict[tuple[str, str], DegradedLink] = attrs.field(factory=dict)

    def note(
        self, pair: tuple[str, str], zones: tuple[str, str], delay: float, now: float
    ) -> None:
        """Take the delay of one link.

        Args:
            pair: Names of the sending and the receiving endpoint.
            zones: Their availability zones.
            delay: Seconds one way.
            now: Present time in seconds.
        """
        usual = self.zones.setdefault(zones, Average())
        limit = max(DEGRADED_FLOOR, DEGRADED_FACTOR * usual.value)
        if delay > limit and usual.count:
            self.degraded[pair] = DegradedLink(delay, now + DEGRADED_KEPT)
            delay = limit
        else:
            self.degraded.pop(pair, None)
        usual.add(delay)

    def forget(self, now: float) -> None:
        """Let degraded links be tried again after their time."""
        for pair, link in list(self.degraded.items()):
            if link.until < now:
                del self.degraded[pair]

    def delay(self, pair: tuple[str, str], zones: tuple[str, str]) -> float:
        """Return the seconds that a hop is predicted to take."""
        link = self.degraded.get(pair)
        if link is not None:
            return link.delay
        usual = self.zones.get(zones)
        return usual.value if usual is not None else 0.0
