"""How long requests wait for room, and when refused callers may return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Share of its objective for which a request waits. A first event takes about a tenth
#: of the objective on an idle path, so a request that gets a path by then is on time.
IN_TIME_SHARE = 0.5
#: Objectives for which a request waits under the "late" policy.
LATE_OBJECTIVES = 2.0
#: Seconds assumed for the duration of an answer on a route with few samples.
DEFAULT_ANSWER_TIME = 2.0
#: Bounds of the retry delay of a refused request, in durations of an answer. The
#: requests that occupy the paths now have ended by then; the spread keeps callers
#: refused together from returning together.
RETRY_AFTER_ANSWERS = (1.0, 2.5)
#: Bounds of the retry delay, in seconds, of a request that was refused only because the
#: retry budget is exhausted.
EXHAUSTED_RETRY_AFTER = (0.05, 0.15)
#: Seconds over which the retries of requests blocked by the same limit are spread.
LIMIT_RETRY_JITTER = 1.0
#: A caller leaves after some silence: the longest of some seconds, some objectives of
#: its route, and some times the gap that its route allows between two events.
MIN_CALLER_TIMEOUT = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
#: Seconds by which a broken stream waits longer than its caller, so that this entry
#: never ends an answer that is still being read.
CALLER_TIMEOUT_MARGIN = 0.2


#: Policies for how long a request without a path waits: each returns the time at which
#: it is refused, from its time of arrival and its objective in seconds.
WAIT_POLICIES: Registry[Callable[[float, float], float]] = Registry("wait for room")


@WAIT_POLICIES.register("in_time")
def wait_in_time(received: float, objective: float) -> float:
    """Wait only as long as the answer can still be on time.

    This policy suits a load above the capacity of the fleet. Each entry knows only its
    own queue, so a late request takes capacity that a request at another entry could
    still use on time.
    """
    return received + IN_TIME_SHARE * objective


def latest_start(
    received: float, objective: float, idle_first_event: float | None
) -> float:
    """Return when a stream must start to be in time, in seconds.

    Args:
        received: When it arrived, seconds.
        objective: Seconds in which its route wants the first event.
        idle_first_event: Seconds to its first event on an idle path, None if unknown.
    """
    in_time = received + IN_TIME_SHARE * objective
    if idle_first_event is None or not idle_first_event >= 0:
        return in_time
    return max(in_time, received + objective - idle_first_event)


@WAIT_POLICIES.register("latest_start")
def wait_until_latest_start(
    received: float, objective: float, idle_first_event: float | None = None
) -> float:
    """Wait as long as an idle path would still be in time.

    This policy suits a scheduler that refuses on arrival what cannot start in time
    behind those that wait already.
    """
    return latest_start(received, objective, idle_first_event)


@WAIT_POLICIES.register("late")
def wait_late(received: float, objective: float) -> float:
    """Wait for some objectives: prefer late answers to refusals."""
    return received + LATE_OBJECTIVES * objective


def resume_timeout(objective: float, gap: float) -> float:
    """Return the seconds of silence for which a broken stream waits for a path.

    Args:
        objective: Seconds in which its route wants the first event.
        gap: Seconds that its route allows between two events.
    """
    caller_timeout = max(
        MIN_CALLER_TIMEOUT,
        CALLER_TIMEOUT_OBJECTIVES * objective,
        CALLER_TIMEOUT_GAPS * gap,
    )
    return caller_timeout + CALLER_TIMEOUT_MARGIN


def retry_after(answer: float | None, draw: float) -> float:
    """Return the seconds after which a refused caller may retry.

    Args:
        answer: Usual duration of an answer on the route in seconds, None if unknown.
        draw: A number from 0 to 1 that spreads the callers.
    """
    least, most = RETRY_AFTER_ANSWERS
    return (least + draw * (most - least)) * (answer or DEFAULT_ANSWER_TIME)


def retry_after_exhausted(draw: float) -> float:
    """Return the retry delay in seconds when the retry budget is exhausted.

    The caller's new request is a first send, which needs no retry from the budget.

    Args:
        draw: A number from 0 to 1 that spreads the callers.
    """
    least, most = EXHAUSTED_RETRY_AFTER
    return least + draw * (most - least)


def retry_after_limit(next_in: float, draw: float) -> float:
    """Return the retry delay in seconds of a request that a limit blocked.

    Args:
        next_in: Seconds until an endpoint takes a request.
        draw: A number from 0 to 1 that spreads the callers.
    """
    return next_in + draw * LIMIT_RETRY_JITTER
