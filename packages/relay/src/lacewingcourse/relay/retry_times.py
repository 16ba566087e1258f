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
        self, job: Job, kind: ErrorKind, limit_wait: float | None = None
    ) -> float:
        """Return the seconds after which the caller of a refused stream may return.

        Args:
            job: The stream.
            kind: Kind of the refusal.
            limit_wait: Seconds until an endpoint's rate limit admits a request, None if
                no limit is the cause.
        """
        draw = self.rng.random()
        if kind is ErrorKind.RETRIES_EXHAUSTED:
            wait = retry_after_exhausted(draw)
        else:
            wait = retry_after(self.durations.median(job.route.name), draw)
        if limit_wait is not None:
            wait = max(wait, retry_after_limit(limit_wait, self.rng.random()))
        return wait

    def for_call(self, job: Job, limit_wait: float | None = None) -> float:
        """Return the seconds after which the caller of a refused call may return.

        Args:
            job: The call.
            limit_wait: As for `for_stream`.
        """
        if limit_wait is None:
            return CALL_RETRY_AFTER
        wait = retry_after_limit(limit_wait, self.rng.random())
        return max(CALL_RETRY_AFTER, wait)
