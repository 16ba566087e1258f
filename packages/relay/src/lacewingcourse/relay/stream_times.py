"""Predicts the times of streams that are sent, and learns from those that ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.path_finder import limits_of

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.running_streams import RunningStream
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.job import Job
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.stream_state import StreamState


@attrs.define
class StreamTimes:
    """Keeps the streams that run, and compares their times with the predicted ones.

    Only the first attempt of a request that its caller reads from the start is learned
    from: later ones contain the time that an endpoint was lost for.

    Attributes:
        routing_state: This entry's view of the endpoints.
        log: Decision log.
    """

    routing_state: RoutingState
    log: DecisionLog

    def begin(self, state: StreamState, path: Path, now: float) -> RunningStream:
        """Add an attempt that is about to be sent on a path, and return it."""
        job = state.job
        limits = limits_of(job, now)
        job.predicted = None
        if not job.sends and not job.request.resume_after:
            predictor = self.routing_state.chooser(state.shape).predictor
            job.predicted = predictor.predict(path, state.demand, job.service, now)
        prompt = state.demand.prompt_tokens
        return self.routing_state.running.begin(path, prompt, limits.max_event_gap)

    def record_events(self, job: Job, now: float) -> None:
        """Learn from the first event of a request's stream."""
        if job.running is not None:
            self.routing_state.running.record_first_event(job.running)
        if job.events != 1 or job.predicted is None or job.sent_at is None:
            return
        ratio = self.routing_state.ratios.record_first_event(
            job.service, job.predicted.published_first_event, now - job.sent_at, now
        )
        self.log.predicted(job.service, "first_event", ratio)

    def record_whole(self, job: Job, now: float) -> None:
        """Learn from the pauses of a stream that was passed on completely."""
        if job.events < 2 or job.predicted is None or job.sends != 1:
            return
        ratio = self.routing_state.ratios.record_pause(
            job.service, job.predicted.published_pause, job.longest_gap, now
        )
        self.log.predicted(job.service, "pause", ratio)

    def end(self, job: Job, running: RunningStream) -> None:
        """Remove an attempt that has ended."""
        self.routing_state.running.end(running)
        if job.running is running:
            job.running = None
