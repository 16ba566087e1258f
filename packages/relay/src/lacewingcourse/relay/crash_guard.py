"""Keeps requests that crash endpoints from being sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.pipelines.crashes import AnswerProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.prompt_parts import PartReport
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.routing_state import RoutingState


@attrs.define
class CrashGuard:
    """Decides whether requests are refused because they crash endpoints.

    Attributes:
        routing_state: Holds the losses and refusals.
        log: Decision log.
        clock: Returns the present time in seconds.
        on_evidence: Called when other entries need to know of a loss.
        on_change: Called with a part that this entry has refused, or refuses no longer.
    """

    routing_state: RoutingState
    log: DecisionLog
    clock: Callable[[], float]
    on_evidence: Callable[[], None] = lambda: None
    on_change: Callable[[str], None] = lambda part: None

    def refusal(self, job: Job) -> Refusal | None:
        """Return why a request may not be sent, None if it may.

        One whose answer is established does not crash its endpoint.
        """
        if job.established:
            return None
        parts, now = job.shared_parts, self.clock()
        self._judge(parts, now)
        part = self.routing_state.parts.refused_part(parts, now)
        if part is not None:
            reason = f"part {part} of its prompt crashes endpoints"
            kind = ErrorKind.REQUEST_CRASHES_ENDPOINTS
            return Refusal(kind, reason, Outcome.NOT_RUN)
        explained = self.routing_state.parts.explained_endpoints(now)
        if self.routing_state.crashes.is_refused(job.fingerprint, now, explained):
            reason = "endpoints were lost each time it ran"
            kind = ErrorKind.REQUEST_CRASHES_ENDPOINTS
            return Refusal(kind, reason, Outcome.RAN)
        return None

    def record_loss(self, job: Job, endpoint: str, progress: AnswerProgress) -> None:
        """Record that an endpoint was lost while it held a request.

        Args:
            job: The request.
            endpoint: Id of the endpoint.
            progress: How far it had come with the answer.
        """
        now = self.clock()
        self.routing_state.crashes.record_loss(job.fingerprint, endpoint, now)
        if job.established or not job.shared_parts:
            return
        self.routing_state.parts.record_loss(job.shared_parts, endpoint, progress, now)
        self._judge(job.shared_parts, now)
        if progress is AnswerProgress.BEGUN:
            self.on_evidence()

    def record_established(self, job: Job) -> None:
        """Record that the answer to a request was established."""
        job.established = True
        cleared = self.routing_state.parts.record_sound(job.shared_parts, self.clock())
        for part in cleared:
            self.log.log_event("part_cleared", part=part, request=job.request.id)
            self.on_change(part)

    def from_peer(self, reports: dict[str, PartReport], peer: str) -> None:
        """Apply what another entry reports of parts.

        Args:
            reports: What it reports, by part.
            peer: Its name.
        """
        for part in self.routing_state.parts.from_peer(reports, self.clock()):
            self._log_refused(part, peer)

    def _judge(self, parts: tuple[str, ...], now: float) -> None:
        """Refuse one of some parts if the losses under it suffice."""
        part = self.routing_state.parts.judge(parts, now)
        if part is None:
            return
        self._log_refused(part, "evidence")
        self.on_change(part)
        self.on_evidence()

    def _log_refused(self, part: str, origin: str) -> None:
        now, parts = self.clock(), self.routing_state.parts
        refusal = parts.refused[part]
        losses = parts.losses.get(part, {})
        self.log.log_event(
            "part_refused",
            part=part,
            origin=origin,
            endpoints=sorted(losses),
            losses_ms=[round((now - losses[e].at) * 1000) for e in sorted(losses)],
            age_ms=round((now - refusal.at) * 1000),
            ends_in=round(refusal.until - now, 1),
            count=refusal.count,
            companions=sorted(refusal.companions),
        )
