"""Carries hops, tokens and troubles from this agent to other processes."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Protocol

from lacewingcourse.agent.host import Host
from lacewingcourse.agent.outbox import Outbox
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.messages import (
    AliveRequest,
    HopBatch,
    HopBatchReply,
    HopVerdict,
    TokenBatch,
    TokenBatchReply,
    Trouble,
    TroubleBatch,
)
from lacewingcourse.core.pace import Pace
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.agent.engine_steps import EngineSteps
    from lacewingcourse.agent.settings import AgentSettings
    from lacewingcourse.agent.watchers import Watchers
    from lacewingcourse.core.effects import SendHop
    from lacewingcourse.core.messages import (
        AttemptName,
        Credit,
        Hop,
        StageAddress,
        Status,
        Token,
    )

#: Verdicts after which an attempt cannot go on.
LOST_VERDICTS = frozenset(
    {HopVerdict.UNKNOWN_STREAM, HopVerdict.WRONG_RANGE, HopVerdict.OVERFLOW}
)
#: Seconds before a message is repeated the first time; doubled with each repeat.
REPEAT_DELAY = 0.02
#: Seconds between two repeats at the most.
MAX_REPEAT_DELAY = 0.5
#: Seconds that a try may take at the least before it is repeated.
MIN_TRY = 0.5
#: Seconds for which an entry may be out of reach before its streams are released.
ENTRY_PATIENCE = 10.0


class SendingHost(Host, Protocol):
    """What sending needs of the agent.

    Attributes:
        watchers: Tells entries the state.
    """

    watchers: Watchers


class StageWork(Protocol):
    """The stages whose effects are carried.

    Attributes:
        agent: The agent that they run in.
        settings: The settings in force.
        work: Work that the engine was given or that waits for it.
    """

    agent: SendingHost
    settings: AgentSettings
    work: EngineSteps

    def fail(self, trouble: Trouble) -> None:
        """Give an attempt up and tell its entry."""

    def close(self, stream: str, attempt: int) -> None:
        """End a stage."""

    def take_credit(self, credit: Credit) -> None:
        """Let a stage send more tokens."""


class Courier:
    """Sends what the gate's effects ask for; one outbox a receiver.

    Attributes:
        runner: Whose effects are carried.
        agent: The agent's daemon.
        settings: Its settings.
        pace: Learned time until a message's receipt.
        hops: Outboxes of hops by URL and incarnation of the receiver.
        tokens: Outboxes of tokens by URL of the entry.
        troubles: Outboxes of troubles by URL of the entry.
    """

    def __init__(self, runner: StageWork) -> None:
        self.runner = runner
        self.agent = runner.agent
        self.settings = runner.settings
        self.pace = Pace()
        self.hops: dict[tuple[str, str], Outbox[Hop]] = {}
        self.tokens: dict[str, Outbox[Token]] = {}
        self.troubles: dict[str, Outbox] = {}

    def put_hop(self, effect: SendHop) -> None:
        """Queue a hop for its receiver."""
        self.agent.metrics.hops_sent.inc()
        target = effect.target
        key = (target.agent_url, target.incarnation)
        self._outbox(self.hops, key, self._send_hops, target).put(effect.hop)

    def put_token(self, entry_url: str, token: Token) -> None:
        """Queue a token for its entry."""
        self._outbox(self.tokens, entry_url, self._send_tokens, entry_url).put(token)

    def put_trouble(self, entry_url: str, trouble) -> None:
        """Queue word of a stage that cannot go on."""
        send = self._send_troubles
        self._outbox(self.troubles, entry_url, send, entry_url).put(trouble)

    def _outbox(self, outboxes: dict, key, send, receiver) -> Outbox:
        if key not in outboxes:
            send_batch = partial(send, receiver)
            outboxes[key] = Outbox(send_batch, self.agent.spawn, self.agent.now)
        return outboxes[key]

    def hop_wait(self, target: StageAddress) -> float:
        """Return the seconds that hops to a stage wait for their receipt."""
        outbox = self.hops.get((target.agent_url, target.incarnation))
        return outbox.wait() if outbox else 0.0

    def token_wait(self, entry_url: str) -> float:
        """Return the seconds that tokens to an entry wait for their receipt."""
        outbox = self.tokens.get(entry_url)
        return outbox.wait() if outbox else 0.0

    @property
    def idle(self) -> bool:
        """Whether everything has been sent."""
        boxes = [*self.hops.values(), *self.tokens.values(), *self.troubles.values()]
        return all(outbox.idle for outbox in boxes)

    async def tell_leaving(self, entry_urls: Iterable[str], status: Status) -> None:
        """Tell entries at once that this endpoint takes no new work."""
        timeout = self.settings.hop_timeout
        await asyncio.gather(
            *(
                self.agent.peers.send(
                    url, paths.LEAVING, status, TokenBatchReply, timeout
                )
                for url in entry_urls
            )
        )

    async def ask_alive(
        self, entry_url: str, attempts: list[AttemptName]
    ) -> TokenBatchReply | Refusal:
        """Ask an entry which of some attempts have ended."""
        timeout = self.settings.hop_timeout
        return await self.agent.peers.send(
            entry_url,
            paths.ALIVE,
            AliveRequest(tuple(attempts)),
            TokenBatchReply,
            timeout,
        )

    def forget_idle(self) -> None:
        """Drop the outboxes that are empty, so that gone receivers leave nothing."""
        for outboxes in (self.hops, self.tokens, self.troubles):
            for key in [key for key, outbox in outboxes.items() if outbox.idle]:
                del outboxes[key]

    async def _send_hops(self, target: StageAddress, hops: list[Hop]) -> None:
        """Send hops to the agent of another stage; report it if it fails."""
        batch = HopBatch(self.settings.instance_id, target.incarnation, tuple(hops))
        sent_at = self.agent.now()
        reply = await self._send(
            target.agent_url,
            paths.HOPS,
            batch,
            HopBatchReply,
            self.settings.hop_timeout,
            wait_for_start=False,
        )
        if isinstance(reply, Refusal) or not reply.current:
            reason = reply.reason if isinstance(reply, Refusal) else "restarted"
            for hop in hops:
                self._blame(hop, target.endpoint, reason)
            return
        self.runner.work.estimates.on_hop(target.endpoint, self.agent.now() - sent_at)
        for hop, verdict in zip(hops, reply.verdicts, strict=True):
            if verdict in LOST_VERDICTS:
                self._blame(hop, target.endpoint, verdict.value)

    def _blame(self, hop: Hop, endpoint: str, reason: str) -> None:
        """Report that another stage did not take a hop."""
        kind = ErrorKind.STAGE_LOST
        self.runner.fail(Trouble(hop.stream, hop.attempt, endpoint, kind, reason))

    async def _send_tokens(self, entry_url: str, tokens: list[Token]) -> None:
        """Send tokens to their entry and take the credits of its reply."""
        status = self.agent.watchers.status_due(entry_url)
        batch = TokenBatch(
            self.settings.instance_id, self.agent.incarnation, tuple(tokens), status
        )
        reply = await self._send(
            entry_url, paths.TOKENS, batch, TokenBatchReply, ENTRY_PATIENCE
        )
        if isinstance(reply, Refusal):
            for token in tokens:
                self.runner.close(token.stream, token.attempt)
            return
        for credit in reply.credits:
            self.runner.take_credit(credit)

    async def _send_troubles(self, entry_url: str, troubles: list) -> None:
        batch = TroubleBatch(self.settings.instance_id, tuple(troubles))
        await self._send(
            entry_url, paths.TROUBLES, batch, TokenBatchReply, ENTRY_PATIENCE
        )

    async def _send(
        self, url, path, message, kind, patience: float, wait_for_start: bool = True
    ):
        """Send a message that its receiver recognises when it is repeated.

        Args:
            url: Base URL of the receiver.
            path: Path of the message.
            message: The message.
            kind: Class of the reply.
            patience: Seconds after which the receiver is given up.
            wait_for_start: Whether to repeat it if nothing listens at the URL.
        """
        deadline = self.agent.now() + patience
        delay = REPEAT_DELAY
        while True:
            started = self.agent.now()
            longest = min(self.pace.limit(MIN_TRY, patience), deadline - started)
            reply = await self.agent.peers.send(url, path, message, kind, longest)
            if not isinstance(reply, Refusal):
                self.pace.note(self.agent.now() - started)
                return reply
            absent = reply.outcome is Outcome.NOT_RUN
            given_up = absent and not wait_for_start
            if given_up or self.agent.now() + delay >= deadline:
                self.agent.metrics.send_failures.inc()
                return reply
            self.agent.metrics.send_retries.inc()
            await asyncio.sleep(delay)
            delay = min(MAX_REPEAT_DELAY, delay * 2)
