"""Which endpoint is ordered to hold which layers, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.placement_needs import (
    ModelTarget,
    PlacedEndpoint,
    coverage,
    gaps,
    needs,
    recut,
    removable,
    serving_version,
)

if TYPE_CHECKING:
    from lacewingcourse.core.layers import LayerRange

#: Weight of the newest observation in what is learned of times.
LEARNING = 0.3
#: Usual restarts that are waited for before layers held nowhere are loaded anew.
PATIENCE = 1.5


@attrs.frozen
class Assignment:
    """An endpoint is to hold layers of a version.

    Attributes:
        endpoint: Name of the endpoint.
        model: Name of the model.
        version: Version of the weights.
        layers: The layers.
    """

    endpoint: str
    model: str
    version: str
    layers: LayerRange


@attrs.define
class PlacementPlanner:
    """Decides loads; its memory may be lost without harm.

    Attributes:
        restart_time: Seconds that a restart usually takes.
        load_time: Seconds that a load usually takes.
        loads_at_once: Loads in progress at the most.
        missing_since: When each endpoint that is away was first missed, seconds.
        loading_since: When each endpoint began its load, seconds.
        blocked_until: Before this no load starts, as the weight store asked.
        blocked: Models whose version cannot be changed without a gap.
    """

    restart_time: float
    load_time: float
    loads_at_once: int = 2
    missing_since: dict[str, float] = attrs.field(factory=dict)
    loading_since: dict[str, float] = attrs.field(factory=dict)
    blocked_until: float = 0.0
    blocked: set[str] = attrs.field(factory=set)

    def on_rate_limit(self, retry_after: float, now: float) -> None:
        """Start no load before the weight store wants to be asked again."""
        self.blocked_until = max(self.blocked_until, now + retry_after)

    def decide(
        self, targets: list[ModelTarget], endpoints: list[PlacedEndpoint], now: float
    ) -> list[Assignment]:
        """Return the loads to order now.

        Args:
            targets: The models that are configured.
            endpoints: All endpoints that run a model engine.
            now: Present time in seconds.
        """
        self._observe(endpoints, now)
        free = self.loads_at_once - sum(each.busy for each in endpoints)
        if now < self.blocked_until or free <= 0:
            return []
        orders: list[Assignment] = []
        for target in targets:
            taken = {order.endpoint for order in orders}
            rest = [each for each in endpoints if each.id not in taken]
            orders += self._decide_model(target, rest, now)
        return orders[:free]

    def _observe(self, endpoints: list[PlacedEndpoint], now: float) -> None:
        """Learn from what has ended since the last look how long it took."""
        for each in endpoints:
            if not each.present:
                self.missing_since.setdefault(each.id, now)
            elif each.id in self.missing_since:
                took = now - self.missing_since.pop(each.id)
                self.restart_time += LEARNING * (took - self.restart_time)
            if each.busy:
                self.loading_since.setdefault(each.id, now)
            elif each.id in self.loading_since:
                took = now - self.loading_since.pop(each.id)
                self.load_time += LEARNING * (took - self.load_time)
        known = {each.id for each in endpoints}
        for name in set(self.missing_since) - known:
            del self.missing_since[name]

    def _decide_model(
        self, target: ModelTarget, endpoints: list[PlacedEndpoint], now: float
    ) -> list[Assignment]:
        """Return the loads of one model, the most urgent first."""
        mine = [each for each in endpoints if each.holds(target.name) and each.usable]
        spares = [each for each in endpoints if each.spare]
        version = serving_version(mine, target)
        serving = [each for each in mine if each.version == version]
        missing = gaps(coverage(serving, target.layer_count))
        if missing and serving:
            loading = any(each.busy for each in endpoints)
            if loading or not self._worth_acting(endpoints, now):
                return []
            return self._fill(target, version, missing, mine, spares)
        if missing:
            return self._fill(target, target.version, missing, mine, spares)
        if any(each.version != target.version for each in mine):
            return self._roll(target, mine, spares, endpoints)
        self.blocked.discard(target.name)
        return self._use_spares(target, serving, spares)

    def _worth_acting(self, endpoints: list[PlacedEndpoint], now: float) -> bool:
        """Tell whether a load is cheaper by now than waiting for a restart.

        Waiting costs at the most what the load itself would have cost, and no more
        than the usual restart, so it is never worse than twice the best choice.
        """
        away = [self.missing_since[each.id] for each in endpoints if each.may_return]
        if not away:
            return True
        patience = min(self.restart_time * PATIENCE, self.load_time)
        return now >= min(away) + patience

    def _fill(
        self,
        target: ModelTarget,
        version: str,
        missing: list[LayerRange],
        mine: list[PlacedEndpoint],
        spares: list[PlacedEndpoint],
    ) -> list[Assignment]:
        """Let others hold the layers that nobody holds."""
        helpers = [*spares, *(each for each in mine if each.version != version)]
        serving = [each for each in mine if each.version == version]
        helpers += removable(serving, target.layer_count, [1] * target.layer_count)
        orders = []
        for gap in missing:
            able = [each for each in helpers if each.room() >= len(gap)]
            if not able:
                return recut_orders(target, version, mine)
            helpers.remove(able[0])
            orders.append(Assignment(able[0].id, target.name, version, gap))
        return orders

    def _roll(
        self,
        target: ModelTarget,
        mine: list[PlacedEndpoint],
        spares: list[PlacedEndpoint],
        endpoints: list[PlacedEndpoint],
    ) -> list[Assignment]:
        """Bring endpoints to the wanted version without a gap in the old one."""
        count = target.layer_count
        new = [each for each in mine if each.version == target.version]
        old = [each for each in mine if each.version != target.version]
        missing = gaps(coverage(new, count))
        orders = []
        if missing:
            least = needs(old, count)
            for each in removable(old, count, least):
                wanted = any(each.layers.overlaps(gap) for gap in missing)
                if wanted:
                    orders.append(
                        Assignment(each.id, target.name, target.version, each.layers)
                    )
            for spare, gap in zip(spares, missing, strict=False):
                if spare.room() >= len(gap):
                    orders.insert(
                        0, Assignment(spare.id, target.name, target.version, gap)
                    )
        else:
            orders = [
                Assignment(each.id, target.name, target.version, each.layers)
                for each in self._spared(target, new, old)
            ]
        loading = any(each.busy for each in endpoints)
        if orders or loading:
            self.blocked.discard(target.name)
        else:
            self.blocked.add(target.name)
        return orders

    def _spared(
        self,
        target: ModelTarget,
        new: list[PlacedEndpoint],
        old: list[PlacedEndpoint],
    ) -> list[PlacedEndpoint]:
        """Return the old endpoints that the new version's copies can replace."""
        count = target.layer_count
        wanted = max(needs([*new, *old], count))
        copies = min(coverage(new, count))
        if copies >= wanted:
            return old
        left = list(old)
        for each in old:
            rest = [other for other in left if other is not each]
            if copies + min(coverage(rest, count)) >= wanted:
                left = rest
        return [each for each in old if each not in left]

    def _use_spares(
        self,
        target: ModelTarget,
        serving: list[PlacedEndpoint],
        spares: list[PlacedEndpoint],
    ) -> list[Assignment]:
        """Let spares hold the ranges that have the fewest copies for their need."""
        count = target.layer_count
        copies = coverage(serving, count)
        least = needs(serving, count)
        orders = []
        for spare in spares:
            fitting = {
                each.layers for each in serving if len(each.layers) <= spare.room()
            }
            if not fitting:
                continue
            best = min(
                sorted(fitting),
                key=lambda layers: min(
                    copies[layer] / least[layer]
                    for layer in range(layers.first, layers.end)
                ),
            )
            for layer in range(best.first, best.end):
                copies[layer] += 1
            orders.append(Assignment(spare.id, target.name, target.version, best))
        return orders


def recut_orders(
    target: ModelTarget, version: str, mine: list[PlacedEndpoint]
) -> list[Assignment]:
    """Return the loads that share all layers out anew among the endpoints left."""
    orders = []
    for endpoint, layers in recut(mine, target.layer_count):
        kept = endpoint.version == version and endpoint.layers.contains(layers)
        if not kept:
            orders.append(Assignment(endpoint.id, target.name, version, layers))
    return orders
