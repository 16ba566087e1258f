"""Which requests an instance still takes once it was asked to end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Share of the grace time that an answer of unknown length is expected to take.
UNKNOWN_SHARE = 0.65
#: Seconds after the request to end in which the balancer sends callers here that it
#: sends nowhere else: it asks once a second and heeds the second miss.
REDIRECT_TIME = 2.5


@attrs.frozen
class AnswerTime:
    """How long the answer to a request may take.

    Attributes:
        expected: Seconds that nearly all answers of its route take, None if unknown.
        limit: Seconds until the time of the route or of the caller is over.
        grace: Seconds between the request to end and the end of the instance.
        since_asked: Seconds since the request to end.
    """

    expected: float | None
    limit: float
    grace: float
    since_asked: float


#: Which requests are taken by an instance that is ending: tells whether one is, from
#: how long its answer may take and the seconds that are left.
LAST_REQUESTS: Registry[Callable[[AnswerTime, float], bool]] = Registry(
    "choice of last requests"
)


@LAST_REQUESTS.register("none")
def admit_none(time: AnswerTime, left: float) -> bool:
    """Take no request: its caller asks another instance at once."""
    return False


@LAST_REQUESTS.register("expected")
def admit_expected(time: AnswerTime, left: float) -> bool:
    """Take what is expected to end in time.

    One answer in twenty lasts longer than expected and may be cut off.
    """
    expected = time.expected
    if expected is None:
        expected = UNKNOWN_SHARE * time.grace
    return min(expected, time.limit) <= left


@LAST_REQUESTS.register("limited")
def admit_limited(time: AnswerTime, left: float) -> bool:
    """Take what is over in time by the limit of its route or caller.

    No pace seen before bounds an answer whose endpoints may slow down meanwhile.
    """
    return time.limit <= left


@LAST_REQUESTS.register("redirected")
def admit_until_redirected(time: AnswerTime, left: float) -> bool:
    """Take what is expected to end in time, later what is over by its limit.

    A caller that is refused before the balancer has noticed meets the same instance
    again. Later it finds another one, so nothing is risked for it any more.
    """
    if time.since_asked <= REDIRECT_TIME:
        return admit_expected(time, left)
    return admit_limited(time, left)
