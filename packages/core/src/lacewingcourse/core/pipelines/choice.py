"""Choice of the path or endpoint that a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.demand import NO_DEMAND, Demand
from lacewingcourse.core.pipelines.links import MAX_LINK_UTILISATION
from lacewingcourse.core.pipelines.load import NO_LOAD
from lacewingcourse.core.pipelines.path_costs import path_costs_of
from lacewingcourse.core.pipelines.prediction import StreamPredictor
from lacewingcourse.core.pipelines.running_streams import RunningStreams
from lacewingcourse.core.pipelines.speed import SpeedEstimator
from lacewingcourse.core.pipelines.suspects import Suspects
from lacewingcourse.core.pipelines.time_ratios import TimeRatios

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.links import LinkUsage
    from lacewingcourse.core.pipelines.load import LoadTable
    from lacewingcourse.core.pipelines.path import Part, Path
    from lacewingcourse.core.pipelines.path_costs import PathCosts
    from lacewingcourse.core.pipelines.prediction import TimeLimits
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Share of an endpoint's request memory that new requests may fill. Answers exceed
#: their estimate about as often as they fall short of it, and an endpoint that runs out
#: of memory stops its newest request, so some memory is kept free.
MAX_MEMORY_SHARE = 0.9
#: The same for a stream that is resumed after its caller has received part of it. Such
#: a stream may use all memory, since an answer that is cut off is useless.
MAX_MEMORY_SHARE_RESUMED = 1.0
#: Factor on the cost of a path for each link between zones that it uses.
CROSS_ZONE_COST_FACTOR = 1.4
#: Factor on the cost of a path to whose first endpoint there is no idle connection. A
#: new connection takes a round trip of some milliseconds and one of the connections
#: that the endpoint accepts, about as much as a path that is a fifth slower or fuller.
NEW_CONNECTION_COST_FACTOR = 1.2
#: Ratio to the lowest cost up to which paths are chosen from at random. Entries that
#: know the same loads would otherwise all choose the same path.
NEAR_BEST_COST_RATIO = 1.08
#: Lower bound of the free share of memory or link time in the cost, so that the cost
#: stays finite.
MIN_FREE_SHARE = 0.02
#: Candidate paths that are sampled and compared for a request. If none of them has
#: enough memory, all candidates are compared.
PATH_SAMPLE_SIZE = 12
#: Calls per slot from which a plain endpoint counts as full: with more than twice as
#: many calls as slots, a call waits longer than two other calls run.
MAX_CALLS_PER_SLOT = 2.0
#: Reasons of refusals for want of time.
NONE_IN_TIME = "no path is in time"
NEVER_IN_TIME = "no path is in time even if nothing else runs"


class RandomSource(Protocol):
    """Source of choices among equally good paths, such as `random.Random`."""

    def choice(self, found: list[Path]) -> Path:
        """Return one of some paths."""

    def sample(self, found: list[Path], count: int) -> list[Path]:
        """Return as many of some paths as asked for, without repetition."""


@attrs.define
class PathChooser:
    """Chooses among candidate paths by predicted time and free memory.

    Attributes:
        shape: Published performance figures of the engines.
        endpoints: Endpoints by id. Costs of paths are cached, so a change of an
            endpoint's layers requires a new chooser.
        loads: Loads of the endpoints.
        links: Utilisation of the links between zones.
        speeds: Endpoints that run slower than published.
        running: Streams of this entry that run.
        ratios: Ratios of the times that streams took to the published ones.
        sample_size: Paths that are sampled and compared before all are.
        costs_by_path: Cached costs of paths, by the path's identity.
        suspects: Endpoints that failed lately, whose paths cost more.
        predictor: Predicts the times of streams.
    """

    shape: EngineShape
    endpoints: dict[str, Endpoint]
    loads: LoadTable
    links: LinkUsage
    speeds: SpeedEstimator = attrs.field(factory=SpeedEstimator)
    running: RunningStreams = attrs.field(factory=RunningStreams)
    ratios: TimeRatios = attrs.field(factory=TimeRatios)
    sample_size: int = PATH_SAMPLE_SIZE
    costs_by_path: dict[int, PathCosts] = attrs.field(factory=dict, repr=False)
    suspects: Suspects = attrs.field(factory=Suspects, repr=False)

    predictor: StreamPredictor = attrs.field(init=False, repr=False)

    @predictor.default
    def _own_predictor(self) -> StreamPredictor:
        known = self.shape, self.loads, self.links, self.speeds
        return StreamPredictor(*known, self._costs_of, self.running, self.ratios)

    def choose(
        self,
        paths: list[Path],
        demand: Demand,
        avoid: Collection[str],
        rng: RandomSource,
        now: float,
        share: float = MAX_MEMORY_SHARE,
        connected: Collection[str] = (),
        limits: TimeLimits | None = None,
    ) -> Path | Refusal:
        """Return the path for a request, or the reason why there is none.

        Args:
            paths: Candidate paths.
            demand: Tokens of the request.
            avoid: Ids of endpoints that must not be used.
            rng: Source of random choices among equally good paths.
            now: Current time in seconds.
            share: Share of an endpoint's request memory that may be filled.
            connected: Addresses to which there is an idle connection.
            limits: Limits of its times, None if it may be late.
        """
        usable = [p for p in paths if not p.uses(avoid)] if avoid else paths
        if not usable:
            return Refusal(ErrorKind.NO_ROUTE, "no path holds every layer")
        if len(usable) > self.sample_size:
            sampled = self._sample(usable, rng, connected)
            scored = self._score(sampled, demand, now, share, connected)
            found = self._choose_cheapest(scored, demand, rng, now, limits)
            if found is not None:
                return found
        scored = self._score(usable, demand, now, share, connected)
        found = self._choose_cheapest(scored, demand, rng, now, limits)
        if found is not None:
            return found
        if not scored or limits is None:
            return Refusal(ErrorKind.OVERLOADED, "no path has memory for the request")
        time_left = self.predictor.time_to_start(usable, demand, limits, now)
        if time_left is None:
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, NEVER_IN_TIME)
        if time_left >= 0:
            return Refusal(ErrorKind.OVERLOADED, NONE_IN_TIME)
        # It is late before its start, so room that no other needs serves it best.
        overdue = attrs.evolve(limits, objective=float("inf"))
        found = self._choose_cheapest(scored, demand, rng, now, overdue)
        return found or Refusal(ErrorKind.OVERLOADED, NONE_IN_TIME)

    def _sample(
        self, paths: list[Path], rng: RandomSource, connected: Collection[str]
    ) -> list[Path]:
        """Return a sample of paths, up to half of it with an idle connection."""
        connected_paths = [path for path in paths if path.first.address in connected]
        if len(connected_paths) > self.sample_size // 2:
            connected_paths = rng.sample(connected_paths, self.sample_size // 2)
        return connected_paths + rng.sample(
            paths, self.sample_size - len(connected_paths)
        )

    def _score(
        self,
        paths: list[Path],
        demand: Demand,
        now: float,
        share: float,
        connected: Collection[str],
    ) -> list[tuple[float, Path]]:
        """Return the costs of the paths that have capacity.

        Paths with an idle connection are preferred. Otherwise an entry that starts few
        streams per second, on many endpoints, would return to each endpoint only after
        its connection there was closed for being idle.
        """
        scored = []
        for path in paths:
            cost = self.cost(path, demand, now, share)
            if cost is None:
                continue
            if path.first.address not in connected:
                cost *= NEW_CONNECTION_COST_FACTOR
            scored.append((cost, path))
        return scored

    def _choose_cheapest(
        self,
        scored: list[tuple[float, Path]],
        demand: Demand,
        rng: RandomSource,
        now: float,
        limits: TimeLimits | None,
    ) -> Path | None:
        """Return one of the paths of near-lowest cost that keep the limits, or None.

        Only if the path that would be chosen without limits does not keep them, those
        of all paths are checked.
        """
        found = _near_cheapest(scored, rng)
        if found is None or limits is None:
            return found
        in_time = self.predictor.is_in_time
        if in_time(found, demand, limits, now):
            return found
        kept = [each for each in scored if in_time(each[1], demand, limits, now)]
        return _near_cheapest(kept, rng)

    def fits(
        self, path: Path, demand: Demand, now: float, share: float = MAX_MEMORY_SHARE
    ) -> bool:
        """Return whether the parts, the first part's slots and the links have capacity.

        Args:
            path: The path.
            demand: Tokens of the request.
            now: Current time in seconds.
            share: Share of an endpoint's request memory that may be filled.
        """
        return self.cost(path, demand, now, share) is not None

    def could_hold(self, path: Path, demand: Demand) -> bool:
        """Return whether the memory of a path holds a request if no other runs."""
        return all(
            demand.tokens * part.span <= part.kv_capacity
            for part in self._costs_of(path).parts
        )

    def cost(
        self, path: Path, demand: Demand, now: float, share: float = MAX_MEMORY_SHARE
    ) -> float | None:
        """Return the predicted milliseconds, weighted by the use of memory and links.

        A part that runs out of memory stops its newest request, so a slower path with
        free memory is better than a faster one that is nearly full. Prompts queue on a
        link between zones, so a path that uses one is chosen only if the paths within a
        zone are considerably fuller.

        Args:
            path: The path.
            demand: Tokens of the request.
            now: Current time in seconds.
            share: Share of an endpoint's request memory that may be filled.

        Returns:
            The cost, None if a part, a link or the first part's slots are full.
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
        if self.suspects.members:
            for part in path.parts:
                cost *= self.suspects.cost_factor(part.endpoint, now)
        return cost if cost < float("inf") else None

    def _time_and_fill(
        self, path: Path, demand: Demand, now: float, share: float
    ) -> tuple[float, float] | None:
        """Return the predicted milliseconds and the fullest part's share of memory.

        None if a part lacks memory for the request. This is the inner loop of every
        choice, so it passes over the parts only once.
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
        """Return the factor of a path's links on its cost, infinite if one is full."""
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
        """Return the share of a part's request memory in use with a request added.

        Args:
            part: The part.
            demand: Tokens of the request.

        Returns:
            The share, infinite if the endpoint is unknown or holds no layers, or its
            kind of accelerator has no published figures.
        """
        endpoint = self.endpoints.get(part.endpoint)
        if endpoint is None or endpoint.layers is None:
            return float("inf")
        accelerator = self.shape.accelerators.get(endpoint.accelerator)
        # A new configuration may have removed the kind while requests still run on it.
        if accelerator is None:
            return float("inf")
        kv_capacity = self.shape.kv_capacity(accelerator, len(endpoint.layers))
        taken = self.loads.get(part.endpoint).token_layers
        return (taken + demand.tokens * len(part.layers)) / max(kv_capacity, 1.0)

    def _costs_of(self, path: Path) -> PathCosts:
        """Return the costs of a path's parts, cached as long as this chooser exists."""
        found = self.costs_by_path.get(id(path))
        if found is None:
            found = path_costs_of(path, self.endpoints, self.shape)
            self.costs_by_path[id(path)] = found
        return found


def _near_cheapest(scored: list[tuple[float, Path]], rng: RandomSource) -> Path | None:
    """Return one of the paths of near-lowest cost, None if there are no paths."""
    if not scored:
        return None
    best = min(cost for cost, _ in scored)
    near = [path for cost, path in scored if cost <= best * NEAR_BEST_COST_RATIO]
    return rng.choice(near)


def choose_endpoint(
    endpoints: list[Endpoint],
    loads: LoadTable,
    zone: str,
    avoid: Collection[str],
    rng: Random,
) -> Endpoint | Refusal:
    """Return the endpoint of a plain service for a call, or why there is none.

    The endpoint with the smallest share of its slots in use is chosen; among equals,
    one in this entry's availability zone.

    Args:
        endpoints: Endpoints of the service that accept new requests.
        loads: Loads of the endpoints.
        zone: Availability zone of this entry.
        avoid: Ids of endpoints that must not be used.
        rng: Source of random choices among equally good endpoints.
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
