"""Which path or endpoint a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.links import MAX_LINK_UTILISATION
from lacewingcourse.core.pipelines.load import NO_LOAD
from lacewingcourse.core.pipelines.path_costs import path_costs_of
from lacewingcourse.core.pipelines.speed import SpeedEstimator

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.links import LinkUsage
    from lacewingcourse.core.pipelines.load import LoadTable
    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.path_costs import PathCosts
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Share of an endpoint's memory for requests that is given away. Answers are longer
#: than their estimate about as often as shorter, and one that outgrows the memory
#: stops the newest request, so some is left.
MAX_MEMORY_SHARE = 0.9
#: The same for a stream whose caller already reads it: cut, it is worth nothing.
MAX_MEMORY_SHARE_RESUMED = 1.0
#: How many times as dear a path is for each link between zones that it takes.
CROSS_ZONE_COST_FACTOR = 1.4
#: How many times as dear a path looks to whose first endpoint there is no connection. A
#: new one takes a round trip of some milliseconds and a place among those that an
#: endpoint accepts; a path that is a fifth slower or fuller costs about as much.
NEW_CONNECTION_COST_FACTOR = 1.2
#: How much worse than the best a path may look to be drawn among the best ones.
#: Entries that see the same loads would otherwise all take the same path.
NEAR_BEST_COST_RATIO = 1.08
#: Share of free memory that is reckoned with at the least, to bound the cost.
MIN_FREE_SHARE = 0.02
#: Paths that are drawn and compared for a request. Where none of them has room, all
#: are compared.
PATH_SAMPLE_SIZE = 12
#: Share of a plain endpoint's slots above which it counts as full: beyond twice its
#: slots a request waits longer than two others run.
MAX_CALLS_PER_SLOT = 2.0


@attrs.frozen
class Demand:
    """What a request needs of a path.

    Attributes:
        prompt: Tokens of its prompt.
        answer: Tokens that its answer is expected to have.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens that it is expected to hold at its end."""
        return self.prompt_tokens + self.answer_tokens


#: What a request needs that does not exist.
NO_DEMAND = Demand(0, 0)


class RandomSource(Protocol):
    """What draws among equally good choices."""

    def choice(self, found: list[Path]) -> Path:
        """Return one of them."""

    def sample(self, found: list[Path], count: int) -> list[Path]:
        """Return some of them."""


@attrs.define
class PathChooser:
    """Chooses among candidate paths by predicted time and memory left.

    Attributes:
        shape: Published figures of the engines.
        endpoints: Endpoints by id; one whose layers change needs another chooser.
        loads: What runs where.
        links: How busy the links between zones are.
        speeds: Endpoints that run slower than published.
        looked_at: Paths that are compared for a request, if any of them fits.
        figures: Figures of the paths that were asked for, by identity.
    """

    shape: EngineShape
    endpoints: dict[str, Endpoint]
    loads: LoadTable
    links: LinkUsage
    speeds: SpeedEstimator = attrs.field(factory=SpeedEstimator)
    sample_size: int = PATH_SAMPLE_SIZE
    costs_by_path: dict[int, PathCosts] = attrs.field(factory=dict, repr=False)

    def choose(
        self,
        paths: list[Path],
        demand: Demand,
        avoid: Collection[str],
        rng: RandomSource,
        now: float,
        share: float = MAX_MEMORY_SHARE,
        connected: Collection[str] = (),
    ) -> Path | Refusal:
        """Return the path for a request, or why there is none.

        Args:
            paths: Candidate paths.
            demand: What the request needs.
            avoid: Endpoints that must not be used.
            rng: Source of the draw among equally good paths.
            now: Present time in seconds.
            share: Share of an endpoint's memory that may be taken.
            connected: Addresses to which there is a connection that nobody uses.
        """
        usable = [p for p in paths if not p.uses(avoid)] if avoid else paths
        if not usable:
            return Refusal(ErrorKind.NO_ROUTE, "no path holds every layer")
        if len(usable) > self.sample_size:
            sampled = self._sample(usable, rng, connected)
            found = self._choose_cheapest(sampled, demand, rng, now, share, connected)
            if found is not None:
                return found
        found = self._choose_cheapest(usable, demand, rng, now, share, connected)
        if found is None:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory for the request")
        return found

    def _sample(
        self, paths: list[Path], rng: RandomSource, connected: Collection[str]
    ) -> list[Path]:
        """Return some paths, as many as may be of connected ones among them."""
        connected_paths = [path for path in paths if path.first.address in connected]
        if len(connected_paths) > self.sample_size // 2:
            connected_paths = rng.sample(connected_paths, self.sample_size // 2)
        return connected_paths + rng.sample(
            paths, self.sample_size - len(connected_paths)
        )

    def _choose_cheapest(
        self,
        paths: list[Path],
        demand: Demand,
        rng: RandomSource,
        now: float,
        share: float,
        connected: Collection[str],
    ) -> Path | None:
        """Return one of the cheapest of some paths, None if no one fits.

        An entry that begins few streams a second among many endpoints else meets each
        of them after its last connection there was closed for idleness.
        """
        scored = []
        for path in paths:
            cost = self.cost(path, demand, now, share)
            if cost is None:
                continue
            if path.first.address not in connected:
                cost *= NEW_CONNECTION_COST_FACTOR
            scored.append((cost, path))
        if not scored:
            return None
        best = min(cost for cost, _ in scored)
        near = [path for cost, path in scored if cost <= best * NEAR_BEST_COST_RATIO]
        return rng.choice(near)

    def fits(
        self, path: Path, demand: Demand, now: float, share: float = MAX_MEMORY_SHARE
    ) -> bool:
        """Tell whether parts have memory, the first one a slot, and links time."""
        return self.cost(path, demand, now, share) is not None

    def cost(
        self, path: Path, demand: Demand, now: float, share: float = MAX_MEMORY_SHARE
    ) -> float | None:
        """Return the predicted time, raised as memory and links fill.

        None if a part, a link or the first part's slots are full. A part that runs out
        of memory stops its newest request, so a slower path with room is better than a
        faster one that is nearly full. Prompts wait for one another on a link between
        zones, so a path over it is taken when those within a zone are a good deal
        fuller.
        """
        if self.loads.get(path.first.endpoint).first_part_requests >= self.shape.slots:
            return None
        found = self._time_and_fill(path, demand, now, share)
        if found is None:
            return None
        time, fill = found
        cost = time / max(1.0 - fill, MIN_FREE_SHARE)
        if path.crossings:
            cost *= self._cross_zone_factor(path, demand, now)
        return cost if cost < float("inf") else None

    def _time_and_fill(
        self, path: Path, demand: Demand, now: float, share: float
    ) -> tuple[float, float] | None:
        """Return predicted milliseconds and the fullest part's share of memory.

        None if a part has no memory for the request. This is the inner loop of every
        choice, so it walks the parts once.
        """
        sums, slow = self.loads.sums, self.speeds.estimates
        tokens, prompt, answer = (
            demand.tokens,
            demand.prompt_tokens,
            demand.answer_tokens,
        )
        total, fullest = path.token_ms, 0.0
        for part in self._costs_of(path).parts:
            load = sums.get(part.endpoint, NO_LOAD)
            fill = (
                (load.token_layers + tokens * part.span) / part.kv_capacity
                if part.kv_capacity
                else 2.0
            )
            if fill > share:
                return None
            if fill > fullest:
                fullest = fill
            step = part.step_ms + load.requests * part.ms_per_other_request
            time = step * answer + part.prefill_ms_per_token * prompt
            if part.endpoint in slow:
                time *= self.speeds.slowdown(part.endpoint, now)
            total += time
        return total, fullest

    def _cross_zone_factor(self, path: Path, demand: Demand, now: float) -> float:
        """Return how many times as dear links make a path, infinite if one is full."""
        transfer = self.shape.transfer_seconds(demand.prompt_tokens)
        factor = 1.0
        for pair in path.crossings:
            use = self.links.utilisation(pair, now)
            if use + transfer > MAX_LINK_UTILISATION:
                return float("inf")
            factor *= CROSS_ZONE_COST_FACTOR / max(
                1.0 - use / MAX_LINK_UTILISATION, MIN_FREE_SHARE
            )
        return factor

    def predicted_ms(self, path: Path, demand: Demand, now: float) -> float:
        """Return the milliseconds that a request is predicted to take on a path."""
        found = self._time_and_fill(path, demand, now, float("inf"))
        return found[0]

    def memory_share(self, part: Part, demand: Demand = NO_DEMAND) -> float:
        """Return the share of a part's memory that is taken with a request in it."""
        endpoint = self.endpoints.get(part.endpoint)
        if endpoint is None or endpoint.layers is None:
            return float("inf")
        accelerator = self.shape.accelerators.get(endpoint.accelerator)
        # A version may have dropped the kind while requests still run on it.
        if accelerator is None:
            return float("inf")
        kv_capacity = self.shape.kv_capacity(accelerator, len(endpoint.layers))
        taken = self.loads.get(part.endpoint).token_layers
        return (taken + demand.tokens * len(part.layers)) / max(kv_capacity, 1.0)

    def _costs_of(self, path: Path) -> PathCosts:
        """Return the figures of a path, which are kept as long as this chooser."""
        found = self.costs_by_path.get(id(path))
        if found is None:
            found = path_costs_of(path, self.endpoints, self.shape)
            self.costs_by_path[id(path)] = found
        return found


def choose_endpoint(
    endpoints: list[Endpoint],
    loads: LoadTable,
    zone: str,
    avoid: Collection[str],
    rng: Random,
) -> Endpoint | Refusal:
    """Return the endpoint of a plain service for a call, or why there is none.

    The one with the smallest share of its slots taken is chosen, of the caller's
    availability zone among equals.

    Args:
        endpoints: Endpoints of the service that take new work.
        loads: What runs where.
        zone: Availability zone of this entry.
        avoid: Endpoints that must not be used.
        rng: Source of the draw among equally good endpoints.
    """
    usable = [endpoint for endpoint in endpoints if endpoint.id not in avoid]
    if not usable:
        return Refusal(ErrorKind.NO_ROUTE, "no endpoint serves the call")
    taken = {e.id: loads.get(e.id).requests / max(1, e.slots) for e in usable}
    free = [e for e in usable if taken[e.id] < MAX_CALLS_PER_SLOT]
    if not free:
        return Refusal(ErrorKind.OVERLOADED, "every endpoint has a queue")
    tie_breakers = {endpoint.id: rng.random() for endpoint in free}
    return min(free, key=lambda e: (taken[e.id], e.zone != zone, tie_breakers[e.id]))
