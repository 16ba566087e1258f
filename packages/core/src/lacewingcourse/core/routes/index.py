"""Index of endpoints by model and layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.routes.records import Group

if TYPE_CHECKING:

    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.routes.records import EndpointRecord


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
