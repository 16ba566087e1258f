"""Policies for which requests an instance still accepts during its shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Share of the grace period that an answer of unknown duration is expected to take.
UNKNOWN_SHARE = 0.65
#: Seconds after the shutdown request in which the balancer still sends callers to this
#: instance. It probes once a second and reacts to the second failure.
REDIRECT_TIME = 2.5


@attrs.frozen
class AnswerTime:
    """Duration that the answer to a request may have.

    Attributes:
        expected: Seconds that nearly all answers of its route take, None if unknown.
        limit: Seconds until the timeout of the route or of the caller.
        grace: Seconds between the shutdown request and the end of the instance.
        since_asked: Seconds since the shutdown request.
    """

    expected: float | None
    limit: float
    grace: float
    since_asked: float


#: Policies for which requests an instance accepts during its shutdown: each tells
#: whether to accept one, from the duration of its answer and the seconds left.
LAST_REQUESTS: Registry[Callable[[AnswerTime, float], bool]] = Registry(
    "choice of last requests"
)


@LAST_REQUESTS.register("none")
def admit_none(time: AnswerTime, left: float) -> bool:
    """Accept no request: its caller retries at another instance at once."""
    return False


@LAST_REQUESTS.register("expected")
def admit_expected(time: AnswerTime, left: float) -> bool:
    """Accept a request whose answer is expected to end in time.

    One answer in twenty lasts longer than expected and may be cut off.
    """
    expected = time.expected
    if expected is None:
        expected = UNKNOWN_SHARE * time.grace
    return min(expected, time.limit) <= left


@LAST_REQUESTS.register("limited")
def admit_limited(time: AnswerTime, left: float) -> bool:
    """Accept a request whose route or caller limit ends it in time.

    Past speed gives no bound for an answer, because its endpoints may slow down.
    """
    return time.limit <= left


@LAST_REQUESTS.register("redirected")
def admit_until_redirected(time: AnswerTime, left: float) -> bool:
    """Accept by the expected duration at first, and by the limit later.

    A caller that is refused before the balancer reacts reaches the same instance again.
    Afterwards it reaches another one, so no risk is taken for it any more.
    """
    if time.since_asked <= REDIRECT_TIME:
        return admit_expected(time, left)
    return admit_limited(time, left)
