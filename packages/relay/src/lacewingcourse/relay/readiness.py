"""Whether this entry takes new connections, and which requests while it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shutdown import AnswerTime, admit_until_redirected

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.routing_state import RoutingState


#: Seconds of the time for ending that are kept for the end itself.
END_MARGIN = 0.4


@attrs.define
class Readiness:
    """Whether this entry is ready.

    Attributes:
        routing_state: What is believed of the deployment.
        grace: Seconds in which the process must have ended once it is asked to.
        takes_last: Tells whether a request is taken while the process ends, see
            `shutdown.LAST_REQUESTS`.
        leaving_since: When the request to end came, None before it.
        closed: Whether nothing is taken any more, since the process ends at once.
    """

    routing_state: RoutingState
    grace: float
    takes_last: Callable[[AnswerTime, float], bool] = admit_until_redirected
    leaving_since: float | None = None
    closed: bool = False

    def leave(self, now: float) -> None:
        """Note the request to end."""
        if self.leaving_since is None:
            self.leaving_since = now

    def suspended(self, seconds: float) -> None:
        """Count time for which the machine was suspended, which the clock does not."""
        if self.leaving_since is not None:
            self.leaving_since -= seconds

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
        """Tell whether a request is served, see `answer_time` for the arguments."""
        if not self.leaving:
            return True
        if self.closed:
            return False
        return self.takes_last(self.answer_time(route, now, until), self.last - now)

    def answer_time(self, route: str, now: float, until: float) -> AnswerTime:
        """Return how long the answer to a request may take while this entry ends.

        The balancer sends connections here for some seconds after the request to end,
        and while all entries are restarted in turn there are times when every one of
        them is ending.

        Args:
            route: Name of its route.
            now: Present time in seconds.
            until: Time at which the route's time or the caller's is over.
        """
        return AnswerTime(
            expected=self.routing_state.durations.expected(route),
            limit=until - now,
            grace=self.grace,
            since_asked=now - self.leaving_since,
        )

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.leaving and self.routing_state.table is not None
