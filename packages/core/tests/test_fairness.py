"""Tests of the order among organisations and classes that wait."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.fairness import OLDEST_EVERY, FairQueue, Waiting

CLASSES = (None, WorkClass("naming", first_token=1.0), WorkClass("notes", answer=9.0))


def waiting(name: str, organisation: str, work_class=None, cost: float = 1.0):
    return Waiting(name, organisation, work_class, cost, arrived_at=0.0)


def pick_first(queue: FairQueue, presses=lambda waiting: False) -> Waiting:
    first = queue.order(presses, 4)[0]
    queue.pick(first)
    return first


ARRIVALS = st.tuples(
    st.integers(0, 4), st.sampled_from(CLASSES), st.integers(1, 50), st.floats(0, 100)
)


@given(st.lists(st.one_of(ARRIVALS, st.just("pick"), st.just("pick")), max_size=150))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_no_request_starves(steps):
    queue = FairQueue()
    latest_pick = {}

    def pick():
        taken = pick_first(queue, lambda each: each.class_name == "naming")
        assert queue.picks <= latest_pick.pop(taken.stream)

    for index, step in enumerate(steps):
        if step == "pick":
            if queue.size:
                pick()
            continue
        number, work_class, cost, latest_start = step
        new = waiting(str(index), f"o{number}", work_class, float(cost))
        new.latest_start = latest_start
        latest_pick[new.stream] = queue.picks + OLDEST_EVERY * (queue.size + 1)
        queue.push(new)
    while queue.size:
        pick()
    assert not latest_pick and not queue.lanes


def test_one_wake_up_does_not_spend_the_share_of_others():
    queue = FairQueue()
    for index in range(500):
        queue.push(waiting(f"large{index}", "large"))
    for index in range(10):
        queue.push(waiting(f"small{index}", f"small{index % 2}"))
    taken = Counter(pick_first(queue).organisation for _ in range(40))
    assert taken["small0"] == taken["small1"] == 5


def test_costly_requests_count_for_more():
    queue = FairQueue()
    for index in range(100):
        queue.push(waiting(f"long{index}", "long", cost=10.0))
        queue.push(waiting(f"short{index}", "short", cost=1.0))
    taken = Counter(pick_first(queue).organisation for _ in range(88))
    assert 4.0 < taken["short"] / taken["long"] < 12.0


def test_pressing_class_goes_first_and_less_slack_next():
    queue = FairQueue()
    for name, work_class, latest in (
        ("relaxed", CLASSES[2], 9.0),
        ("urgent", CLASSES[2], 1.0),
        ("pressing", CLASSES[1], 5.0),
    ):
        new = waiting(name, name, work_class)
        new.latest_start = latest
        queue.push(new)
    order = [
        pick_first(queue, lambda each: each.class_name == "naming").stream
        for _ in range(3)
    ]
    assert order == ["pressing", "urgent", "relaxed"]


@given(st.lists(st.integers(0, 3), min_size=1, max_size=40))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_places_count_those_before_in_turn(organisations):
    queue = FairQueue()
    for index, number in enumerate(organisations):
        queue.push(waiting(str(index), f"o{number}"))
    depths = Counter()
    for each, before in sorted(queue.places(), key=lambda pair: pair[0].number):
        depth = depths[each.organisation]
        depths[each.organisation] += 1
        lanes = Counter(organisations).values()
        assert before == sum(min(length, depth) for length in lanes)
