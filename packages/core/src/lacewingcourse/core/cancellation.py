"""Cancels a stream, and finds out whether its work was started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.effects import FailAnswer
from lacewingcourse.core.errors import Outcome
from lacewingcourse.core.stream_request import distinct, same_agent

if TYPE_CHECKING:
    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.messages import RevokeReply, StageAddress


@attrs.define
class Cancellation:
    """What is known of the effect of a stream that may have to be given up.

    Attributes:
        sent_to: Every stage that an opening message was sent to.
        prompted: Stages that may have got the prompt; no other can start work.
        unrevoked: Stages whose revocation is not yet acknowledged.
        any_started: Whether work is known to have started.
        failure: The refusal that the caller gets after the revocations.
    """

    sent_to: list[StageAddress] = attrs.field(factory=list)
    prompted: list[StageAddress] = attrs.field(factory=list)
    unrevoked: list[StageAddress] = attrs.field(factory=list)
    any_started: bool = False
    failure: Refusal | None = None

    def begin(self, refusal: Refusal, any_delivered: bool) -> Outcome | None:
        """Note why the stream is given up; return its outcome if that is known."""
        self.failure = refusal
        self.unrevoked = distinct(self.prompted)
        if not self.unrevoked:
            return Outcome.NOT_RUN
        if any_delivered or self.any_started:
            return Outcome.RAN
        return None

    def on_reply(
        self, stage: StageAddress, reply: RevokeReply | None
    ) -> Outcome | None:
        """Note a revocation's answer, None if lost; return a known outcome."""
        asked = [each for each in self.unrevoked if same_agent(each, stage)]
        if not asked:
            return None
        if reply is None or not reply.current:
            return Outcome.UNKNOWN
        self.any_started = self.any_started or reply.started
        self.unrevoked.remove(asked[0])
        return None if self.unrevoked else Outcome.NOT_RUN

    def answer(self, outcome: Outcome, any_delivered: bool) -> FailAnswer:
        """Return the refusal for the caller, with what is known of the effect."""
        if any_delivered:
            outcome = Outcome.PARTIAL
        elif self.any_started:
            outcome = Outcome.RAN
        return FailAnswer(attrs.evolve(self.failure, outcome=outcome))
