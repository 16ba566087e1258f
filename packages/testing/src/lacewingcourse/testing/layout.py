"""Which layers and availability zones the endpoints of a deployment get."""

from __future__ import annotations

import attrs

from lacewingcourse.core.layers import LayerRange

#: Availability zones of a local deployment.
ZONES = ("kgn-hall-a", "kgn-hall-b", "sptn-hall")
#: Stages that the model is cut into when there are endpoints enough.
STAGES = 3


@attrs.frozen
class EndpointPlan:
    """One endpoint of a deployment.

    Attributes:
        id: Name of the instance.
        availability_zone: Where it stands.
        layers: The layers it holds, or None.
    """

    id: str
    availability_zone: str
    layers: LayerRange | None


def plan_endpoints(endpoint_count: int, layer_count: int) -> list[EndpointPlan]:
    """Return endpoints that hold each layer at least twice.

    Every second copy of a stage holds a layer more at each side, so that ranges
    overlap and cut points are part of the choice of a route.

    Args:
        endpoint_count: Endpoints, 2 at least.
        layer_count: Layers of the model.

    Raises:
        ValueError: The layers cannot be held twice.
    """
    if endpoint_count < 2:
        raise ValueError("at least 2 endpoints are needed to hold each layer twice")
    stages = min(STAGES, endpoint_count // 2, layer_count)
    cuts = [layer_count * index // stages for index in range(stages + 1)]
    plans = []
    for index in range(endpoint_count):
        stage, copy = index % stages, index // stages
        margin = copy % 2
        first = max(0, cuts[stage] - margin)
        end = min(layer_count, cuts[stage + 1] + margin)
        plans.append(
            EndpointPlan(
                id=f"endpoint-{index + 1}",
                availability_zone=ZONES[(stage + copy) % len(ZONES)],
                layers=LayerRange(first, end),
            )
        )
    return plans


def plan_spares(endpoint_count: int, spare_count: int) -> list[EndpointPlan]:
    """Return endpoints that hold nothing, numbered after those that do."""
    numbers = range(endpoint_count + 1, endpoint_count + spare_count + 1)
    return [
        EndpointPlan(f"endpoint-{number}", ZONES[number % len(ZONES)], None)
        for number in numbers
    ]
