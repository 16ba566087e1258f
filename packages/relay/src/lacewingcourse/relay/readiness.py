"""Whether this entry takes new connections, and which requests while it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shutdown import AnswerTime, take_until_redirected

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.beliefs import Beliefs


#: Seconds of the time for ending that are kept for the end itself.
SHUTDOWN_MARGIN = 0.4


@attrs.define
class Readiness:
    """Whether this entry is ready.

    Attributes:
        beliefs: What is believed of the deployment.
        grace: Seconds in which the process must have ended once it is asked to.
        takes_last: Tells whether a request is taken while the process ends, see
            `shutdown.LAST_REQUESTS`.
        leaving_since: When the request to end came, None before it.
        closed: Whether nothing is taken any more, since the process ends at once.
    """

    beliefs: Beliefs
    grace: float
    accept_policy: Callable[[AnswerTime, float], bool] = take_until_redirected
    drain_started_at: float | None = None
    closed: bool = False

    def start_drain(self, now: float) -> None:
        """Note the request to end."""
        if self.drain_started_at is None:
            self.drain_started_at = now

    def add_suspended_time(self, seconds: float) -> None:
        """Count time for which the machine was suspended, which the clock does not."""
        if self.drain_started_at is not None:
            self.drain_started_at -= seconds

    @property
    def draining(self) -> bool:
        """Whether this entry is ending."""
        return self.drain_started_at is not None

    @property
    def drain_deadline(self) -> float:
        """Time at which every answer must have ended, seconds."""
        since = self.drain_started_at
        return float("inf") if since is None else since + self.grace - SHUTDOWN_MARGIN

    def accepts(self, route: str, now: float, deadline: float) -> bool:
        """Tell whether a request is served, see `answer_time` for the arguments."""
        if not self.draining:
            return True
        if self.closed:
            return False
        return self.accept_policy(
            self.answer_time(route, now, deadline), self.drain_deadline - now
        )

    def answer_time(self, route: str, now: float, deadline: float) -> AnswerTime:
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
            expected=self.beliefs.durations.expected(route),
            limit=deadline - now,
            grace=self.grace,
            since_asked=now - self.drain_started_at,
        )

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.draining and self.beliefs.table is not None
