"""Requests that wait for room on a path, in the order in which they get it."""

from __future__ import annotations

import attrs

#: Share of its objective for which a request waits in order. A first event takes about
#: a tenth of the objective on a path with room, so an answer that gets one within half
#: of it is still in time.
ORDERED_SHARE = 0.5
#: Objectives for which a request waits at the most. It is late then, but is served
#: rather than refused; callers give a silent entry up after four objectives.
MOST_OBJECTIVES = 2.0
#: Seconds after its last event for which a stream that broke waits for a path. Its
#: caller leaves after two seconds of silence, and until then the answer is not ended
#: from here; late, it is still worth a quarter.
CONTINUED_WAIT = 2.2


@attrs.define(eq=False)
class Waiting:
    """A request that waits.

    Attributes:
        urgency: Rank, 0 for what is served first.
        tokens: Tokens that it needs.
        since: When it began to wait, seconds.
        ordered_until: Time until which newcomers do not pass it.
        until: Time at which it is refused.
    """

    urgency: int
    tokens: int
    since: float
    ordered_until: float
    until: float


@attrs.define
class WaitingRoom:
    """The requests that wait at this entry.

    Requests that can still be in time go first, the more urgent before the others. A
    large one that does not fit yet is not passed by newcomers once half of that time is
    used up. Requests that are late already take what is left over.

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
            half = member.since + (member.ordered_until - member.since) / 2
            if member.urgency <= urgency and half <= now < member.ordered_until:
                return False
        return True

    def is_next(self, waiting: Waiting, now: float) -> bool:
        """Tell whether a request that waits may look for room.

        One that is late already leaves it to those that can still be in time.
        """
        if now < waiting.ordered_until:
            return True
        return not any(now < member.ordered_until for member in self.members)
