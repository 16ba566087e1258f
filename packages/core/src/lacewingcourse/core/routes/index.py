"""Index of endpoints by model and layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.routes.records import EndpointRecord

#: Draws after which a small admitted share no longer keeps an endpoint out.
DRAWS = 4


class Group:
    """Endpoints that hold the same layers of a model.

    Attributes:
        layers: The layers.
        members: Records that take new work, in no order.
        ejected: Records that take new work but are outliers.
    """

    def __init__(self, layers: LayerRange) -> None:
        self.layers = layers
        self.members: list[EndpointRecord] = []
        self.ejected: list[EndpointRecord] = []

    def add(self, record: EndpointRecord) -> None:
        """Add a record."""
        pool = self.ejected if record.ejected else self.members
        record.slot = len(pool)
        record.group = self
        pool.append(record)

    def remove(self, record: EndpointRecord) -> None:
        """Remove a record."""
        pool = self.ejected if record.ejected else self.members
        last = pool.pop()
        if last is not record:
            pool[record.slot] = last
            last.slot = record.slot
        record.group = None

    def pool(self) -> list[EndpointRecord]:
        """Return the members, or the outliers if there is nobody else."""
        return self.members or self.ejected

    def sample(
        self, count: int, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return some records at random that are not excluded; all if there are few.

        Records with a small admitted share are passed over at their other turns.
        """
        pool = self.pool()
        size = len(pool)
        if size <= count:
            return self.allowed(excluded, rng)
        found: list[EndpointRecord] = []
        draw = rng.random
        for _ in range(count + DRAWS):
            record = pool[int(draw() * size)]
            if record in found or (excluded and record.state.id in excluded):
                continue
            if record.share < 1.0 and draw() >= record.share:
                continue
            found.append(record)
            if len(found) == count:
                return found
        return found or self.allowed(excluded, rng)

    def allowed(
        self, excluded: frozenset[str], rng: random.Random
    ) -> list[EndpointRecord]:
        """Return all records that are not excluded; outliers if there is no other."""
        found = [each for each in self.members if each.state.id not in excluded]
        if not found:
            return [each for each in self.ejected if each.state.id not in excluded]
        ready = [
            each for each in found if each.share >= 1.0 or rng.random() < each.share
        ]
        return ready or found


class ModelIndex:
    """The groups of one model.

    Attributes:
        groups: Groups by layers.
        ordered: Groups with members, in order of the end of their layers.
        version: Count of the changes of membership.
    """

    def __init__(self) -> None:
        self.groups: dict[LayerRange, Group] = {}
        self.ordered: list[Group] = []
        self.version = 0

    def add(self, record: EndpointRecord) -> None:
        """Add a record to the group of its layers."""
        group = self.groups.get(record.state.layers)
        if group is None:
            group = self.groups[record.state.layers] = Group(record.state.layers)
            self.ordered = sorted(
                self.groups.values(), key=lambda each: (each.layers.end, each.layers)
            )
        group.add(record)
        self.version += 1

    def remove(self, record: EndpointRecord) -> None:
        """Remove a record from its group."""
        group = record.group
        group.remove(record)
        self.version += 1
        if not group.members and not group.ejected:
            del self.groups[group.layers]
            self.ordered.remove(group)
