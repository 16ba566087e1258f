"""Prediction of the times of a stream on a path, and of its effect on others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.load import NO_LOAD
from lacewingcourse.core.pipelines.path import LOCAL_HOP_MS
from lacewingcourse.core.pipelines.running_streams import RunningStreams
from lacewingcourse.core.pipelines.time_ratios import TimeRatios

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewingcourse.core.pipelines.demand import Demand
    from lacewingcourse.core.pipelines.links import LinkUsage
    from lacewingcourse.core.pipelines.load import LoadTable
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.path_costs import PathCosts
    from lacewingcourse.core.pipelines.running_streams import RunningStream
    from lacewingcourse.core.pipelines.shape import EngineShape
    from lacewingcourse.core.pipelines.speed import SpeedEstimator

#: Streams that share an endpoint and are compared before and after a start, so that the
#: time of a choice does not grow with the streams that run.
MAX_COMPARED_STREAMS = 16
#: Lower bound of the free share of a link, so that the time of a transfer stays finite.
MIN_FREE_LINK_SHARE = 0.05


@attrs.frozen
class TimeLimits:
    """Times within which a stream is useful in full.

    Attributes:
        service: Service that produces it.
        objective: Seconds from its arrival to its first event, infinite for no limit.
        max_event_gap: Maximum seconds between its events, infinite for no limit.
        elapsed: Seconds since its arrival.
    """

    service: str
    objective: float
    max_event_gap: float
    elapsed: float = 0.0

    @property
    def time_left(self) -> float:
        """Seconds that are left to its first event."""
        return self.objective - self.elapsed


@attrs.frozen
class StreamPrediction:
    """Predicted times of a stream that starts now.

    Attributes:
        first_event: Seconds to its first event.
        pause: Seconds between its events.
        others_pause: Longest pause in seconds of the streams of this entry that share
            an endpoint with it, once it runs.
        makes_late: Whether one of them keeps its maximum pause only without it.
        first_event_ratio: Learned ratio that `first_event` contains.
        pause_ratio: Learned ratio that the pauses contain.
    """

    first_event: float
    pause: float
    others_pause: float = 0.0
    makes_late: bool = False
    first_event_ratio: float = 1.0
    pause_ratio: float = 1.0

    @property
    def published_first_event(self) -> float:
        """Seconds to the first event by the published figures alone."""
        return self.first_event / self.first_event_ratio

    @property
    def published_pause(self) -> float:
        """Seconds between events by the published figures alone."""
        return self.pause / self.pause_ratio


@attrs.define
class StreamPredictor:
    """Predicts streams from the published figures and from what others took.

    Attributes:
        shape: Published performance figures of the engines.
        loads: Loads of the endpoints.
        links: Utilisation of the links between zones.
        speeds: Endpoints that run slower than published.
        costs_of: Returns the costs of a path.
        running: Streams of this entry that run.
        ratios: Ratios of the times that streams took to the published ones.
    """

    shape: EngineShape
    loads: LoadTable
    links: LinkUsage
    speeds: SpeedEstimator
    costs_of: Callable[[Path], PathCosts]
    running: RunningStreams = attrs.field(factory=RunningStreams)
    ratios: TimeRatios = attrs.field(factory=TimeRatios)

    def predict(
        self, path: Path, demand: Demand, service: str, now: float
    ) -> StreamPrediction:
        """Return the predicted times of a stream that starts on a path now."""
        first_ms, pause_ms = self._times_ms(path, demand, now)
        first_ratio = self.ratios.first_event(service).ratio(now)
        pause_ratio = self.ratios.pause(service).ratio(now)
        allowed_ratio = pause_ratio / self.ratios.pause(service).allowance(now)
        others_ms, makes_late = self._effect(path, demand, allowed_ratio, now)
        return StreamPrediction(
            first_event=first_ms * first_ratio / 1000,
            pause=pause_ms * pause_ratio / 1000,
            others_pause=others_ms * pause_ratio / 1000,
            makes_late=makes_late,
            first_event_ratio=first_ratio,
            pause_ratio=pause_ratio,
        )

    def is_in_time(
        self, path: Path, demand: Demand, limits: TimeLimits, now: float
    ) -> bool:
        """Return whether a stream keeps its limits, and lets others keep theirs.

        An idle path is judged by the published figures alone, so that what was learned
        never keeps out every stream.

        Args:
            path: The path.
            demand: Tokens of the request.
            limits: Limits of its times.
            now: Present time in seconds.
        """
        first_ms, pause_ms = self._times_ms(path, demand, now)
        firsts = self.ratios.first_event(limits.service)
        pauses = self.ratios.pause(limits.service)
        max_first = limits.time_left * 1000 * firsts.allowance(now)
        max_pause = limits.max_event_gap * 1000 * pauses.allowance(now)
        pause_ratio = pauses.ratio(now)
        if first_ms * firsts.ratio(now) > max_first:
            return first_ms <= max_first and self._is_idle(path)
        if pause_ms * pause_ratio > max_pause:
            return pause_ms <= max_pause and self._is_idle(path)
        allowed_ratio = pause_ratio / pauses.allowance(now)
        return not self._effect(path, demand, allowed_ratio, now)[1]

    def time_to_start(
        self, paths: Iterable[Path], demand: Demand, limits: TimeLimits, now: float
    ) -> float | None:
        """Return the seconds that are left for a start in time if nothing else ran.

        Args:
            paths: Paths that the stream may take.
            demand: Tokens of the request.
            limits: Limits of its times.
            now: Present time in seconds.

        Returns:
            The seconds, negative if its limits could only be kept by an earlier start;
            None if its limits could not be kept by any.
        """
        firsts = self.ratios.first_event(limits.service).allowance(now)
        pauses = self.ratios.pause(limits.service).allowance(now)
        fastest = None
        for path in paths:
            first, pause = self.idle_times(path, demand, now)
            if pause <= limits.max_event_gap * pauses:
                fastest = first if fastest is None else min(first, fastest)
        if fastest is None or fastest > limits.objective * firsts:
            return None
        return limits.time_left * firsts - fastest

    def idle_times(self, path: Path, demand: Demand, now: float) -> tuple[float, float]:
        """Return seconds to the first event and between events on an idle path.

        Reported slowdowns of its endpoints are included.
        """
        costs = self.costs_of(path)
        step_ms, read_ms = costs.step_ms, costs.prefill_ms_per_token
        for part in costs.parts if self.speeds.estimates else ():
            more = self.speeds.slowdown(part.endpoint, now) - 1.0
            step_ms += part.step_ms * more
            read_ms += part.prefill_ms_per_token * more
        read_ms *= demand.prompt_tokens
        step_ms += LOCAL_HOP_MS * (len(path.parts) - 1)
        pause = step_ms * self.shape.event_tokens / 1000
        transfer = self.shape.transfer_seconds(demand.prompt_tokens)
        return len(path.crossings) * transfer + read_ms / 1000 + pause, pause

    def _times_ms(self, path: Path, demand: Demand, now: float) -> tuple[float, float]:
        """Return milliseconds to the first event and between events, as published.

        An engine reads prompts in order, some tokens in each step, and each step also
        writes a token of every stream that runs there. The steps of an event make up a
        pass, and a prompt waits for a whole one.
        """
        sums, slow = self.loads.sums, self.speeds.estimates
        reading = self.running.reading_tokens
        prompt, chunk = demand.prompt_tokens, self.shape.chunk_tokens
        event_tokens = self.shape.event_tokens
        parts = self.costs_of(path).parts
        read_ms, step_ms = 0.0, LOCAL_HOP_MS * (len(parts) - 1)
        for part in parts:
            requests = sums.get(part.endpoint, NO_LOAD).requests
            step = part.step_ms + requests * part.ms_per_other_request
            tokens = prompt + reading.get(part.endpoint, 0)
            read = part.prefill_ms_per_token * tokens
            if requests:
                steps = -(-tokens // chunk) if chunk else 0
                read += max(steps, event_tokens) * step
            if part.endpoint in slow:
                slowdown = self.speeds.slowdown(part.endpoint, now)
                step *= slowdown
                read *= slowdown
            step_ms += step
            read_ms += read
        pause_ms = step_ms * event_tokens
        if path.crossings:
            read_ms += self._transfer_ms(path, demand, now)
        return read_ms + pause_ms, pause_ms

    def _transfer_ms(self, path: Path, demand: Demand, now: float) -> float:
        """Return the milliseconds for which a prompt waits for links and uses them."""
        transfer_ms = self.shape.transfer_seconds(demand.prompt_tokens) * 1000
        return sum(
            transfer_ms
            / max(1.0 - self.links.utilisation(pair, now), MIN_FREE_LINK_SHARE)
            for pair in path.crossings
        )

    def _is_idle(self, path: Path) -> bool:
        """Return whether no request runs on any part of a path."""
        return not any(part.endpoint in self.loads.sums for part in path.parts)

    def _effect(
        self, path: Path, demand: Demand, ratio: float, now: float
    ) -> tuple[float, bool]:
        """Return how a start on a path affects the streams that share an endpoint.

        Args:
            path: The path.
            demand: Tokens of the request.
            ratio: Factor on published pauses before they are compared with limits.
            now: Present time in seconds.

        Returns:
            Their longest pause afterwards in milliseconds, as published, and whether
            one of them then exceeds its maximum pause that does not do so now.
        """
        sharing = self.running.sharing(path, MAX_COMPARED_STREAMS)
        if not sharing:
            return 0.0, False
        added = self._added_ms(path, demand, now)
        longest, makes_late = 0.0, False
        for stream in sharing:
            before, after = self._pauses_ms(stream, added, now)
            longest = max(longest, after)
            limit = stream.max_event_gap * 1000
            makes_late = makes_late or before * ratio <= limit < after * ratio
        return longest, makes_late

    def _added_ms(
        self, path: Path, demand: Demand, now: float
    ) -> dict[str, tuple[float, float]]:
        """Return what a start adds to a pass of each endpoint on a path.

        Returns:
            Milliseconds of writing for each layer that a pass runs, and milliseconds of
            the pass that reads most of the prompt, by endpoint.
        """
        tokens = demand.prompt_tokens
        if self.shape.chunk_tokens:
            tokens = min(tokens, self.shape.chunk_tokens * self.shape.event_tokens)
        found = {}
        for part in self.costs_of(path).parts:
            slowdown = self.speeds.slowdown(part.endpoint, now)
            write_ms = part.ms_per_other_request * self.shape.event_tokens / part.span
            read_ms = part.prefill_ms_per_token * tokens
            found[part.endpoint] = write_ms * slowdown, read_ms * slowdown
        return found

    def _pauses_ms(
        self, stream: RunningStream, added: dict[str, tuple[float, float]], now: float
    ) -> tuple[float, float]:
        """Return a stream's pause now and after a start, as published."""
        sums, slow = self.loads.sums, self.speeds.estimates
        parts = self.costs_of(stream.path).parts
        step_ms, write_ms, read_ms = LOCAL_HOP_MS * (len(parts) - 1), 0.0, 0.0
        for part in parts:
            endpoint = part.endpoint
            others = max(0, sums.get(endpoint, NO_LOAD).requests - 1)
            step = part.step_ms + others * part.ms_per_other_request
            if endpoint in slow:
                step *= self.speeds.slowdown(endpoint, now)
            step_ms += step
            if endpoint in added:
                write, read = added[endpoint]
                write_ms += write * part.span
                # The prompt reaches one part after the other.
                read_ms = max(read_ms, read)
        pause_ms = step_ms * self.shape.event_tokens
        return pause_ms, pause_ms + write_ms + read_ms
