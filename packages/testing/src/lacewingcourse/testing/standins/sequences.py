"""The engine stand-in's memory of sequences, with forks, exports and imports."""

from __future__ import annotations

from collections import deque

import attrs

from lacewingcourse.core.layers import LayerRange

#: Positions of a sequence whose memories are kept, so that a fork can go back.
HISTORY_POSITIONS = 4096


@attrs.frozen
class SequenceExport:
    """Memories of a sequence at one position, to be imported elsewhere.

    Attributes:
        sequence: Name of the sequence.
        layers: Layers that the memories are of.
        position: The next position.
        memories: Memory of each layer.
    """

    sequence: str
    layers: LayerRange
    position: int
    memories: tuple[int, ...]


@attrs.define
class Sequence:
    """An engine's memory of one sequence.

    Attributes:
        layers: Layers that the memory is of.
        position: The next position.
        memories: Memory of each layer.
        history: Memories before each of the last positions, oldest first.
    """

    layers: LayerRange
    position: int
    memories: list[int]
    history: deque[tuple[int, ...]] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_POSITIONS)
    )

    def remember(self) -> None:
        """Keep the memories as they are before the next position."""
        self.history.append(tuple(self.memories))

    def memories_at(self, position: int) -> tuple[int, ...] | None:
        """Return the memories before a position, or None if no longer kept."""
        if position == self.position:
            return tuple(self.memories)
        back = self.position - position
        if not 0 < back <= len(self.history):
            return None
        return self.history[-back]


@attrs.define
class Sequences:
    """All sequences of an engine by name."""

    known: dict[str, Sequence] = attrs.field(factory=dict)

    def begin(self, name: str, layers: LayerRange) -> None:
        """Start a sequence anew."""
        self.known[name] = Sequence(layers, 0, [0] * len(layers))

    def export(self, name: str, position: int) -> SequenceExport | None:
        """Return a sequence as it was before a position, or None."""
        sequence = self.known.get(name)
        memories = sequence.memories_at(position) if sequence else None
        if memories is None:
            return None
        return SequenceExport(name, sequence.layers, position, memories)

    def take(self, export: SequenceExport) -> None:
        """Take a sequence over under the name that the export gives."""
        self.known[export.sequence] = Sequence(
            export.layers, export.position, list(export.memories)
        )

    def fork(self, source: str, target: str, position: int) -> bool:
        """Copy a sequence under another name; tell whether it was still kept."""
        export = self.export(source, position)
        if export is None:
            return False
        self.take(attrs.evolve(export, sequence=target))
        return True
