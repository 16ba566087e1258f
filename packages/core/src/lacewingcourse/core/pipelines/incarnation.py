"""Which start of an endpoint something is about."""

from __future__ import annotations

import attrs

#: Between the name and the start in an identifier.
SEPARATOR = "@"
#: Start of an endpoint that does not tell when it started.
UNKNOWN_START = 0


@attrs.frozen
class Incarnation:
    """One start of an endpoint, which may start again under its name.

    A later start holds nothing and knows nothing of the earlier one, so everything
    that is believed of an endpoint (layers, loads, suspicions, open orders, crashes)
    is kept under the identifier of its incarnation and ends with it. A request that
    was sent to an earlier incarnation may have run all the same.

    Attributes:
        name: Name under which the endpoint registers.
        born: Unix milliseconds of its start, `UNKNOWN_START` if it does not tell.
    """

    name: str
    born: int = UNKNOWN_START

    @property
    def id(self) -> str:
        """Identifier of the incarnation; the bare name if its start is untold."""
        if self.born == UNKNOWN_START:
            return self.name
        return f"{self.name}{SEPARATOR}{self.born}"

    def replaces(self, known: Incarnation) -> bool:
        """Tell whether this is a later start of the same endpoint."""
        return self.name == known.name and self.born > known.born

    def is_outdated(self, known: Incarnation) -> bool:
        """Tell whether this is an earlier start of the same endpoint."""
        return known.replaces(self)
