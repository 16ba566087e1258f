"""Lets requests start, wait or be refused as the decisions on admission say."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.admission import Admission, Refuse, Start
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.fairness import Waiting
from lacewingcourse.entry.host import Host

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.admission import Effect
    from lacewingcourse.core.priorities import Prediction
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.dispatcher import Dispatcher
    from lacewingcourse.entry.recovery import Recovery

#: Seconds between two reviews of the requests that wait.
REVIEW_INTERVAL = 0.05
#: Prompt positions that cost an endpoint as much as one generated token.
PROMPT_POSITIONS_PER_TOKEN = 8
#: Kinds whose refusals say themselves when to come back.
BOOKED = frozenset({ErrorKind.REQUEST_CRASHES_ENDPOINTS, ErrorKind.KEY_IN_PROGRESS})


class AdmissionHost(Host, Protocol):
    """What admission needs of the entry.

    Attributes:
        dispatcher: Chooses routes and counts what runs on them.
        recovery: Judges lost attempts.
    """

    dispatcher: Dispatcher
    recovery: Recovery


@attrs.define
class Offer:
    """A request that asks to be let in.

    Attributes:
        request: The request.
        verdict: Gets the request with its priority, or a refusal.
    """

    request: StreamRequest
    verdict: asyncio.Future


class AdmissionControl:
    """Admission of one entry.

    Attributes:
        entry: The entry's daemon.
        decisions: The state that decides.
        offers: Requests that wait for a verdict, by stream.
    """

    def __init__(self, entry: AdmissionHost) -> None:
        self.entry = entry
        self.decisions = Admission(self._predict, entry.dispatcher.reserve, entry.rng)
        self.offers: dict[str, Offer] = {}

    def _predict(self, stream: str, wide: bool) -> Prediction | Refusal:
        return self.entry.dispatcher.preview(self.offers[stream].request, wide)

    async def admit(self, request: StreamRequest) -> StreamRequest | Refusal:
        """Return the request with its priority once it may start, or a refusal."""
        if self.entry.settings.admission == "none":
            return request
        verdict = asyncio.get_running_loop().create_future()
        self.offers[request.stream] = Offer(request, verdict)
        self.entry.recovery.budget.on_request()
        now = self.entry.now()
        classes = self.entry.configuration.classes
        prompt_length = len(request.prompt) // 4
        waiting = Waiting(
            stream=request.stream,
            organisation=request.organisation,
            work_class=classes.get(request.work_class),
            cost=request.sampling.max_tokens
            + prompt_length / PROMPT_POSITIONS_PER_TOKEN,
            arrived_at=now,
        )
        self.perform(self.decisions.offer(waiting, now))
        return await verdict

    def perform(self, effects: Iterable[Effect]) -> None:
        """Carry out effects of the decisions."""
        for effect in effects:
            offer = self.offers.pop(effect.stream, None)
            if offer is None:
                continue
            match effect:
                case Start():
                    verdict = attrs.evolve(
                        offer.request, priority=effect.slack, pace=effect.pace
                    )
                case Refuse():
                    self.entry.dispatcher.release(effect.stream)
                    verdict = effect.refusal
                    if verdict.retry_after is None:
                        verdict = self.with_retry_after(verdict)
            if not offer.verdict.done():
                offer.verdict.set_result(verdict)

    def with_retry_after(self, refusal: Refusal) -> Refusal:
        """Return a refusal that says when to come back, if that is worth it."""
        if not refusal.answer.retryable or refusal.kind in BOOKED:
            return refusal
        retry_after = self.decisions.retry_after(self.entry.now())
        least = refusal.retry_after or 0.0
        return attrs.evolve(refusal, retry_after=max(least, retry_after))

    def leave(self, stream: str) -> None:
        """Note that the caller of a request that waits has gone."""
        offer = self.offers.pop(stream, None)
        if offer is None:
            return
        self.perform(self.decisions.on_end(stream, None, self.entry.now()))
        self.entry.dispatcher.release(stream)
        refusal = Refusal(ErrorKind.CALLER_GONE, "", Outcome.NOT_RUN)
        if not offer.verdict.done():
            offer.verdict.set_result(refusal)

    def on_token(self, stream: str) -> None:
        """Note the delivery of a token."""
        self.decisions.on_token(stream, self.entry.now())

    def on_end(self, stream: str, whole: bool | None) -> None:
        """Note that an answer has ended; others may start in its place."""
        self.perform(self.decisions.on_end(stream, whole, self.entry.now()))

    async def review_for_ever(self) -> None:
        """Start or refuse those that wait as predictions change."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            if self.decisions.queue.size:
                self.perform(self.decisions.review(self.entry.now()))
