"""When entries that are ending are expected to have ended, and to be back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.ending import expected_end
from lacewingcourse.relay.leaving import BALANCER_DELAY

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.relay.caller import CallerConnections, CallerExchange
    from lacewingcourse.relay.gateway import Gateway
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.readiness import Readiness

#: Rest of an answer of which nothing is known: as long as there is time.
UNKNOWN_REST = float("inf")


#: What a caller waits for while an entry serves.
ANOTHER = "another entry"


@attrs.define
class Endings:
    """Expects the end of this entry, and the return of the first.

    Attributes:
        readiness: Whether this entry is ending, and until when at the latest.
        callers: The connections of callers.
        gateway: What is done for their requests.
        book: The other entries.
        clock: Returns the present time in seconds.
    """

    readiness: Readiness
    callers: CallerConnections
    gateway: Gateway
    book: PeerBook
    clock: Callable[[], float]

    def ends_in(self) -> float | None:
        """Return the seconds until this entry has ended, None if it is not ending."""
        now = self.clock()
        end = self._own_end(now)
        return None if end is None else round(max(0.0, end - now), 3)

    def ready_in(self) -> float:
        """Return the seconds until an entry is expected to take connections."""
        now = self.clock()
        grace = self.readiness.grace
        return self.book.ready_in(grace, now, self._own_end(now))

    def waits_for(self) -> str:
        """Return what those seconds rest on, for a log line."""
        now = self.clock()
        grace = self.readiness.grace
        first = self.book.first_back(grace, now, self._own_end(now))
        return ANOTHER if first is None else first.describe(now)

    def _own_end(self, now: float) -> float | None:
        """Return when this entry is expected to have ended, None if it is not ending.

        It never ends while the balancer may still send callers here.
        """
        if not self.readiness.leaving:
            return None
        soonest = self.readiness.leaving_since + BALANCER_DELAY
        rests = [self._rest(caller, now) for caller in self.callers.open]
        return expected_end(soonest, self.readiness.last, rests, now)

    def _rest(self, caller: CallerExchange, now: float) -> float:
        """Return the seconds that an answer is expected to take yet."""
        if caller.ended or caller.gone:
            return 0.0
        job = self.gateway.jobs.get(caller)
        if job is None:
            # A request that is whole but not routed is being decided on.
            is_whole = caller in self.gateway.serving
            return 0.0 if is_whole else UNKNOWN_REST
        return min(self._expected(job, now), job.until - now)

    def _expected(self, job: Job, now: float) -> float:
        """Return the seconds that what is done for a request takes yet."""
        beliefs = self.gateway.beliefs
        shape = beliefs.shape(job.service)
        max_answer = job.request.most_answer
        if shape is not None and max_answer:
            max_events = -(-max_answer // shape.event_tokens) - job.events
            has_begun = job.events > 0
            rest = beliefs.durations.remaining_stream_seconds(
                job.service, max_events, has_begun
            )
            if rest is not None:
                return rest
        expected = beliefs.durations.expected(job.route.name)
        elapsed = now - job.request.received_at
        if expected is None or elapsed >= expected:
            return UNKNOWN_REST
        return expected - elapsed
