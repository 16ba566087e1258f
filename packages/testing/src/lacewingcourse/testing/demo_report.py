"""Outcomes of the demo, judged against what the endpoints really ran."""

from __future__ import annotations

from collections import Counter

import attrs

#: Outcomes that a refusal may claim although nothing ran.
MAY_NOT_HAVE_RUN = frozenset({"not_run", "unknown"})


@attrs.frozen
class Refused:
    """A refusal that a caller got.

    Attributes:
        kind: Its error kind.
        outcome: What it says of the request's effect.
        ran: Whether the request ran, as the endpoints tell.
    """

    kind: str
    outcome: str
    ran: bool

    @property
    def untrue(self) -> bool:
        """Whether the refusal says what is not so."""
        if self.ran:
            return self.outcome == "not_run"
        return self.outcome not in MAY_NOT_HAVE_RUN


@attrs.define
class DemoReport:
    """Outcomes of the demo.

    Attributes:
        sent: Requests sent, resends included.
        whole: Answers that were whole and right.
        refused: Refusals.
        doubled: Runs of a tally beyond its first.
        wrong: Answers with another text than expected, cut, or without an effect.
        recovery_time: Seconds from the kill to the next token of the answer that
            waited longest.
    """

    sent: int = 0
    whole: int = 0
    refused: list[Refused] = attrs.field(factory=list)
    doubled: int = 0
    wrong: int = 0
    recovery_time: float = 0.0

    @property
    def untrue(self) -> int:
        """Refusals that say what is not so."""
        return sum(refusal.untrue for refusal in self.refused)

    @property
    def passed(self) -> bool:
        """Whether nothing was lost, doubled, wrong or untrue."""
        accounted = self.whole + len(self.refused) == self.sent
        return accounted and not self.doubled + self.wrong + self.untrue

    def table(self) -> str:
        """Return the report as a table."""
        kinds = Counter(refusal.kind for refusal in self.refused)
        refused = ", ".join(f"{kind}: {n}" for kind, n in sorted(kinds.items()))
        rows = [
            ("sent", self.sent),
            ("whole", self.whole),
            ("refused by kind", refused or "none"),
            ("doubled", self.doubled),
            ("wrong", self.wrong),
            ("untrue refusals", self.untrue),
            ("recovery time", f"{self.recovery_time * 1000:.0f} ms"),
        ]
        return "\n".join(f"{name:<18}{value}" for name, value in rows)
