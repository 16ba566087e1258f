"""Shared fixtures of the relay tests."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape, Layers
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.routing_state import RoutingState


@pytest.fixture
def shape() -> EngineShape:
    """Figures of a model of two layers, of which an accelerator holds one.

    Each accelerator has memory for 50,000 tokens in its layer.
    """
    return EngineShape(
        model="m",
        layers=2,
        layer_mb=100.0,
        token_bytes=2_000.0,
        step_ms=1.0,
        sequence_ms=0.01,
        context_ms=0.01,
        read_tokens_per_ms=100.0,
        slots=96,
        load_seconds=1.0,
        activation_bytes=100.0,
        pipe_mbps=1_000.0,
        usual_prompt=1_000,
        usual_answer=200,
        accelerators={"small": Accelerator("small", 150.0, 1.0, 1.0)},
    )


@pytest.fixture
def small():
    """Return a function that makes an endpoint that holds one of two layers."""

    def make(name: str, layer: int) -> Endpoint:
        return Endpoint(
            name,
            "rooms",
            f"{name}:1",
            "east",
            96,
            accelerator="small",
            layers=Layers(layer, layer + 1),
            placeable=True,
        )

    return make


@pytest.fixture
def finder(shape, small):
    """A path finder over two holders of each of two layers."""
    routing_state = RoutingState()
    for name, layer in zip("abcd", (0, 0, 1, 1), strict=True):
        routing_state.fleet.put(small(name, layer))
    routing_state.table = SimpleNamespace(
        services={"rooms": SimpleNamespace(shape=shape)}
    )
    return PathFinder(routing_state, Random(1), lambda: 0.0)
