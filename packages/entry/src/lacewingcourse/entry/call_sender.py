"""Sends one call of a plain service and finds out what became of it."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.keys import service_target
from lacewingcourse.core.messages import CallReply, Claim, RevokeCall, RevokeReply
from lacewingcourse.entry.home_keeper import no_home
from lacewingcourse.entry.host import Host
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.homes import Shard
    from lacewingcourse.core.messages import Call
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.home_keeper import HomeKeeper

#: Kinds of refusals after which another home may take the call.
MOVED = frozenset(
    {ErrorKind.DRAINING, ErrorKind.CLAIM_UNAVAILABLE, ErrorKind.STALE_INCARNATION}
)
#: Times that a call is sent at the most, each time as a new one.
MAX_SENDS = 3
#: Times that a revocation is sent at the most.
MAX_REVOKES = 3
#: Seconds that a copy of a call may take at the least.
MIN_TIMEOUT = 0.1
#: Seconds for which a refused call waits for other homes.
REHOME_TIMEOUT = 1.5


class CallHost(Host, Protocol):
    """What calls need of the entry.

    Attributes:
        directory: What is known of the endpoints.
        homes: Which agents are homes of keys.
    """

    directory: Directory
    homes: HomeKeeper


class CallSender:
    """Sends calls on behalf of one entry.

    Attributes:
        entry: The entry's daemon.
    """

    def __init__(self, entry: CallHost) -> None:
        self.entry = entry

    async def send_anywhere(self, call: Call) -> CallReply | Refusal:
        """Run a call that may be repeated on any endpoint of its service."""
        tried: set[str] = set()
        result: CallReply | Refusal | None = None
        may_have_run = False
        for _ in range(MAX_SENDS):
            holders = self._holders(call.service, tried)
            if not holders:
                break
            chosen = self.entry.rng.choice(holders)
            tried.add(chosen.id)
            result = await self._send(chosen.agent_url, call, chosen.incarnation)
            if isinstance(result, CallReply) and result.kind is None:
                return result
            may_have_run = may_have_run or result.outcome is not Outcome.NOT_RUN
        if result is None:
            reason = f"no endpoint runs {call.service!r}"
            return Refusal(ErrorKind.NO_ROUTE, reason, retry_after=1.0)
        if may_have_run and result.outcome is Outcome.NOT_RUN:
            return attrs.evolve(result, outcome=Outcome.UNKNOWN)
        return result

    def _holders(self, service: str, tried: set[str]) -> list[EndpointState]:
        return [
            endpoint
            for endpoint in self.entry.directory.endpoints.values()
            if endpoint.service == service
            and endpoint.id not in tried
            and endpoint.takes_new_work()
        ]

    async def send_home(
        self, call: Call, fingerprint: str, first_use: bool
    ) -> CallReply | Refusal:
        """Run a call with a key at the key's home, at most once.

        Args:
            call: The call.
            fingerprint: Tells the call from others under the same key.
            first_use: Whether the key was made for this very call.
        """
        result = await self._send_to_homes(call, fingerprint, first_use)
        restarted = result.kind is ErrorKind.STALE_INCARNATION
        if restarted and result.outcome is Outcome.NOT_RUN:
            return no_home("the key's home has restarted")
        return result

    async def _send_to_homes(
        self, call: Call, fingerprint: str, first_use: bool
    ) -> CallReply | Refusal:
        """Run a call at its key's home, and at the next one if the key moves."""
        target = service_target(call.service)
        draft = Claim(
            claimant="",
            incarnation="",
            target=target,
            organisation=call.organisation,
            key=call.key,
            epoch=0,
            fingerprint=fingerprint,
            first_use=first_use,
        )
        epoch = 0
        result: CallReply | Refusal | None = None
        for _ in range(MAX_SENDS):
            shard = self.entry.homes.shard(target, call.organisation, call.key)
            if isinstance(shard, Refusal):
                return shard
            if shard.epoch == epoch:
                return result
            epoch = shard.epoch
            result = await self._send_to_home(call, draft, shard)
            if result.kind not in MOVED or result.outcome is not Outcome.NOT_RUN:
                return result
            await self.entry.homes.wait_for_change(REHOME_TIMEOUT)
        return result

    async def _send_to_home(
        self, call: Call, draft: Claim, shard: Shard
    ) -> CallReply | Refusal:
        home = shard.home
        claim = attrs.evolve(
            draft,
            claimant=uuid.uuid4().hex,
            incarnation=home.incarnation,
            epoch=shard.epoch,
        )
        return await self._send(
            home.agent_url, attrs.evolve(call, claim=claim), home.incarnation
        )

    async def _send(
        self, url: str, call: Call, incarnation: str
    ) -> CallReply | Refusal:
        """Send a call once; if its reply is lost, ask again, then revoke it."""
        name = call.claim.claimant if call.claim else uuid.uuid4().hex
        call = attrs.evolve(call, call=name, incarnation=incarnation)
        deadline = self.entry.now() + self.entry.settings.call_timeout
        reply = await self._send_once(url, call, deadline)
        if not isinstance(reply, Refusal) or reply.outcome is Outcome.NOT_RUN:
            return reply
        reason = reply.reason
        if call.claim is not None and self.entry.now() < deadline:
            copy = await self._send_once(url, call, deadline)
            if knows_of_first(copy):
                return copy
        outcome = await self._revoke(url, call)
        return Refusal(ErrorKind.ENDPOINT_FAILED, reason, outcome)

    async def _send_once(
        self, url: str, call: Call, deadline: float
    ) -> CallReply | Refusal:
        timeout = max(deadline - self.entry.now(), MIN_TIMEOUT)
        reply = await self.entry.peers.send(
            url, paths.CALL, call, CallReply, timeout, once=True
        )
        self.entry.directory.note_reply(url, reply)
        return reply

    async def _revoke(self, url: str, call: Call) -> Outcome:
        """Keep a call from starting late; return what is known of its effect."""
        message = RevokeCall(call.call, call.incarnation)
        timeout = self.entry.settings.message_timeout
        for _ in range(MAX_REVOKES):
            reply = await self.entry.peers.send(
                url, paths.REVOKE_CALL, message, RevokeReply, timeout
            )
            if isinstance(reply, Refusal):
                continue
            if reply.current and not reply.started:
                return Outcome.NOT_RUN
            return Outcome.UNKNOWN
        return Outcome.UNKNOWN


def knows_of_first(copy: CallReply | Refusal) -> bool:
    """Tell whether the reply to a copy is also true of the first message.

    Another incarnation or an unreachable agent knows nothing of the first one.
    """
    if isinstance(copy, Refusal):
        return False
    return copy.kind is not ErrorKind.STALE_INCARNATION
