"""Whether this entry takes new connections, and how it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.relay.beliefs import Beliefs


#: Share of the time for ending that an answer is expected to take of a route of which
#: few were seen: an entry that has just started takes requests for the first third.
UNKNOWN_SHARE = 0.65
#: Seconds of the time for ending that are kept for the end itself.
END_MARGIN = 0.4


@attrs.define
class Readiness:
    """Whether this entry is ready.

    Attributes:
        beliefs: What is believed of the deployment.
        grace: Seconds in which the process must have ended once it is asked to.
        leaving_since: When the request to end came, None before it.
    """

    beliefs: Beliefs
    grace: float
    leaving_since: float | None = None

    def leave(self, now: float) -> None:
        """Note the request to end."""
        if self.leaving_since is None:
            self.leaving_since = now

    @property
    def leaving(self) -> bool:
        """Whether this entry is ending."""
        return self.leaving_since is not None

    @property
    def last(self) -> float:
        """Time at which every answer must have ended, seconds."""
        since = self.leaving_since
        return float("inf") if since is None else since + self.grace - END_MARGIN

    def takes(self, route: str, now: float, until: float) -> bool:
        """Tell whether a request is served.

        The balancer sends connections here for some seconds after the request to end,
        and while all entries are restarted in turn there are times when every one of
        them is ending. Whatever is expected to be answered before the end is taken.

        Args:
            route: Name of its route.
            now: Present time in seconds.
            until: Time at which the route's time or the caller's is over.
        """
        if not self.leaving or until <= self.last:
            return True
        expected = self.beliefs.durations.expected(route)
        if expected is None:
            expected = UNKNOWN_SHARE * self.grace
        return now + expected <= self.last

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.leaving and self.beliefs.table is not None
