"""Identity of an endpoint process across restarts under one name."""

from __future__ import annotations

import attrs

#: Separates name and start time in an identifier.
SEPARATOR = "@"
#: Start time of an endpoint that does not report one.
UNKNOWN_START = 0


@attrs.frozen
class Incarnation:
    """One start of an endpoint, which may start again under its name.

    A later start neither holds nor knows anything of an earlier one. All state about an
    endpoint (layers, loads, suspicions, open orders, crashes) is therefore kept under
    the identifier of its incarnation and is dropped with it. A request that was sent to
    an earlier incarnation may still have run.

    Attributes:
        name: Name under which the endpoint registers.
        born: Time of its start in Unix milliseconds, `UNKNOWN_START` if it does not
            report one.
    """

    name: str
    born: int = UNKNOWN_START

    @property
    def id(self) -> str:
        """Identifier of the incarnation; the bare name if its start is unknown."""
        if self.born == UNKNOWN_START:
            return self.name
        return f"{self.name}{SEPARATOR}{self.born}"

    def replaces(self, known: Incarnation) -> bool:
        """Tell whether this is a later start of the same endpoint."""
        return self.name == known.name and self.born > known.born

    def is_outdated(self, known: Incarnation) -> bool:
        """Tell whether this is an earlier start of the same endpoint."""
        return known.replaces(self)
