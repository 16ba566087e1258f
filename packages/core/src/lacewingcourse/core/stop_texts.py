"""Finds the texts that end an answer, also where they span tokens."""

from __future__ import annotations

import attrs


@attrs.define
class StopMatcher:
    """Passes text on up to the first stop text.

    Text that may be the start of a stop text is held back until it is known.

    Attributes:
        texts: The stop texts; none of them is empty.
        held: Text that is held back.
        found: Whether a stop text was seen.
    """

    texts: tuple[str, ...]
    held: str = ""
    found: bool = False

    def feed(self, text: str) -> str:
        """Take the next text of the answer; return what may be passed on."""
        if not self.texts:
            return text
        self.held += text
        starts = [self.held.find(each) for each in self.texts]
        starts = [start for start in starts if start >= 0]
        if starts:
            self.found = True
            return self._release(min(starts))
        return self._release(len(self.held) - self._doubtful())

    def rest(self) -> str:
        """Return the text that was held back, at the end of the answer."""
        return self._release(len(self.held))

    def _release(self, length: int) -> str:
        """Return the first characters of the held text and keep the others."""
        released, self.held = self.held[:length], self.held[length:]
        return released

    def _doubtful(self) -> int:
        """Return how many last characters may start a stop text."""
        longest = max(len(each) for each in self.texts) - 1
        for length in range(min(longest, len(self.held)), 0, -1):
            if any(each.startswith(self.held[-length:]) for each in self.texts):
                return length
        return 0
