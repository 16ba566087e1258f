"""Admission: which requests start, which wait, and which are refused at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.burn_ends import AnswerMeter
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.estimates import Average
from lacewingcourse.core.fairness import FairQueue, Waiting
from lacewingcourse.core.priorities import (
    DEFAULT_PACE,
    FULL,
    UNBOUNDED_SLACK,
    ClassStanding,
    Prediction,
    slack_of,
)
from lacewingcourse.core.retry_calendar import RetryCalendar

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewingcourse.core.configuration import WorkClass

#: Share of a target that organisations over their share may use up.
HEADROOM = 0.9
#: Work present per room in a step up to which a request without pace starts.
CROWDED = 2.0
#: Lanes that are tried when one request does not fit.
TRIED_LANES = 4
#: Seconds for which a class that was last seen holds others to its pace.
PACE_KEPT = 10.0
#: Requests a second that are taken to end while nothing is known.
LEAST_RATE = 1.0


@attrs.frozen
class Start:
    """Start a request now.

    Attributes:
        stream: Name of the stream.
        slack: Seconds in which its first token is due.
        pace: Seconds between tokens that its class asks for.
    """

    stream: str
    slack: float
    pace: float


@attrs.frozen
class Refuse:
    """Refuse a request; it was not run anywhere.

    Attributes:
        stream: Name of the stream.
        refusal: Why.
    """

    stream: str
    refusal: Refusal


Effect = Start | Refuse


@attrs.define
class Running:
    """A request that was started.

    Attributes:
        waiting: The request.
        predicted: What was predicted at its start.
        meter: What is measured of it, from its start.
    """

    waiting: Waiting
    predicted: Prediction
    meter: AnswerMeter


@attrs.define
class Admission:
    """State of an entry's admission.

    Attributes:
        predict: Returns what is predicted for a stream if it starts now, or why
            no route serves it.
        reserve: Counts the capacity that a stream takes up from now on.
        rng: Source of randomness.
        queue: Requests that wait, in order.
        waiting: Requests that wait, by stream.
        running: Requests that were started, by stream.
        standings: How classes fare, by name.
        calendar: When refused requests should return.
        durations: Average seconds of answers.
        last_rate: Requests a second that ended, when one last did.
        paces: When each pace was last asked for, by seconds between tokens.
    """

    predict: Callable[[str], Prediction | Refusal]
    reserve: Callable[[str], None]
    rng: random.Random
    queue: FairQueue = attrs.field(factory=FairQueue)
    waiting: dict[str, Waiting] = attrs.field(factory=dict)
    running: dict[str, Running] = attrs.field(factory=dict)
    standings: dict[str, ClassStanding] = attrs.field(factory=dict)
    calendar: RetryCalendar = attrs.field(factory=RetryCalendar)
    durations: Average = attrs.field(factory=Average)
    paces: dict[float, float] = attrs.field(factory=dict)
    last_rate: float = 0.0

    def standing(self, class_name: str) -> ClassStanding:
        """Return how a class fares."""
        standing = self.standings.get(class_name)
        if standing is None:
            standing = self.standings[class_name] = ClassStanding()
        return standing

    def offer(self, waiting: Waiting, now: float) -> list[Effect]:
        """Take a new request: start it, let it wait, or refuse it.

        One that waits is looked at when an answer ends and at each review.
        """
        predicted = self.predict(waiting.stream)
        if isinstance(predicted, Refusal):
            return [Refuse(waiting.stream, predicted)]
        self._note_pace(waiting.work_class, now)
        slack = self._slack(waiting, predicted, now)
        waiting.latest_start = now + slack
        if slack < 0.0 or self._pace_unreachable(waiting, predicted):
            return [self._refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, now)]
        if not self.queue.size and self._fits(waiting, predicted, now):
            self.queue.account(waiting.organisation)
            self.queue.start(waiting)
            return [self._start(waiting, predicted, now)]
        wait = self._wait(waiting)
        if wait > slack:
            return [self._refuse(waiting, self._late_kind(waiting), now)]
        effects = self._make_room(waiting, now)
        if effects and effects[-1].stream == waiting.stream:
            return effects
        self.queue.push(waiting)
        self.waiting[waiting.stream] = waiting
        return effects

    def _note_pace(self, work_class: WorkClass | None, now: float) -> None:
        """Remember that requests of a pace come in."""
        if work_class is not None and work_class.between_tokens is not None:
            self.paces[work_class.between_tokens] = now

    def _slack(self, waiting: Waiting, predicted: Prediction, now: float) -> float:
        standing = self.standing(waiting.class_name)
        waited = now - waiting.arrived_at
        return slack_of(waiting.work_class, standing, predicted, waited)

    def _pace_unreachable(self, waiting: Waiting, predicted: Prediction) -> bool:
        """Tell whether not even idle endpoints keep the pace."""
        work_class = waiting.work_class
        if work_class is None or work_class.between_tokens is None:
            return False
        return predicted.floor_between > work_class.between_tokens

    def _make_room(self, waiting: Waiting, now: float) -> list[Effect]:
        """Refuse one request if the queue is full: of whoever has the most in it."""
        if self.queue.size < self.queue.limit:
            return []
        if self.queue.over_share(waiting.organisation) or len(self.queue.accounts) < 2:
            return [self._refuse(waiting, self._full_kind(waiting), now)]
        largest = self.queue.newest_of_largest()
        self._withdraw(largest)
        return [self._refuse(largest, ErrorKind.ORGANISATION_OVER_SHARE, now)]

    def _full_kind(self, waiting: Waiting) -> ErrorKind:
        if self.queue.over_share(waiting.organisation):
            return ErrorKind.ORGANISATION_OVER_SHARE
        return ErrorKind.OVERLOADED

    def _late_kind(self, waiting: Waiting) -> ErrorKind:
        """Return why a request cannot wait for its turn."""
        if self.queue.over_share(waiting.organisation):
            return ErrorKind.ORGANISATION_OVER_SHARE
        if waiting.work_class is None:
            return ErrorKind.OVERLOADED
        return ErrorKind.DEADLINE_UNREACHABLE

    def _withdraw(self, waiting: Waiting) -> None:
        """Take a request out of the queue without starting it."""
        self.queue.remove(waiting)
        del self.waiting[waiting.stream]

    def rate(self) -> float:
        """Return the requests a second that end, by Little's law."""
        if not self.running or not self.durations.count:
            return max(LEAST_RATE, self.last_rate)
        return len(self.running) / max(self.durations.value, 0.001)

    def _wait(self, waiting: Waiting) -> float:
        """Return the predicted seconds until a new request would start."""
        ahead = self.queue.ahead_of(waiting.organisation, waiting.class_name)
        return ahead / self.rate()

    def _fits(self, waiting: Waiting, predicted: Prediction, now: float) -> bool:
        """Tell whether a request meets its target, and lets others meet theirs."""
        if predicted.crowding == FULL:
            return False
        if not predicted.fresh and not self.running:
            return True
        work_class = waiting.work_class
        standing = self.standing(waiting.class_name)
        share = HEADROOM if self.queue.over_share(waiting.organisation) else 1.0
        waited = now - waiting.arrived_at
        pace = self._pace_allowed(waiting, now)
        margin = standing.factor(standing.between_tokens, now)
        if pace is not None and predicted.between_tokens * margin > pace * share:
            return False
        if pace is None and predicted.crowding > CROWDED:
            return False
        if work_class is None:
            return True
        first, answer = work_class.first_token, work_class.answer
        if first is not None:
            factor = standing.factor(standing.first_token, now)
            needed = predicted.first_token * factor
            if waited + needed > first * share:
                return False
        if answer is not None:
            factor = standing.factor(standing.answer, now)
            needed = predicted.answer * factor
            return waited + needed <= answer * share
        return True

    def _pace_allowed(self, waiting: Waiting, now: float) -> float | None:
        """Return the seconds between tokens that a request must keep, or None.

        A class that meets its own target also keeps the pace of the strictest class
        that was seen lately; one that presses for its target does not.
        """
        work_class = waiting.work_class
        own = work_class.between_tokens if work_class is not None else None
        if self.standing(waiting.class_name).presses(work_class):
            return own
        recent = [pace for pace, seen in self.paces.items() if now - seen <= PACE_KEPT]
        if own is not None:
            recent.append(own)
        return min(recent, default=None)

    def _start(self, waiting: Waiting, predicted: Prediction, now: float) -> Start:
        """Note a request as started."""
        self.reserve(waiting.stream)
        work_class = waiting.work_class
        meter = AnswerMeter(now, work_class)
        self.running[waiting.stream] = Running(waiting, predicted, meter)
        if not self.durations.count:
            self.durations.add(predicted.answer)
        slack = UNBOUNDED_SLACK
        pace = DEFAULT_PACE
        if work_class is not None:
            if work_class.first_token is not None:
                slack = waiting.arrived_at + work_class.first_token - now
            pace = work_class.between_tokens or DEFAULT_PACE
        return Start(waiting.stream, max(0.0, slack), pace)

    def _refuse(self, waiting: Waiting, kind: ErrorKind, now: float) -> Refuse:
        """Return the refusal of a request that was never started."""
        retry_after = self.retry_after(now)
        return Refuse(
            waiting.stream,
            Refusal(kind, REASONS[kind], Outcome.NOT_RUN, retry_after=retry_after),
        )

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused request should return."""
        rate = self.rate()
        return self.calendar.book(self.queue.size / rate, rate, self.rng, now)

    def pump(self, now: float) -> list[Effect]:
        """Start requests that wait while they fit, in the order of their turns."""
        effects: list[Effect] = []
        while self.queue.size:
            started = self._start_one(effects, now)
            if not started:
                break
        return effects

    def _start_one(self, effects: list[Effect], now: float) -> bool:
        """Start the first request that fits; refuse those found too late."""
        for waiting in self.queue.order(self._presses, TRIED_LANES):
            predicted = self.predict(waiting.stream)
            if isinstance(predicted, Refusal):
                self._withdraw(waiting)
                effects.append(Refuse(waiting.stream, predicted))
                return True
            if self._slack(waiting, predicted, now) < 0.0:
                self._withdraw(waiting)
                kind = ErrorKind.DEADLINE_UNREACHABLE
                effects.append(self._refuse(waiting, kind, now))
                return True
            if self._fits(waiting, predicted, now):
                self.queue.pick(waiting)
                del self.waiting[waiting.stream]
                effects.append(self._start(waiting, predicted, now))
                return True
        return False

    def _presses(self, waiting: Waiting) -> bool:
        return self.standing(waiting.class_name).presses(waiting.work_class)

    def on_token(self, stream: str, now: float) -> None:
        """Note the delivery of a token."""
        running = self.running.get(stream)
        if running is not None:
            running.meter.on_token(now)

    def on_end(self, stream: str, whole: bool | None, now: float) -> list[Effect]:
        """Note that a request has ended.

        Args:
            stream: Name of the stream.
            whole: Whether the answer was whole; None if its caller went away.
            now: Present time in seconds.
        """
        waiting = self.waiting.get(stream)
        if waiting is not None:
            self._withdraw(waiting)
            return self.pump(now)
        running = self.running.pop(stream, None)
        if running is None:
            return []
        self.last_rate = (len(self.running) + 1) / max(self.durations.value, 0.001)
        self.queue.end(running.waiting.organisation)
        self.durations.add(now - running.meter.started_at)
        if whole is not None:
            standing = self.standing(running.waiting.class_name)
            standing.on_end(running.meter, running.predicted, whole, now)
        return self.pump(now)

    def review(self, now: float) -> list[Effect]:
        """Refuse at once those that wait and can no longer meet their target."""
        rate = self.rate()
        late = [
            waiting
            for waiting, before in self.queue.places()
            if now + before / rate > waiting.latest_start
        ]
        effects: list[Effect] = []
        for waiting in late:
            kind = self._late_kind(waiting)
            self._withdraw(waiting)
            effects.append(self._refuse(waiting, kind, now))
        return [*effects, *self.pump(now)]


#: What callers are told, by kind.
REASONS: dict[ErrorKind, str] = {
    ErrorKind.DEADLINE_UNREACHABLE: "its class target cannot be met now",
    ErrorKind.ORGANISATION_OVER_SHARE: "the organisation has more than its share",
    ErrorKind.OVERLOADED: "too many requests wait",
}
