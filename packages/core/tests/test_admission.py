"""Tests of admission: start, wait, or a refusal that tells the truth at once."""

from __future__ import annotations

import random
from collections import Counter

import attrs
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.admission import Admission, Refuse, Start
from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.fairness import FairQueue, Waiting
from lacewingcourse.core.priorities import Prediction

NAMING = WorkClass("naming", first_token=1.0, between_tokens=0.05)
NOTES = WorkClass("notes", answer=20.0)
#: Seconds of an answer of the fake capacity.
ANSWER = 1.0


class Capacity:
    """A capacity for so many answers; one more makes every token late."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used: set[str] = set()

    def predict(self, stream: str) -> Prediction:
        between = 0.01 if len(self.used) < self.limit else 0.1
        return Prediction(0.1, between, ANSWER, 0.1, ANSWER, 0.01)

    def reserve(self, stream: str) -> None:
        self.used.add(stream)


def admission_of(limit: int, queue_limit: int = 1024) -> tuple[Admission, Capacity]:
    capacity = Capacity(limit)
    admission = Admission(capacity.predict, capacity.reserve, random.Random(1))
    admission.queue = FairQueue(limit=queue_limit)
    return admission, capacity


def ask(stream: str, organisation: str, now: float, work_class=NAMING) -> Waiting:
    return Waiting(stream, organisation, work_class, 10.0, now)


def end_one(admission: Admission, capacity: Capacity, now: float) -> list:
    stream = min(capacity.used)
    capacity.used.remove(stream)
    return admission.on_end(stream, True, now)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.integers(0, 3), st.sampled_from([None, NAMING, NOTES])),
        st.sampled_from(["end", "review", "leave", "later"]),
    ),
    max_size=80,
)


@given(STEPS, st.integers(1, 4))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_every_request_gets_one_verdict_and_none_waits_too_long(steps, limit):
    admission, capacity = admission_of(limit, queue_limit=6)
    now = 0.0
    asked: dict[str, Waiting] = {}
    verdicts = Counter()

    def take(effects):
        for effect in effects:
            verdicts[effect.stream] += 1
            if isinstance(effect, Refuse):
                assert effect.stream not in capacity.used
                assert effect.refusal.outcome is Outcome.NOT_RUN
                assert effect.refusal.retry_after >= 1.0
            else:
                assert effect.stream in capacity.used

    for index, step in enumerate(steps):
        if step == "end" and capacity.used:
            take(end_one(admission, capacity, now))
        elif step == "later":
            now += 0.3
        elif step == "review":
            take(admission.review(now))
            for waiting in admission.waiting.values():
                assert waiting.latest_start >= now
        elif step == "leave" and admission.waiting:
            stream = min(admission.waiting)
            verdicts[stream] += 1
            take(admission.on_end(stream, None, now))
        elif isinstance(step, tuple):
            new = ask(str(index), f"o{step[0]}", now, step[1])
            asked[new.stream] = new
            take(admission.offer(new, now))
        assert admission.queue.size == len(admission.waiting) <= 6
    assert set(verdicts) | set(admission.waiting) == set(asked)
    assert not set(verdicts) & set(admission.waiting)
    assert set(verdicts.values()) <= {1}


def test_refused_at_once_when_the_wait_is_longer_than_the_slack():
    admission, _ = admission_of(4)
    for index in range(4):
        started = admission.offer(ask(f"run{index}", "large", 0.0), 0.0)
        assert isinstance(started[0], Start)
    kinds = Counter()
    for index in range(20):
        for effect in admission.offer(ask(f"large{index}", "large", 0.0), 0.0):
            kinds[effect.refusal.kind] += 1
    assert kinds == {ErrorKind.DEADLINE_UNREACHABLE: 16}
    assert admission.offer(ask("small", "small", 0.0), 0.0) == []
    (refused,) = admission.offer(ask("more", "large", 0.0), 0.0)
    assert refused.refusal.kind is ErrorKind.ORGANISATION_OVER_SHARE


def test_wake_up_of_one_organisation_leaves_the_targets_of_another():
    admission, capacity = admission_of(20)
    started = Counter()
    now = 0.0
    for index in range(400):
        for effect in admission.offer(ask(f"large{index}", "large", now), now):
            started[effect.stream[:5]] += isinstance(effect, Start)
    asked = 0
    for tick in range(100):
        now += 0.05
        effects = end_one(admission, capacity, now) if capacity.used else []
        if tick % 4 == 0:
            asked += 1
            effects += admission.offer(ask(f"small{tick}", "small", now), now)
        effects += admission.offer(ask(f"large-{tick}", "large", now), now)
        effects += admission.review(now)
        for effect in effects:
            started[effect.stream[:5]] += isinstance(effect, Start)
    waiting = sum(each.organisation == "small" for each in admission.waiting.values())
    assert started["small"] + waiting >= 0.95 * asked


def test_stale_estimates_do_not_shut_a_class_out_for_good():
    admission, capacity = admission_of(0)
    fresh = capacity.predict
    admission.predict = lambda stream: attrs.evolve(fresh(stream), fresh=False)
    assert isinstance(admission.offer(ask("a", "o", 0.0), 0.0)[0], Start)
    standing = admission.standing("naming")
    for _ in range(20):
        standing.first_token.add(3.0, 1.0, 0.95)
    assert standing.factor(standing.first_token, 0.0) == 3.0
    assert standing.factor(standing.first_token, 60.0) < 1.1


def test_refused_requests_do_not_return_together():
    admission, capacity = admission_of(10)
    for index in range(10):
        admission.offer(ask(f"run{index}", "a", 0.0), 0.0)
    admission.durations.value = 1.0
    returns = []
    for index in range(300):
        for effect in admission.offer(ask(f"x{index}", "b", 0.0), 0.0):
            if isinstance(effect, Refuse):
                returns.append(effect.refusal.retry_after)
    seconds = Counter(int(value) for value in returns)
    assert len(returns) > 200
    assert max(seconds.values()) <= 3 * admission.rate()


def test_class_without_target_keeps_the_pace_of_one_with_a_target():
    admission, capacity = admission_of(2)
    admission.offer(ask("a", "o", 0.0, NAMING), 0.0)
    admission.offer(ask("b", "p", 0.0, None), 0.0)
    assert admission.offer(ask("c", "p", 0.0, None), 0.0) == []
    assert "c" in admission.waiting
    later = 60.0
    assert isinstance(admission.pump(later)[0], Start)
