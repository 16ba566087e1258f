"""Requests that wait for room on a path, in the order in which they get it."""

from __future__ import annotations

import attrs

#: Share of its objective for which a request waits at the most. A first event takes
#: about a tenth of the objective on a path with room, so an answer that gets one
#: within half of it is still in time.
WAIT_SHARE = 0.5


@attrs.define(eq=False)
class Waiting:
    """A request that waits.

    Attributes:
        urgency: Rank, 0 for what is served first.
        tokens: Tokens that it needs.
        since: When it began to wait, seconds.
        until: Time at which it is refused.
    """

    urgency: int
    tokens: int
    since: float
    until: float


@attrs.define
class WaitingRoom:
    """The requests that wait at this entry.

    The more urgent come first, and among equals those that waited longest, so that a
    large request that does not fit yet is not overtaken for ever: while one waits that
    has used up half of its time, smaller ones behind it wait with it.

    Attributes:
        members: The requests.
    """

    members: list[Waiting] = attrs.field(factory=list)

    def enter(self, waiting: Waiting) -> None:
        """Take a request."""
        self.members.append(waiting)
        self.members.sort(key=lambda w: (w.urgency, w.since))

    def leave(self, waiting: Waiting) -> None:
        """Let a request go."""
        if waiting in self.members:
            self.members.remove(waiting)

    def may_pass(self, urgency: int, now: float) -> bool:
        """Tell whether a newcomer may take room before those that wait."""
        for member in self.members:
            half = member.since + (member.until - member.since) / 2
            if member.urgency <= urgency and now >= half:
                return False
        return True
