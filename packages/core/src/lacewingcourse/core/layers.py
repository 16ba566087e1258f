"""Ranges of model layers."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class LayerRange:
    """A half-open range of layers.

    Attributes:
        first: Index of the first layer.
        end: Index behind the last layer.
    """

    first: int
    end: int

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.first < self.end:
            raise ValueError(f"not a range of layers: [{self.first}, {self.end})")

    def __len__(self) -> int:
        return self.end - self.first

    def overlaps(self, other: LayerRange) -> bool:
        """Tell whether the ranges have a layer in common."""
        return self.first < other.end and other.first < self.end

    def contains(self, other: LayerRange) -> bool:
        """Tell whether the other range lies within this one."""
        return self.first <= other.first and other.end <= self.end
