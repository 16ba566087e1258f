"""Whether this entry accepts new connections, and which requests while it drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.shutdown import AnswerTime, admit_until_redirected

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.routing_state import RoutingState


#: Seconds at the end of the grace time that are reserved for the shutdown itself.
SHUTDOWN_MARGIN = 0.4


@attrs.define
class Readiness:
    """Whether this entry is ready, and the state of its drain.

    Attributes:
        routing_state: Local view of the deployment.
        grace: Seconds from the shutdown request within which the process must have
            ended.
        accept_policy: Decides whether a request is accepted while the process drains,
            see `shutdown.LAST_REQUESTS`.
        drain_started_at: When the shutdown request came, None before it.
        closed: Whether no request is accepted any more because the process is ending.
    """

    routing_state: RoutingState
    grace: float
    accept_policy: Callable[[AnswerTime, float], bool] = admit_until_redirected
    drain_started_at: float | None = None
    closed: bool = False

    def start_drain(self, now: float) -> None:
        """Record the shutdown request; later ones change nothing."""
        if self.drain_started_at is None:
            self.drain_started_at = now

    def add_suspended_time(self, seconds: float) -> None:
        """Count time for which the machine was suspended and the clock stood still."""
        if self.drain_started_at is not None:
            self.drain_started_at -= seconds

    @property
    def draining(self) -> bool:
        """Whether this entry is draining."""
        return self.drain_started_at is not None

    @property
    def drain_deadline(self) -> float:
        """Time at which every answer must have ended, seconds."""
        since = self.drain_started_at
        return float("inf") if since is None else since + self.grace - SHUTDOWN_MARGIN

    def accepts(self, route: str, now: float, deadline: float) -> bool:
        """Return whether a request is accepted; see `answer_time` for the arguments."""
        if not self.draining:
            return True
        if self.closed:
            return False
        return self.accept_policy(
            self.answer_time(route, now, deadline), self.drain_deadline - now
        )

    def answer_time(self, route: str, now: float, deadline: float) -> AnswerTime:
        """Return how long the answer to a request may take while this entry drains.

        The balancer sends connections here for some seconds after the shutdown request,
        and during a rolling restart every entry may be draining at the same time.

        Args:
            route: Name of the request's route.
            now: Present time in seconds.
            deadline: Time at which the time limit of the route or of the caller
                expires.
        """
        return AnswerTime(
            expected=self.routing_state.durations.expected(route),
            limit=deadline - now,
            grace=self.grace,
            since_asked=now - self.drain_started_at,
        )

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections here.

        Without a configuration every request would be refused.
        """
        return not self.draining and self.routing_state.table is not None
