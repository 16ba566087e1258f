"""Forwarding of calls to plain services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import choose_endpoint
from lacewingcourse.core.pipelines.waiting import wait_in_time
from lacewingcourse.relay.admission import RETRY_PERIOD
from lacewingcourse.relay.sending import (
    NoAnswer,
    NotSent,
    Sender,
    WholeAnswer,
    collect,
)
from lacewingcourse.relay.upstream import SendOutcome

if TYPE_CHECKING:
    from random import Random

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.repeats import RepeatBudget
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job

#: Connections that may fail to be made for one request before it is refused.
MOST_NOT_SENT = 3
#: Objectives after which an idempotent call is tried at another endpoint.
PATIENCE_OBJECTIVES = 2.5
#: Status from which an endpoint's answer is its own failure.
SERVER_ERROR = 500
#: Seconds after which a refused call is worth trying again.
CALL_RETRY_AFTER = 0.3


@attrs.define
class CallForwarder:
    """Sends calls to endpoints of plain services.

    Attributes:
        beliefs: What is believed of the endpoints.
        sender: What sends.
        budget: Repeats that are left.
        zone: Availability zone of this entry.
        rng: Source of draws.
        log: Log of decisions.
    """

    beliefs: Beliefs
    sender: Sender
    budget: RepeatBudget
    zone: str
    rng: Random
    log: DecisionLog

    async def serve(self, job: Job) -> WholeAnswer | Refusal:
        """Return an endpoint's answer to a call, or how it ends without one."""
        unsent = 0
        last: WholeAnswer | None = None
        while True:
            now = self.sender.clock()
            if now >= job.until:
                return last or job.failure(ErrorKind.DEADLINE_EXCEEDED, None)
            endpoint = self._choose(job, now)
            if isinstance(endpoint, Refusal) and self._waits(job, now):
                await asyncio.sleep(RETRY_PERIOD)
                continue
            if isinstance(endpoint, Refusal):
                job.reason = job.reason or endpoint.reason
                return last or job.failure(endpoint.kind, CALL_RETRY_AFTER)
            if job.sends and not self.budget.take(job.service, now):
                return last or job.failure(ErrorKind.ENDPOINT_FAILED, None)
            result = await self._attempt(job, endpoint, now)
            if isinstance(result, NotSent):
                self.beliefs.suspects.suspect(endpoint.id, result.reason, now)
                job.avoid.add(endpoint.id)
                job.reason = result.reason
                unsent += 1
                if unsent >= MOST_NOT_SENT:
                    return job.failure(ErrorKind.NO_ROUTE, CALL_RETRY_AFTER)
                continue
            job.avoid.add(endpoint.id)
            if isinstance(result, WholeAnswer):
                if result.head.status < SERVER_ERROR or not job.may_try_another:
                    return result
                job.note(SendOutcome.ANSWERED, f"status {result.head.status}")
                last = result
                continue
            job.note(result.outcome, result.reason)
            self.log.lost(job, endpoint.id, result.reason)
            if result.connection_lost:
                now = self.sender.clock()
                self.beliefs.crashes.strike(job.fingerprint, endpoint.id, now)
            if not job.may_try_another:
                return self._failed(job, result)

    def _waits(self, job: Job, now: float) -> bool:
        """Tell whether a call that found no endpoint may find one in a moment."""
        if job.sends or job.avoid or job.caller.gone:
            return False
        return now < wait_in_time(job.request.received_at, job.route.objective)

    def _choose(self, job: Job, now: float) -> Endpoint | Refusal:
        usable = self.beliefs.usable(job.service, now)
        if not usable:
            usable = self.beliefs.fleet.of_service(job.service)
        loads = self.beliefs.loads
        return choose_endpoint(usable, loads, self.zone, job.avoid, self.rng)

    async def _attempt(
        self, job: Job, endpoint: Endpoint, now: float
    ) -> WholeAnswer | NoAnswer | NotSent:
        self.beliefs.loads.begin_call(endpoint.id)
        try:
            sending = job.sending(endpoint.name, endpoint.address, None, now, "")
            fresh = not job.route.repeat.may_repeat
            sent = await self.sender.send(job.request, sending, fresh)
            if isinstance(sent, NotSent):
                return sent
            job.sends += 1
            job.firsts.add(endpoint.id)
            job.current = sent
            age = now - self.beliefs.fleet.known_at
            self.log.sent(job, endpoint.id, age, 0.0)
            if job.caller.gone:
                job.caller_gone()
            until = self._until(job, now)
            return await collect(self.sender, sent, job.request, until)
        finally:
            job.current = None
            self.beliefs.loads.end_call(endpoint.id)

    def _until(self, job: Job, now: float) -> float:
        """Return until when one endpoint is waited for."""
        if not job.route.repeat.may_repeat or not job.may_try_another:
            return job.until
        patience = max(0.1, PATIENCE_OBJECTIVES * job.route.objective)
        return min(job.until, now + patience)

    def _failed(self, job: Job, result: NoAnswer) -> Refusal:
        if result.timed_out:
            return job.failure(ErrorKind.DEADLINE_EXCEEDED, None)
        if result.outcome is SendOutcome.REJECTED:
            return job.failure(ErrorKind.OVERLOADED, CALL_RETRY_AFTER)
        return job.failure(ErrorKind.ENDPOINT_FAILED, None)
