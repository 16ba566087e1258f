"""Engine requests with an idempotency key: claimed at the key's home, run here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from lacewingcourse.core.effects import FailAnswer, FinishAnswer
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.keys import Key, fingerprint_of, model_target, parse_key
from lacewingcourse.core.messages import (
    Claim,
    ClaimReply,
    Settle,
    SettleReply,
    Token,
)
from lacewingcourse.entry.caller import KEY_HEADER, REPLAYED_HEADER
from lacewingcourse.entry.host import Host
from lacewingcourse.wire import paths
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from lacewingcourse.core.homes import Shard
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.admission import AdmissionControl
    from lacewingcourse.entry.answers import AnswerDriver, Event
    from lacewingcourse.entry.caller import CallerHandler
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.home_keeper import HomeKeeper

#: Seconds between two renewals of a claim.
RENEW_INTERVAL = 3.0
#: Seconds for which an answer's end waits for its claim to be settled.
SETTLE_WAIT = 1.0
#: Times that a message to a home is sent at the most.
MAX_SENDS = 3
#: Times that homes are looked up for one claim at the most.
MAX_HOMES = 3
#: Seconds for which a refused claim waits for other homes.
REHOME_TIMEOUT = 1.5


class KeyedHost(Host, Protocol):
    """What answers with a key need of the entry.

    Attributes:
        admission: Lets requests start, wait or be refused.
        directory: What is known of the endpoints.
        homes: Which agents are homes of keys.
    """

    admission: AdmissionControl
    directory: Directory
    homes: HomeKeeper

    def answer(self, request: StreamRequest) -> AnswerDriver:
        """Start a streamed answer."""


@attrs.frozen
class StoredAnswer:
    """A whole answer as a home stores it.

    Attributes:
        texts: Text of each token.
        reason: Finish reason as callers know it.
        prompt_length: Tokens of the prompt.
    """

    texts: tuple[str, ...]
    reason: str
    prompt_length: int


@attrs.define
class ReplayState:
    """Counts of a stored answer, as of a stream that has ended."""

    delivered: tuple[str, ...]
    prompt_length: int
    failure: Refusal | None = None


class ReplayedAnswer:
    """A stored answer that is told again.

    Attributes:
        stream: Name of the answer.
        stored: The stored answer.
        state: Its token counts.
        meter: Where an answer's tokens are counted; a stored one has none.
    """

    def __init__(self, stream: str, stored: StoredAnswer) -> None:
        self.stream = stream
        self.stored = stored
        self.state = ReplayState(stored.texts, stored.prompt_length)
        self.meter = None

    async def read(self) -> AsyncIterator[Event]:
        """Yield the tokens and the end of the answer."""
        for index, text in enumerate(self.stored.texts):
            yield Token(self.stream, 1, index, 0, text, self.stored.prompt_length)
        yield FinishAnswer(self.stored.reason)

    def abandon(self) -> None:
        """Nothing runs that would have to be released."""


class KeyedAnswer:
    """A streamed answer whose claim is settled with its end.

    Attributes:
        keyed: What claims and settles.
        driver: The streamed answer, once it was let in.
        claim: The granted claim.
        home_url: Base URL of the home's agent.
        texts: Texts of the tokens so far.
        settled: Whether the claim's end was decided.
    """

    def __init__(self, keyed: KeyedAnswers, claim: Claim, home_url: str) -> None:
        self.keyed = keyed
        self.driver: AnswerDriver | None = None
        self.claim = claim
        self.home_url = home_url
        self.texts: list[str] = []
        self.settled = False

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self.driver.stream

    @property
    def state(self):
        """State of the stream."""
        return self.driver.state

    @property
    def meter(self):
        """Where the answer's tokens are counted."""
        return self.driver.meter

    @meter.setter
    def meter(self, meter) -> None:
        self.driver.meter = meter

    async def read(self) -> AsyncIterator[Event]:
        """Yield tokens and, last, the end of the answer, which settles the claim."""
        async for event in self.driver.read():
            match event:
                case Token():
                    self.texts.append(event.text)
                case FinishAnswer():
                    await self._settle_whole(event.reason)
                case FailAnswer():
                    await self.settle(event.refusal.outcome, None)
            yield event

    async def _settle_whole(self, reason: str) -> None:
        prompt_length = self.driver.state.prompt_length
        stored = StoredAnswer(tuple(self.texts), reason, prompt_length)
        await self.settle(Outcome.RAN, encode(stored).decode())

    async def settle(self, outcome: Outcome, answer: str | None) -> None:
        """Tell the home how the answer ended, once."""
        if self.settled:
            return
        self.settled = True
        message = Settle(self.claim, outcome, answer)
        task = self.keyed.entry.spawn(self.keyed.settle(self.home_url, message))
        await asyncio.wait([task], timeout=SETTLE_WAIT)

    def abandon(self) -> None:
        """Release the stages; the rest of the answer is never made."""
        self.driver.abandon()
        if not self.settled:
            self.keyed.entry.spawn(self.settle(Outcome.UNKNOWN, None))

    async def renew(self) -> None:
        """Tell the home that the answer is under way, until it has ended."""
        while not self.settled:
            await self.keyed.send_settle(self.home_url, Settle(self.claim))
            await asyncio.sleep(RENEW_INTERVAL)


class KeyedAnswers:
    """Claims keys of engine requests and settles them.

    Attributes:
        entry: The entry's daemon.
    """

    def __init__(self, entry: KeyedHost) -> None:
        self.entry = entry

    async def answer(
        self, request: StreamRequest, key: Key, fingerprint: str
    ) -> KeyedAnswer | ReplayedAnswer | Refusal:
        """Start the answer of a request with a key, or tell its stored one."""
        target = model_target(request.model)
        epoch = 0
        result: ClaimReply | Refusal | None = None
        for _ in range(MAX_HOMES):
            shard = self.entry.homes.shard(target, request.organisation, key.text)
            if isinstance(shard, Refusal):
                return shard
            if shard.epoch == epoch:
                return result
            epoch = shard.epoch
            claim = self._claim(request, key, fingerprint, target, shard)
            result = await self._ask(shard.home.agent_url, claim)
            if isinstance(result, ClaimReply) and result.kind is None:
                return await self._begin(request, shard, claim, result)
            result = refusal_of(result)
            if result.kind is not ErrorKind.CLAIM_UNAVAILABLE:
                return result
            await self.entry.homes.wait_for_change(REHOME_TIMEOUT)
        return result

    def _claim(
        self,
        request: StreamRequest,
        key: Key,
        fingerprint: str,
        target: str,
        shard: Shard,
    ) -> Claim:
        return Claim(
            claimant=f"{request.stream}.{shard.epoch}",
            incarnation=shard.home.incarnation,
            target=target,
            organisation=request.organisation,
            key=key.text,
            epoch=shard.epoch,
            fingerprint=fingerprint,
        )

    async def _ask(self, home_url: str, claim: Claim) -> ClaimReply | Refusal:
        """Claim a key; give the claim back if its fate is not known.

        The request runs at this entry only, so a lost reply never means that it ran.
        """
        timeout = self.entry.settings.claim_timeout
        for _ in range(MAX_SENDS):
            reply = await self.entry.peers.send(
                home_url, paths.CLAIM, claim, ClaimReply, timeout
            )
            self.entry.directory.note_reply(home_url, reply)
            if isinstance(reply, ClaimReply) or reply.outcome is Outcome.NOT_RUN:
                return reply
        give_back = Settle(claim, Outcome.NOT_RUN)
        self.entry.spawn(self.settle(home_url, give_back))
        return attrs.evolve(reply, outcome=Outcome.NOT_RUN)

    async def _begin(
        self, request: StreamRequest, shard: Shard, claim: Claim, reply: ClaimReply
    ) -> KeyedAnswer | ReplayedAnswer | Refusal:
        """Run the request of a granted claim, or tell the stored answer."""
        if not reply.granted:
            stored = decode(reply.answer.encode(), StoredAnswer)
            return ReplayedAnswer(request.stream, stored)
        answer = KeyedAnswer(self, claim, shard.home.agent_url)
        self.entry.spawn(answer.renew())
        driver = await start(self.entry, request)
        if isinstance(driver, Refusal):
            await answer.settle(driver.outcome, None)
            return driver
        answer.driver = driver
        return answer

    async def settle(self, home_url: str, message: Settle) -> None:
        """Tell a home how a claim ended."""
        for _ in range(MAX_SENDS):
            reply = await self.send_settle(home_url, message)
            if isinstance(reply, SettleReply):
                return
        logger.warning("claim not settled", claimant=message.claim.claimant)

    async def send_settle(
        self, home_url: str, message: Settle
    ) -> SettleReply | Refusal:
        """Send one word on a claim to its home."""
        timeout = self.entry.settings.message_timeout
        return await self.entry.peers.send(
            home_url, paths.SETTLE, message, SettleReply, timeout
        )


def refusal_of(reply: ClaimReply | Refusal) -> Refusal:
    """Return the refusal of a claim that was not granted."""
    if isinstance(reply, Refusal):
        kind = ErrorKind.CLAIM_UNAVAILABLE
        return Refusal(kind, f"the key's home: {reply.reason}", retry_after=1.0)
    refusal = Refusal(reply.kind, reply.reason, reply.outcome)
    if refusal.answer.retryable:
        return attrs.evolve(refusal, retry_after=1.0)
    return refusal


async def start(entry: KeyedHost, request: StreamRequest) -> AnswerDriver | Refusal:
    """Start an answer as soon as it may."""
    admitted = await entry.admission.admit(request)
    if isinstance(admitted, Refusal):
        return admitted
    return entry.answer(admitted)


async def answer_of(
    handler: CallerHandler, request: StreamRequest
) -> AnswerDriver | KeyedAnswer | ReplayedAnswer | Refusal:
    """Return the answer of a caller's request, by its key if it has one."""
    text = handler.request.headers.get(KEY_HEADER)
    if text is None:
        return await start(handler.daemon, request)
    key = parse_key(text)
    if isinstance(key, Refusal):
        return key
    handler.set_header(KEY_HEADER, key.text)
    received = handler.request
    fingerprint = fingerprint_of(received.method, received.path, received.body)
    answer = await handler.daemon.keyed.answer(request, key, fingerprint)
    if isinstance(answer, ReplayedAnswer):
        handler.set_header(REPLAYED_HEADER, "true")
    return answer
