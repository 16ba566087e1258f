"""Keeps a stage's latest outputs, so that they can be sent to another next stage."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs


@attrs.frozen
class SampledToken:
    """An output of the last stage."""

    token: int
    text: str


@attrs.define
class OutputBuffer:
    """Outputs of consecutive positions.

    Attributes:
        first: Position of the first output that is kept.
        outputs: One hidden value or `SampledToken` a position.
    """

    first: int = 0
    outputs: list[Any] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self.outputs)

    @property
    def end(self) -> int:
        """Position behind the last output that is kept."""
        return self.first + len(self.outputs)

    def append(self, position: int, outputs: Sequence[Any]) -> None:
        """Keep outputs from a position on; a gap drops the older ones."""
        if position != self.end:
            self.first = position
            self.outputs = []
        self.outputs.extend(outputs)

    def since(self, position: int) -> Sequence[Any]:
        """Return the outputs from a position on."""
        return self.outputs[max(0, position - self.first) :]

    def clear(self) -> None:
        """Drop all outputs."""
        self.first = self.end
        self.outputs = []
