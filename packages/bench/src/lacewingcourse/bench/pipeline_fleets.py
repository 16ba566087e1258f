"""Fleets and loads that are played against the engines' step formula."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.shape import Accelerator, EngineShape

if TYPE_CHECKING:
    from pathlib import Path


@attrs.frozen
class Loss:
    """An endpoint that is lost during the play.

    Attributes:
        at: When it is lost, seconds.
        endpoint: Its id.
        back_after: Seconds after which it is back, empty; 0 for never.
    """

    at: float
    endpoint: str
    back_after: float = 0.0


@attrs.frozen
class FleetPlan:
    """A fleet, and the answers that are wanted of it.

    Attributes:
        shape: Figures of the engines.
        endpoints: Empty endpoints.
        first_within: Seconds within which a first event is wanted.
        gap_within: Seconds that may pass between two events.
        tokens_per_event: Tokens of an event.
        organisations: Organisations; the first has a third of the requests.
        losses: Endpoints that are lost.
    """

    shape: EngineShape
    endpoints: tuple[Endpoint, ...]
    first_within: float
    gap_within: float
    tokens_per_event: int
    organisations: int
    losses: tuple[Loss, ...] = ()


def read_plan(path: Path) -> FleetPlan:
    """Return the plan that a TOML file holds.

    Raises:
        KeyError: A field is missing.
    """
    document = tomllib.loads(path.read_text())
    kinds = {each["name"]: Accelerator(**each) for each in document["accelerators"]}
    return FleetPlan(
        shape=EngineShape(accelerators=kinds, **document["engine"]),
        endpoints=tuple(_endpoints(document["fleet"])),
        first_within=document["targets"]["first_within"],
        gap_within=document["targets"]["gap_within"],
        tokens_per_event=document["targets"]["tokens_per_event"],
        organisations=document["targets"]["organisations"],
        losses=tuple(Loss(**each) for each in document.get("losses", [])),
    )


def _endpoints(groups: list[dict]) -> list[Endpoint]:
    """Return the endpoints of groups of equal ones."""
    found = []
    for group in groups:
        for index in range(group["count"]):
            name = f"{group['zone']}-{group['accelerator']}-{index}"
            found.append(
                Endpoint(
                    id=name,
                    service="model",
                    address=f"{name}:1",
                    zone=group["zone"],
                    slots=group.get("slots", 96),
                    accelerator=group["accelerator"],
                    placeable=True,
                )
            )
    return found
