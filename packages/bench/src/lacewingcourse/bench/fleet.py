"""The fleet that goodput is measured on: endpoints, classes, organisations, bound."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lacewingcourse.bench.bound import Demand, max_flow_bound
from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.load.lengths import parse_lengths
from lacewingcourse.load.mix import ClassLoad, Mix, OrganisationLoad, Target
from lacewingcourse.testing.layout import ZONES, EndpointPlan, plan_endpoints
from lacewingcourse.testing.standins.engine_host import EngineSpec

#: Layers of each model.
LAYERS = 24
#: The large model and its endpoints.
LARGE_MODEL, LARGE_ENDPOINTS = "mapchat", 30
#: The small model, and the layers of its endpoints.
SMALL_MODEL = "agentdesk"
SMALL_RANGES = (LayerRange(0, 16), LayerRange(8, 24), LayerRange(0, 16))
#: Speeds of the seven kinds of accelerators.
SPEEDS = (1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)
#: Seconds of a step on the slowest kind, before scaling.
SLOWEST_STEP = 0.24
#: Seconds that a position adds on the slowest kind, before scaling.
SLOWEST_ITEM = 0.004
#: Items of a step at the most.
BATCH_ITEMS = 2
#: Delays of the links, a hundredfold apart, seconds before scaling.
LINK_DELAYS = (0.0001, 0.0003, 0.001, 0.003, 0.01)
#: Weights of the organisations: a few large, many small.
ORGANISATION_WEIGHTS = (30, 25, 15, 6, 6, 5, 5, 4, 2, 2)
#: Words of every prompt.
PROMPT_WORDS = 6


@attrs.frozen
class ClassPlan:
    """A class of work of the fleet's mix.

    Attributes:
        name: Name of the class.
        model: Its model.
        share: Weight among the classes of its model.
        tokens: Tokens of an answer.
        answer: Seconds to the whole answer, before scaling.
    """

    name: str
    model: str
    share: float
    tokens: int
    answer: float


CLASSES = (
    ClassPlan("room-naming", LARGE_MODEL, 0.6, 6, 5.0),
    ClassPlan("cleaning-log", LARGE_MODEL, 0.4, 12, 10.0),
    ClassPlan("call-centre", SMALL_MODEL, 1.0, 8, 6.0),
)


@attrs.frozen
class FleetEndpoint:
    """An endpoint of the fleet.

    Attributes:
        plan: Its name, availability zone and layers.
        spec: Its engine; the port is filled in at the start.
    """

    plan: EndpointPlan
    spec: EngineSpec


def plan_fleet(scale: float) -> list[FleetEndpoint]:
    """Return the endpoints of both models.

    Args:
        scale: Factor on all times.
    """
    plans = plan_endpoints(LARGE_ENDPOINTS, LAYERS)
    fleet = [
        FleetEndpoint(plan, engine_spec(LARGE_MODEL, plan.layers, index, scale))
        for index, plan in enumerate(plans)
    ]
    for index, layers in enumerate(SMALL_RANGES):
        plan = EndpointPlan(f"{SMALL_MODEL}-{index + 1}", ZONES[index], layers)
        spec = engine_spec(SMALL_MODEL, layers, 3 * index, scale)
        fleet.append(FleetEndpoint(plan, spec))
    return fleet


def engine_spec(model: str, layers: LayerRange, index: int, scale: float) -> EngineSpec:
    """Return an engine whose kind and link follow from its index."""
    speed = SPEEDS[(index // 3) % len(SPEEDS)]
    return EngineSpec(
        port=0,
        model=model,
        layers=layers,
        step_time=SLOWEST_STEP * scale / speed,
        item_time=SLOWEST_ITEM * scale / speed,
        batch_items=BATCH_ITEMS,
        link_delay=LINK_DELAYS[index % len(LINK_DELAYS)] * scale,
    )


def model_bound(fleet: Iterable[FleetEndpoint], model: str) -> float:
    """Return the requests a second of a model's mix that the fleet can pass."""
    tokens = sum(each.share * each.tokens for each in CLASSES if each.model == model)
    specs = [each.spec for each in fleet if each.spec.model == model]
    return max_flow_bound(specs, LAYERS, Demand(PROMPT_WORDS, tokens))


@attrs.frozen
class Bounds:
    """The most that a fleet can do, by model.

    Attributes:
        requests: Requests a second.
        tokens: Tokens a second.
    """

    requests: dict[str, float]
    tokens: dict[str, float]

    @property
    def total_requests(self) -> float:
        """Requests a second of all models."""
        return sum(self.requests.values())

    @property
    def total_tokens(self) -> float:
        """Tokens a second of all models."""
        return sum(self.tokens.values())


def bounds(fleet: list[FleetEndpoint]) -> Bounds:
    """Return the bounds of a fleet."""
    requests = {
        model: model_bound(fleet, model) for model in (LARGE_MODEL, SMALL_MODEL)
    }
    tokens = {
        model: rate
        * sum(each.share * each.tokens for each in CLASSES if each.model == model)
        for model, rate in requests.items()
    }
    return Bounds(requests, tokens)


def mix_of(keys: dict[str, str], found: Bounds, scale: float) -> Mix:
    """Return the mix: each model loaded to the same multiple of its bound.

    Args:
        keys: Key of each organisation, the largest first.
        found: Bounds of the whole fleet.
        scale: Factor on all times.
    """
    classes = tuple(
        ClassLoad(
            name=each.name,
            share=each.share * found.requests[each.model],
            prompt=f"fixed:{PROMPT_WORDS}",
            answer=f"fixed:{each.tokens}",
            target=Target(answer=each.answer * scale),
            model=each.model,
        )
        for each in CLASSES
    )
    organisations = tuple(
        OrganisationLoad(name, key, weight)
        for (name, key), weight in zip(keys.items(), ORGANISATION_WEIGHTS, strict=True)
    )
    mix = Mix(LARGE_MODEL, classes, organisations)
    mix.check()
    return mix


def work_classes(scale: float) -> list[WorkClass]:
    """Return the classes as operators publish them."""
    return [WorkClass(each.name, answer=each.answer * scale) for each in CLASSES]


def longest_target(scale: float) -> float:
    """Return the seconds of the loosest class target."""
    return max(each.answer for each in CLASSES) * scale


def tokens_of(work_class: ClassLoad) -> float:
    """Return the tokens of an answer of a class of the mix."""
    return parse_lengths(work_class.answer).arguments[0]
