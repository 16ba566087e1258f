"""What a request needs on a path."""

from __future__ import annotations

import attrs


@attrs.frozen
class Demand:
    """Tokens for which a request needs compute time and memory on a path.

    Attributes:
        prompt_tokens: Tokens of its prompt.
        answer_tokens: Tokens that its answer is expected to have.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens that it is expected to hold in memory at its end."""
        return self.prompt_tokens + self.answer_tokens


#: Demand of no request, to read the present use of memory.
NO_DEMAND = Demand(0, 0)
