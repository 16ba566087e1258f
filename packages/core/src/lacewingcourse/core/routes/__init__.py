"""Choice of the chain of endpoints that covers every layer of a model."""

from __future__ import annotations

from lacewingcourse.core.routes import baselines, interleaved, shortest
from lacewingcourse.core.routes.fleet import Dispatch, Fleet
from lacewingcourse.core.routes.model import (
    WIDE_CHOICES,
    Route,
    RouteRequest,
    Stage,
    index_name,
    no_route,
    stage_of,
    usable,
)
from lacewingcourse.core.routes.policy import POLICIES, RoutePolicy
from lacewingcourse.core.routes.prediction import predict
from lacewingcourse.core.routes.suspects import suspects_route

#: Policies that are kept to compare others with.
BASELINES = ("random", "round_robin", "least_loaded")

__all__ = [
    "BASELINES",
    "POLICIES",
    "Dispatch",
    "Fleet",
    "Route",
    "RoutePolicy",
    "RouteRequest",
    "Stage",
    "WIDE_CHOICES",
    "baselines",
    "interleaved",
    "no_route",
    "predict",
    "shortest",
    "stage_of",
    "index_name",
    "suspects_route",
    "usable",
]
