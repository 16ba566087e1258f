"""Requests that wait for room on a path, in the order in which they get it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

#: Share of its objective for which a request waits. A first event takes about a tenth
#: of the objective on a path with room, so one that gets a path by then is in time.
IN_TIME_SHARE = 0.5
#: Objectives for which a request waits that is served late rather than refused.
LATE_OBJECTIVES = 2.0
#: Seconds that an answer is taken to last of a route of which few were seen.
DEFAULT_ANSWER_TIME = 2.0
#: Answers that pass until a refused request is asked to come back, at the least and at
#: the most. By then what fills the paths now has ended; jitter keeps callers refused
#: together from returning together.
RETRY_AFTER_ANSWERS = (1.0, 2.5)
#: Seconds after which a request may come back that lacks nothing but a retry, at the
#: least and at the most.
EXHAUSTED_RETRY_AFTER = (0.05, 0.15)
#: Seconds over which callers are spread whose requests a limit kept out together.
LIMIT_RETRY_JITTER = 1.0
#: Silence after which a caller leaves: the longest of some seconds, some objectives of
#: its route, and some times the pause that it allows between two events.
MIN_CALLER_TIMEOUT = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
#: Seconds beyond it for which a stream that broke waits for a path, so that the answer
#: is never ended from here while its caller reads on.
CALLER_TIMEOUT_MARGIN = 0.2


#: How long a request without a path waits for one: returns the time at which it is
#: refused, from the time at which it came and its objective in seconds.
WAIT_POLICIES: Registry[Callable[[float, float], float]] = Registry("wait for room")


@WAIT_POLICIES.register("in_time")
def wait_in_time(received: float, objective: float) -> float:
    """Wait as long as the answer can still be in time.

    This answers a load above what the fleet serves. Each entry knows only its own
    requests that wait, so a late one takes room that one at another entry could still
    use in time.
    """
    return received + IN_TIME_SHARE * objective


@WAIT_POLICIES.register("late")
def wait_late(received: float, objective: float) -> float:
    """Wait for two objectives: late answers rather than refusals."""
    return received + LATE_OBJECTIVES * objective


def resume_timeout(objective: float, gap: float) -> float:
    """Return the seconds of silence for which a stream that broke waits for a path.

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
    """Return the seconds after which a refused caller is asked to come back.

    Args:
        answer: Seconds that a usual answer of the route lasts, None if that is unknown.
        draw: A number from 0 to 1 that spreads the callers.
    """
    least, most = RETRY_AFTER_ANSWERS
    return (least + draw * (most - least)) * (answer or DEFAULT_ANSWER_TIME)


def retry_after_exhausted(draw: float) -> float:
    """Return the seconds after which a request comes back that lacks a retry.

    The caller's new request is a first send and needs none.

    Args:
        draw: A number from 0 to 1 that spreads the callers.
    """
    least, most = EXHAUSTED_RETRY_AFTER
    return least + draw * (most - least)


def retry_after_limit(next_in: float, draw: float) -> float:
    """Return the seconds after which a request comes back that a limit kept out.

    Args:
        next_in: Seconds until an endpoint takes a request.
        draw: A number from 0 to 1 that spreads the callers.
    """
    return next_in + draw * LIMIT_RETRY_JITTER


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits.

    Attributes:
        urgency: Rank, 0 for what is served first.
        tokens: Tokens that it needs.
        since: When it began to wait, seconds.
        until: Time at which it is refused.
    """

    urgency: int
    tokens: int
    since: float
    until: float


@attrs.define
class AdmissionQueue:
    """The requests that wait at this entry.

    The more urgent go before the others. A large one that does not fit yet is not
    passed by newcomers once half of its time is used up.

    Attributes:
        members: The requests.
    """

    requests: list[QueuedRequest] = attrs.field(factory=list)

    def push(self, request: QueuedRequest) -> None:
        """Take a request."""
        self.requests.append(request)
        self.requests.sort(key=lambda queued: (queued.urgency, queued.since))

    def discard(self, request: QueuedRequest) -> None:
        """Let a request go."""
        if request in self.requests:
            self.requests.remove(request)

    def may_bypass(self, urgency: int, now: float) -> bool:
        """Tell whether a newcomer may take room before those that wait."""
        for queued in self.requests:
            half = queued.since + (queued.until - queued.since) / 2
            if queued.urgency <= urgency and half <= now < queued.until:
                return False
        return True
