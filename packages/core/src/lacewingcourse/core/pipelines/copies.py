"""Plans of whole model copies on empty endpoints: how many, with how much memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.cooperative import run_to_completion
from lacewingcourse.core.pipelines.shape import MEGABYTE, Layers

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Minimum number of mean-length requests for which each copy of the model has memory.
#: With less, the memory of a copy is full while its accelerators idle.
MIN_REQUESTS_PER_COPY = 12
#: Upper limits of a copy's request memory that are tried, as shares of the memory for
#: as many mean-length requests as an engine accepts as the first part of a path; one
#: first endpoint could not fill more. Copies with little memory fit on the fastest
#: accelerators, copies with much memory serve more requests at once, but more slowly.
#: Which is better depends on the accelerators.
MEMORY_TARGETS = (0.25, 0.5, 1.0)
#: Factor between successive amounts of request memory that are tried.
MEMORY_STEP_FACTOR = 1.15


@attrs.frozen
class Assignment:
    """Layers that an endpoint is to load.

    Attributes:
        endpoint: Id of the endpoint.
        layers: The layers.
    """

    endpoint: str
    layers: Layers


def layers_that_fit(endpoint: Endpoint, shape: EngineShape, tokens: float) -> int:
    """Return how many layers fit on an endpoint beside the memory for some tokens.

    Args:
        endpoint: The endpoint.
        shape: Published performance figures of its engine.
        tokens: Tokens, each of which takes memory in every layer that is held.
    """
    accelerator = shape.accelerators[endpoint.accelerator]
    layer_mb = shape.layer_mb + tokens * shape.token_layer_bytes / MEGABYTE
    return min(shape.max_layers(accelerator), int(accelerator.memory_mb // layer_mb))


def slowness(endpoint: Endpoint, shape: EngineShape) -> float:
    """Return the step factor of an endpoint's accelerator, lowest for the fastest."""
    return shape.accelerators[endpoint.accelerator].step_factor


def copy_plans(
    endpoints: list[Endpoint], shape: EngineShape
) -> list[tuple[Assignment, ...]]:
    """Return alternative plans of whole model copies on empty endpoints.

    For each limit in `MEMORY_TARGETS` and each number of copies that fits, the plan
    with the most request memory per copy is returned.

    Args:
        endpoints: Endpoints without layers.
        shape: Published performance figures of their engines.
    """
    return run_to_completion(search_copies(endpoints, shape))


def search_copies(
    endpoints: list[Endpoint], shape: EngineShape
) -> Generator[None, None, list[tuple[Assignment, ...]]]:
    """Search plans of whole copies on empty endpoints, see `copy_plans`.

    Yields at points where it may be interrupted.

    Args:
        endpoints: Endpoints without layers.
        shape: Published performance figures of their engines.
    """
    mean_tokens = shape.mean_request_tokens
    ordered = sorted(endpoints, key=lambda e: (slowness(e, shape), e.address))
    found: dict[tuple[Assignment, ...], None] = {}
    for share in MEMORY_TARGETS:
        max_requests = share * shape.slots
        by_count: dict[int, list[Copy]] = {}
        requests = float(MIN_REQUESTS_PER_COPY)
        while requests <= max(max_requests, MIN_REQUESTS_PER_COPY):
            yield
            copies = _form_copies(ordered, shape, requests * mean_tokens)
            by_count[len(copies)] = copies
            requests *= MEMORY_STEP_FACTOR
        by_count.pop(0, None)
        for copies in by_count.values():
            yield
            enlarged = [
                _maximise_memory(copy, shape, max_requests * mean_tokens)
                for copy in copies
            ]
            found[tuple(assignment for copy in enlarged for assignment in copy)] = None
    return list(found)


@attrs.frozen
class Copy:
    """Endpoints that together hold every layer once.

    Attributes:
        members: The endpoints in order of their layers.
        tokens: Tokens for which each endpoint has memory, at least.
    """

    members: tuple[Endpoint, ...]
    tokens: float


def _form_copies(
    endpoints: list[Endpoint], shape: EngineShape, tokens: float
) -> list[Copy]:
    """Return whole copies that each have memory for some tokens.

    The fastest endpoints form the first copy, so that it is as fast as possible.

    Args:
        endpoints: Endpoints without layers, the fastest first.
        shape: Published performance figures of their engines.
        tokens: Tokens for which each copy has memory, at least.
    """
    spans = _spans_by_accelerator(endpoints, shape, tokens)
    copies: list[Copy] = []
    members: list[Endpoint] = []
    held = 0
    for endpoint in endpoints:
        span = spans[endpoint.accelerator]
        if span <= 0:
            continue
        members.append(endpoint)
        held += span
        if held >= shape.layers:
            copies.append(Copy(tuple(members), tokens))
            members, held = [], 0
    return copies


def _spans_by_accelerator(
    endpoints: Iterable[Endpoint], shape: EngineShape, tokens: float
) -> dict[str, int]:
    """Return how many layers fit beside the memory for some tokens, by accelerator."""
    kinds = {endpoint.accelerator: endpoint for endpoint in endpoints}
    return {kind: layers_that_fit(each, shape, tokens) for kind, each in kinds.items()}


def _assign_in_order(
    endpoints: Iterable[Endpoint], shape: EngineShape, tokens: float
) -> list[Assignment]:
    """Return the assignments of one copy, in order; empty if the copy does not fit."""
    spans = _spans_by_accelerator(endpoints, shape, tokens)
    copy: list[Assignment] = []
    position = 0
    for endpoint in endpoints:
        span = min(spans[endpoint.accelerator], shape.layers - position)
        if span > 0:
            copy.append(Assignment(endpoint.id, Layers(position, position + span)))
            position += span
    return copy if position == shape.layers else []


def _maximise_memory(
    copy: Copy, shape: EngineShape, max_tokens: float
) -> list[Assignment]:
    """Return the assignments of a copy with as much request memory as possible.

    Otherwise the last endpoint would hold only the few remaining layers, and the others
    would have less memory for requests than the copy could have.

    Args:
        copy: The copy.
        shape: Published performance figures of its engines.
        max_tokens: Tokens for which it has memory, at most.
    """
    low, high = copy.tokens, max_tokens
    best = _assign_in_order(copy.members, shape, low)
    while high - low > shape.mean_request_tokens / 4:
        middle = (low + high) / 2
        found = _assign_in_order(copy.members, shape, middle)
        if found:
            best, low = found, middle
        else:
            high = middle
    return best
