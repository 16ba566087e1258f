"""Shared fleets and performance figures of the pipeline tests."""

from __future__ import annotations

import random

import attrs
import pytest

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.layout import plan_layout
from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape, Layers

#: Memory in megabytes, step and read factors of three kinds of accelerators.
KINDS = {
    "large": Accelerator("large", 72_000, 2.4, 3.2),
    "middle": Accelerator("middle", 43_200, 5.6, 2.7),
    "small": Accelerator("small", 21_600, 16.0, 8.2),
}
#: Endpoints of each kind in three availability zones.
FLEET = [
    ("east", "large", 1),
    ("middle", "large", 2),
    ("west", "large", 1),
    ("east", "middle", 6),
    ("middle", "middle", 2),
    ("west", "middle", 3),
    ("east", "small", 5),
    ("middle", "small", 5),
    ("west", "small", 8),
]


def make_shape(layers: int = 80, **changes) -> EngineShape:
    """Return the performance figures of a model of 140 GB."""
    shape = EngineShape(
        model="rooms",
        layers=layers,
        layer_mb=1750.0,
        token_bytes=1_836_000,
        step_ms=1.02,
        sequence_ms=0.01428,
        context_ms=0.01912,
        read_tokens_per_ms=105.0,
        slots=96,
        load_seconds=14.0,
        activation_bytes=91_800,
        pipe_mbps=18_000.0,
        usual_prompt=774,
        usual_answer=203,
        accelerators=KINDS,
    )
    return attrs.evolve(shape, **changes)


def make_endpoint(name: str, kind: str, zone: str = "east", **changes) -> Endpoint:
    """Return an empty endpoint of a kind."""
    endpoint = Endpoint(
        id=name,
        service="rooms",
        address=f"{name}:1",
        zone=zone,
        slots=96,
        accelerator=kind,
        placeable=True,
    )
    return attrs.evolve(endpoint, **changes)


def make_fleet() -> list[Endpoint]:
    """Return 33 empty endpoints of three kinds in three availability zones."""
    return [
        make_endpoint(f"{zone}-{kind}-{index}", kind, zone)
        for zone, kind, count in FLEET
        for index in range(count)
    ]


def make_five_zone_fleet():
    """Return 114 empty endpoints of three kinds in five availability zones."""
    counts = [(2, 12, 10), (3, 5, 12), (2, 7, 19), (1, 12, 10), (3, 4, 12)]
    return [
        make_endpoint(f"z{zone}-{kind}-{index}", kind, f"z{zone}")
        for zone, numbers in enumerate(counts)
        for kind, count in zip(("large", "middle", "small"), numbers, strict=True)
        for index in range(count)
    ]


def holding(endpoint: Endpoint, start: int, end: int) -> Endpoint:
    """Return an endpoint that holds some layers."""
    return attrs.evolve(endpoint, layers=Layers(start, end))


def placed(endpoints: list[Endpoint], shape: EngineShape) -> list[Endpoint]:
    """Return endpoints with the layers of a planned layout."""
    plan = {a.endpoint: a.layers for a in plan_layout(endpoints, shape)}
    return [attrs.evolve(e, layers=plan.get(e.id, e.layers)) for e in endpoints]


@pytest.fixture
def shape() -> EngineShape:
    """Performance figures of a model that does not fit on a single endpoint."""
    return make_shape()


@pytest.fixture
def fleet(shape) -> list[Endpoint]:
    """A fleet with a planned layout in place."""
    return placed(make_fleet(), shape)


@pytest.fixture
def rng() -> random.Random:
    """A random generator with a fixed seed."""
    return random.Random(7)
