"""Sends of one request, and whether another one may run it again."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.routing import RetrySafety


class SendOutcome(Enum):
    """What is known of one send of a request.

    Attributes:
        OPEN: Its answer has not ended, so it may be running.
        STALE: The pooled connection closed without any answer. It may have run, but
            most likely the endpoint had closed the connection before.
        REJECTED: The endpoint stated that it did not run the request.
        MAY_HAVE_RUN: It ended without a statement on whether it ran.
        ANSWERED: The endpoint ran it and answered.
    """

    OPEN = "open"
    STALE = "stale"
    REJECTED = "rejected"
    MAY_HAVE_RUN = "may_have_run"
    ANSWERED = "answered"


class RequestOutcome(Enum):
    """What is known of a request from all of its sends.

    It decides what the caller may be told, and whether the request may be sent again.
    """

    NEVER_LEFT = "never_left"
    REJECTED = "rejected"
    MAY_HAVE_RUN = "may_have_run"


@attrs.define(eq=False)
class Send:
    """One send of a request.

    Attributes:
        endpoint: Endpoint that it went to; for a stream, the first one of its path.
        outcome: What is known of it.
    """

    endpoint: str
    outcome: SendOutcome = SendOutcome.OPEN

    def conclude(self, outcome: SendOutcome) -> None:
        """Record how it ended."""
        self.outcome = outcome


@attrs.define
class SendHistory:
    """All sends of a request.

    A send counts as one that may have run from its start until it is concluded. Whoever
    decides on another send before that gets the safe answer.

    Attributes:
        sends: The sends in their order.
    """

    sends: list[Send] = attrs.field(factory=list)

    def begin(self, endpoint: str) -> Send:
        """Record the start of a send; it must precede the first byte.

        Args:
            endpoint: Endpoint that it goes to.
        """
        send = Send(endpoint)
        self.sends.append(send)
        return send

    @property
    def attempts(self) -> int:
        """Number of sends, without those over stale connections."""
        return sum(send.outcome is not SendOutcome.STALE for send in self.sends)

    @property
    def rejections(self) -> int:
        """Number of sends that an endpoint rejected without running them."""
        return sum(send.outcome is SendOutcome.REJECTED for send in self.sends)

    @property
    def endpoints(self) -> set[str]:
        """Endpoints that it was sent to."""
        return {send.endpoint for send in self.sends}

    @property
    def outcome(self) -> RequestOutcome:
        """What is known of the request."""
        if not self.sends:
            return RequestOutcome.NEVER_LEFT
        if self.rejections == len(self.sends):
            return RequestOutcome.REJECTED
        return RequestOutcome.MAY_HAVE_RUN

    def allows_send(self, safety: RetrySafety) -> bool:
        """Return whether another send runs the request no more often than it may.

        Args:
            safety: Whether the request may run more than once.
        """
        return safety.may_retry or self.outcome is not RequestOutcome.MAY_HAVE_RUN

    @property
    def has_stale(self) -> bool:
        """Whether a send went over a stale connection."""
        return self.attempts < len(self.sends)

    def charge_stale(self) -> None:
        """Count sends over stale connections as attempts.

        Their endpoint turned out to be gone, perhaps while it ran the request.
        """
        for send in self.sends:
            if send.outcome is SendOutcome.STALE:
                send.conclude(SendOutcome.MAY_HAVE_RUN)
