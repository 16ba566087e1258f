"""Whole copies of a model on empty endpoints: how many, and with how much memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.interruption import finish
from lacewingcourse.core.pipelines.shape import MEGABYTE, Layers

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Usual requests for which every copy of the model keeps memory at the least. Below
#: that a copy is full while its accelerators idle.
MIN_REQUESTS_PER_COPY = 12
#: Usual requests for which copies are given memory at the most, as shares of those
#: that an engine takes as the first of a path; more could not be filled by one first
#: endpoint. Little memory keeps a copy on the fastest accelerators, much of it serves
#: more at once, more slowly; which is better depends on the accelerators.
MEMORY_TARGETS = (0.25, 0.5, 1.0)
#: Factor between the amounts of memory that are tried.
MEMORY_STEP_FACTOR = 1.15


@attrs.frozen
class Assignment:
    """Layers that an endpoint shall hold.

    Attributes:
        endpoint: Id of the endpoint.
        layers: The layers.
    """

    endpoint: str
    layers: Layers


def layers_that_fit(endpoint: Endpoint, shape: EngineShape, tokens: float) -> int:
    """Return how many layers leave memory for some tokens on an endpoint.

    Args:
        endpoint: The endpoint.
        shape: Published figures of its engine.
        tokens: Tokens, each of which takes memory in every held layer.
    """
    accelerator = shape.accelerators[endpoint.accelerator]
    layer_mb = shape.layer_mb + tokens * shape.token_layer_bytes / MEGABYTE
    return min(shape.max_layers(accelerator), int(accelerator.memory_mb // layer_mb))


def slowness(endpoint: Endpoint, shape: EngineShape) -> float:
    """Return how slow an endpoint's accelerator is, smallest first."""
    return shape.accelerators[endpoint.accelerator].step_factor


def copy_plans(
    endpoints: list[Endpoint], shape: EngineShape
) -> list[tuple[Assignment, ...]]:
    """Return different ways to put whole copies of the model on empty endpoints.

    For each number of copies that fits, with each bound on their memory, the one with
    the most memory.
    """
    return finish(search_copies(endpoints, shape))


def search_copies(
    endpoints: list[Endpoint], shape: EngineShape
) -> Generator[None, None, list[tuple[Assignment, ...]]]:
    """Look for ways to put whole copies on empty endpoints, see `copy_plans`.

    Yields where the search may be interrupted.
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
    """Endpoints that hold all layers together.

    Attributes:
        members: The endpoints in order of their layers.
        tokens: Tokens for which each has memory at the least.
    """

    members: tuple[Endpoint, ...]
    tokens: float


def _form_copies(
    endpoints: list[Endpoint], shape: EngineShape, tokens: float
) -> list[Copy]:
    """Return whole copies that each have memory for some tokens.

    The fastest endpoints make the first copy, so that it is as fast as can be.

    Args:
        endpoints: Endpoints that hold nothing, the fastest first.
        shape: Published figures of their engines.
        tokens: Tokens for which each copy has memory at the least.
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
    """Return how many layers leave memory for some tokens on each accelerator."""
    kinds = {endpoint.accelerator: endpoint for endpoint in endpoints}
    return {kind: layers_that_fit(each, shape, tokens) for kind, each in kinds.items()}


def _assign_in_order(
    endpoints: Iterable[Endpoint], shape: EngineShape, tokens: float
) -> list[Assignment]:
    """Return one copy on the first endpoints that hold it; none if it does not fit."""
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
    """Return a copy with as much memory as its endpoints can give it.

    Otherwise the last member would hold only what is left over, and the others less
    memory for requests than the copy could have.

    Args:
        copy: The copy.
        shape: Published figures of its engines.
        most: Tokens for which it has memory at the most.
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
