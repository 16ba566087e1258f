"""Which layers each endpoint holds: cut points, copies and repairs."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.capacity import InTurn, fill_fleet
from lacewingcourse.core.pipelines.copies import (
    LEAST_REQUESTS,
    Assignment,
    search_copies,
    slowness,
    span_for,
)
from lacewingcourse.core.pipelines.interruption import finish
from lacewingcourse.core.pipelines.layer_memory import layer_strength, token_capacity
from lacewingcourse.core.pipelines.rating import estimated_rate
from lacewingcourse.core.pipelines.shape import Layers

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

    #: A search that can be interrupted, and what it finds.
    Search = Generator[None, None, list[Assignment]]
    #: A rating that can be interrupted, and the requests a second that it finds.
    Rating = Generator[None, None, float]

#: Share of the time for which one of a group's endpoints is taken to be lost. Without
#: it a layout with the highest rate has layers that one endpoint alone holds.
LOSS_SHARE = 0.5
#: Share of the usual strength of a layer that must be left to it if one of its holders
#: is to move elsewhere. A fast holder beside a slow stand-in is not spare.
SPARE_STRENGTH = 0.4
#: Layouts of a group that are compared by simulating load on them; the closed form,
#: which chooses them among all, is not exact enough for the last decision.
SHORTLIST = 2


def plan_layout(endpoints: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return the layers that empty endpoints shall take.

    Copies stay within an availability zone where its memory allows it: a prompt's
    activations fill the links between zones long before its parts are busy. What is
    held already is kept.

    Args:
        endpoints: Endpoints that take new work.
        shape: Published figures of the engines.
    """
    return finish(search_layout(endpoints, shape))


def search_layout(endpoints: list[Endpoint], shape: EngineShape) -> Search:
    """Look for the layers that empty endpoints shall take, see `plan_layout`.

    Yields where the search may be interrupted, every few milliseconds, since an entry
    that searches must pass events on meanwhile.

    Args:
        endpoints: Endpoints that take new work.
        shape: Published figures of the engines.
    """
    plan: list[Assignment] = []
    for group in groups_of(endpoints, shape):
        plan.extend((yield from search_group(group, shape)))
    return plan


def groups_of(endpoints: list[Endpoint], shape: EngineShape) -> list[list[Endpoint]]:
    """Return the endpoints that layers can be placed on, by zone.

    Zones too small for a copy go together.
    """
    known = [
        e for e in endpoints if e.placeable and e.accelerator in shape.accelerators
    ]
    zones: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in sorted(known, key=lambda e: (e.zone, e.address)):
        zones[endpoint.zone].append(endpoint)
    least = LEAST_REQUESTS * shape.mean_request_tokens
    large: list[list[Endpoint]] = []
    pool: list[Endpoint] = []
    for members in zones.values():
        if sum(span_for(e, shape, least) for e in members) >= shape.layers:
            large.append(members)
        else:
            pool.extend(members)
    return large + [pool] if pool else large


def search_group(group: list[Endpoint], shape: EngineShape) -> Search:
    """Look for the assignments of a group that shares its copies."""
    empty = [e for e in group if e.layers is None or not len(e.layers)]
    holding = [e for e in group if e not in empty]
    if holding or not empty:
        return _completed((), empty, holding, shape)
    found: list[_Layout] = []
    plans = yield from search_copies(empty, shape)
    for copies in plans:
        yield
        found.append(_rated(copies, empty, shape))
    found.sort(key=lambda layout: layout.worth, reverse=True)
    best: list[Assignment] = []
    best_worth = -1.0
    for layout in found[:SHORTLIST]:
        rate = yield from search_rate(layout.placed, shape)
        worth = rate * layout.safety
        if worth > best_worth:
            best, best_worth = layout.plan, worth
    return best or _completed((), empty, [], shape)


@attrs.frozen
class _Layout:
    """A way to place a group.

    Attributes:
        plan: The assignments.
        placed: The endpoints of the group with their layers.
        safety: Share of its rate that is left with the losses that are reckoned with.
        worth: About the usual requests a second that it serves, with these losses.
    """

    plan: list[Assignment]
    placed: list[Endpoint]
    safety: float
    worth: float


def _rated(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> _Layout:
    """Return the layout of a group with some copies, and about what it is worth."""
    plan = _completed(copies, empty, [], shape)
    placed = _placed(empty, plan)
    fatal = len(sole_holders(placed, shape)) / len(placed)
    safety = 1.0 - LOSS_SHARE * fatal
    rate = estimated_rate(_whole(copies, empty, shape), placed, shape)
    return _Layout(plan, placed, safety, rate * safety)


def _whole(
    copies: tuple[Assignment, ...], empty: list[Endpoint], shape: EngineShape
) -> list[list[Endpoint]]:
    """Return the endpoints of each whole copy with their layers."""
    known = {endpoint.id: endpoint for endpoint in empty}
    found: list[list[Endpoint]] = []
    members: list[Endpoint] = []
    for assignment in copies:
        members.append(_with(known[assignment.endpoint], assignment))
        if assignment.layers.end == shape.layers:
            found.append(members)
            members = []
    return found


def _completed(
    copies: Iterable[Assignment],
    empty: list[Endpoint],
    holding: list[Endpoint],
    shape: EngineShape,
) -> list[Assignment]:
    """Return the assignments of a group with those that its copies leave over.

    Args:
        copies: Assignments that make whole copies.
        empty: Endpoints of the group that hold nothing.
        holding: The others.
        shape: Published figures of the engines.
    """
    plan = list(copies)
    taken = {assignment.endpoint: assignment for assignment in plan}
    holding = holding + [_with(e, taken[e.id]) for e in empty if e.id in taken]
    rest = [e for e in empty if e.id not in taken]
    for endpoint in sorted(rest, key=lambda e: slowness(e, shape)):
        assignment = _reinforce(endpoint, holding, shape)
        if assignment is not None:
            plan.append(assignment)
            holding.append(_with(endpoint, assignment))
    return plan + _fill_gaps(holding, shape)


def _placed(endpoints: list[Endpoint], plan: list[Assignment]) -> list[Endpoint]:
    """Return endpoints as they will be once a plan is carried out."""
    taken = {assignment.endpoint: assignment for assignment in plan}
    return [_with(e, taken[e.id]) if e.id in taken else e for e in endpoints]


def sole_holders(endpoints: list[Endpoint], shape: EngineShape) -> list[Endpoint]:
    """Return the endpoints that alone hold one of their layers."""
    holders = [0] * shape.layers
    held = [e for e in endpoints if e.layers is not None]
    for endpoint in held:
        for layer in range(endpoint.layers.start, endpoint.layers.end):
            holders[layer] += 1
    return [
        e for e in held if min(holders[e.layers.start : e.layers.end], default=2) < 2
    ]


def rate_of(endpoints: list[Endpoint], shape: EngineShape) -> float:
    """Return the usual requests a second that endpoints with their layers serve."""
    return finish(search_rate(endpoints, shape))


def search_rate(endpoints: list[Endpoint], shape: EngineShape) -> Rating:
    """Find the usual requests a second that endpoints serve, see `rate_of`.

    Yields where it may be interrupted.
    """
    if min(layer_strength(endpoints, shape)) <= 0:
        return 0.0
    bound = yield from fill_fleet(endpoints, shape, InTurn())
    return bound.requests_per_second if bound is not None else 0.0


def _fill_gaps(holding: list[Endpoint], shape: EngineShape) -> list[Assignment]:
    """Return moves of endpoints that can be spared to layers that nobody holds.

    A copy with a gap serves nothing, however much memory its other parts have.
    """
    plan: list[Assignment] = []
    members = list(holding)
    while True:
        gap = _longest_gap(token_capacity(members, shape))
        if gap is None or len(gap) == shape.layers:
            return plan
        moved = {assignment.endpoint for assignment in plan}
        spare = [e for e in members if e.id not in moved and spares(e, members, shape)]
        if not spare:
            return plan
        donor = max(spare, key=lambda e: _cover(e, gap, shape))
        span = _cover(donor, gap, shape)
        if span < 1:
            return plan
        assignment = Assignment(donor.id, Layers(gap.start, gap.start + span))
        plan.append(assignment)
        members = [e for e in members if e.id != donor.id]
        members.append(_with(donor, assignment))


def spares(endpoint: Endpoint, members: list[Endpoint], shape: EngineShape) -> bool:
    """Tell whether the others hold an endpoint's layers about as well without it."""
    usual = median(s for s in layer_strength(members, shape) if s > 0)
    others = [other for other in members if other.id != endpoint.id]
    left = layer_strength(others, shape)
    layers = endpoint.layers
    weakest = min(left[layers.start : layers.end])
    return weakest >= SPARE_STRENGTH * usual


def _cover(endpoint: Endpoint, gap: Layers, shape: EngineShape) -> int:
    """Return how many layers of a gap an endpoint can take."""
    least = LEAST_REQUESTS * shape.mean_request_tokens
    return min(len(gap), span_for(endpoint, shape, least))


def _reinforce(
    endpoint: Endpoint, holding: list[Endpoint], shape: EngineShape
) -> Assignment | None:
    """Return the weakest range of layers that an endpoint can take.

    Layers that nobody holds come first: they stand for no tokens at all.
    """
    span = span_for(endpoint, shape, _usual_room(holding, shape))
    span = max(span, 1)
    if shape.max_layers(shape.accelerators[endpoint.accelerator]) < span:
        return None
    capacity = token_capacity(holding, shape)
    gap = _longest_gap(capacity)
    if gap is not None:
        least = span_for(endpoint, shape, LEAST_REQUESTS * shape.mean_request_tokens)
        span = max(1, min(least, len(gap)))
        return Assignment(endpoint.id, Layers(gap.start, gap.start + span))
    strength = layer_strength(holding, shape)
    starts = range(shape.layers - span + 1)
    start = min(starts, key=lambda s: sum(strength[s : s + span]))
    return Assignment(endpoint.id, Layers(start, start + span))


def _usual_room(holding: list[Endpoint], shape: EngineShape) -> float:
    """Return the tokens for which a usual holder has memory in each of its layers.

    The lower quartile: those at the end of a copy, which hold what was left over, have
    more memory than the copy can use.
    """
    rooms = sorted(
        shape.kv_capacity(shape.accelerators[e.accelerator], len(e.layers))
        / len(e.layers)
        for e in holding
    )
    least = LEAST_REQUESTS * shape.mean_request_tokens
    return max(least, rooms[len(rooms) // 4]) if rooms else least


def _longest_gap(capacity: list[float]) -> Layers | None:
    """Return the longest run of layers that nobody holds, None if there is none."""
    best: Layers | None = None
    start: int | None = None
    for layer, tokens in enumerate([*capacity, 1.0]):
        if tokens <= 0.0:
            start = layer if start is None else start
        elif start is not None:
            run = Layers(start, layer)
            best = run if best is None or len(run) > len(best) else best
            start = None
    return best


def _with(endpoint: Endpoint, assignment: Assignment) -> Endpoint:
    """Return an endpoint as it will be once it holds its layers."""
    return attrs.evolve(endpoint, layers=assignment.layers)
