"""Estimates when a draining entry ends and when the first entry accepts connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.restart_estimate import expected_end
from lacewingcourse.relay.drain import BALANCER_DELAY

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.relay.caller import CallerConnections, CallerExchange
    from lacewingcourse.relay.gateway import Gateway
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.readiness import Readiness

#: Remaining time of an answer of unknown length: as long as the deadline allows.
UNKNOWN_REMAINING = float("inf")


#: Value of `waits_for` while the balancer sends callers to another entry.
ANOTHER_ENTRY = "another entry"


@attrs.define
class RestartEstimator:
    """Estimates the end of this entry, and when the first entry is back.

    Attributes:
        readiness: Whether this entry drains, and its deadline.
        callers: Connections of callers.
        gateway: Jobs of their requests.
        book: Known peers.
        clock: Returns the present time in seconds.
    """

    readiness: Readiness
    callers: CallerConnections
    gateway: Gateway
    book: PeerTable
    clock: Callable[[], float]

    def ends_in(self) -> float | None:
        """Return the seconds until this entry has ended, None if it does not drain."""
        now = self.clock()
        end = self._expected_end(now)
        return None if end is None else round(max(0.0, end - now), 3)

    def ready_in(self) -> float:
        """Return the seconds until an entry is expected to accept connections."""
        now = self.clock()
        grace = self.readiness.grace
        return self.book.ready_in(grace, now, self._expected_end(now))

    def waits_for(self) -> str:
        """Return which entry `ready_in` is based on, for a log line."""
        now = self.clock()
        grace = self.readiness.grace
        first = self.book.first_ready(grace, now, self._expected_end(now))
        return ANOTHER_ENTRY if first is None else first.describe(now)

    def _expected_end(self, now: float) -> float | None:
        """Return when this entry is expected to have ended, None if it does not drain.

        It does not end while the balancer may still send callers here.
        """
        if not self.readiness.draining:
            return None
        earliest = self.readiness.drain_started_at + BALANCER_DELAY
        remaining = [self._remaining(caller, now) for caller in self.callers.open]
        return expected_end(earliest, self.readiness.drain_deadline, remaining, now)

    def _remaining(self, caller: CallerExchange, now: float) -> float:
        """Return the seconds that a request is expected to stay open."""
        if caller.response_ended or caller.disconnected:
            return 0.0
        job = self.gateway.jobs.get(caller)
        if job is None:
            # A request that was received completely but has no job is being routed.
            is_received = caller in self.gateway.serving
            return 0.0 if is_received else UNKNOWN_REMAINING
        return min(self._expected_remaining(job, now), job.deadline - now)

    def _expected_remaining(self, job: Job, now: float) -> float:
        """Return the expected seconds until a job ends, ignoring its deadline."""
        routing_state = self.gateway.routing_state
        shape = routing_state.shape(job.service)
        max_answer = job.request.max_answer_tokens
        if shape is not None and max_answer:
            max_events = -(-max_answer // shape.event_tokens) - job.events
            has_begun = job.events > 0
            remaining = routing_state.durations.remaining_stream_seconds(
                job.service, max_events, has_begun
            )
            if remaining is not None:
                return remaining
        expected = routing_state.durations.expected(job.route.name)
        elapsed = now - job.request.received_at
        if expected is None or elapsed >= expected:
            return UNKNOWN_REMAINING
        return expected - elapsed
