"""Time after which the caller of a refused request may return."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.pipelines.admission_queue import (
    retry_after,
    retry_after_exhausted,
    retry_after_limit,
)

if TYPE_CHECKING:
    from random import Random

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.durations import Durations
    from lacewingcourse.relay.job import Job

#: `Retry-After` of a refused call in seconds.
CALL_RETRY_AFTER = 0.3


@attrs.define
class RetryTimes:
    """Computes the `Retry-After` of refused requests.

    Attributes:
        durations: How long recent answers took.
        rng: Source of random numbers that spread the callers.
    """

    durations: Durations
    rng: Random

    def for_stream(
        self, job: Job, kind: ErrorKind, refusal: Refusal | None = None
    ) -> float:
        """Return the seconds after which the caller of a refused stream may return.

        Args:
            job: The stream.
            kind: Kind of the refusal.
            refusal: Why it got no room, None if it was sent.
        """
        if refusal is not None and refusal.retry_spread:
            return self._after_delay(refusal)
        draw = self.rng.random()
        if kind is ErrorKind.RETRIES_EXHAUSTED:
            wait = retry_after_exhausted(draw)
        else:
            wait = retry_after(self.durations.median(job.route.name), draw)
        if refusal is not None and refusal.retry_after is not None:
            limit_wait = retry_after_limit(refusal.retry_after, self.rng.random())
            wait = max(wait, limit_wait)
        return wait

    def for_call(self, refusal: Refusal) -> float:
        """Return the seconds after which the caller of a refused call may return.

        Args:
            refusal: Why it got no slot.
        """
        if refusal.retry_spread:
            return self._after_delay(refusal)
        if refusal.retry_after is None:
            return CALL_RETRY_AFTER
        wait = retry_after_limit(refusal.retry_after, self.rng.random())
        return max(CALL_RETRY_AFTER, wait)

    def _after_delay(self, refusal: Refusal) -> float:
        """Return the seconds until the end of a delay, spread over some time."""
        return refusal.retry_after + self.rng.random() * refusal.retry_spread
