"""Tests of leases and fencing as decisions."""

from __future__ import annotations

import attrs
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.fencing import OrderFence
from lacewingcourse.core.leases import (
    MAX_DRIFT,
    LeaseAction,
    LeaseCandidate,
    LeaseRecord,
    LeaseTable,
)

DURATION = 6.0


@attrs.define
class Instance:
    """A candidate with a clock of its own, a read position and lost records."""

    name: str
    drift: float
    candidate: LeaseCandidate = None
    read: int = 0
    held_back: list[LeaseRecord] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.restart(1)

    def restart(self, start: int) -> None:
        self.read = 0
        holder = f"{self.name}.{start}"
        self.candidate = LeaseCandidate(LeaseTable(), "placement", holder, DURATION)

    def clock(self, time: float) -> float:
        return time * (1 + self.drift)

    def read_log(self, log: list[LeaseRecord], time: float) -> None:
        for offset, record in enumerate(log[self.read :], self.read):
            valid = self.candidate.table.apply(offset, record, self.clock(time))
            self.candidate.on_read(record, valid, self.clock(time))
        self.read = len(log)


def events():
    """Return sequences of what instances do, each after some time."""
    return st.lists(
        st.tuples(
            st.floats(0.0, 4.0),
            st.integers(0, 2),
            st.sampled_from(["read", "append", "delay", "land", "restart", "release"]),
        ),
        max_size=80,
    )


drifts = st.lists(st.floats(-MAX_DRIFT, MAX_DRIFT), min_size=3, max_size=3)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(drifts, events())
def test_no_two_instances_act_at_one_time(drift, steps):
    instances = [Instance(f"entry-{index}", drift[index]) for index in range(3)]
    log: list[LeaseRecord] = []
    time = 0.0
    numbers = []
    for number, (pause, index, action) in enumerate(steps):
        time += pause
        acting = instances[index]
        now = acting.clock(time)
        if action == "read":
            acting.read_log(log, time)
        elif action in ("append", "delay", "release"):
            decide = acting.candidate.decide
            record = acting.candidate.release(now) if action == "release" else None
            record = record or decide(now)
            if record is not None:
                target = acting.held_back if action == "delay" else log
                target.append(record)
        elif action == "land" and acting.held_back:
            log.append(acting.held_back.pop(0))
        elif action == "restart":
            acting.restart(number + 2)
        held = [each.candidate.holds(each.clock(time)) for each in instances]
        held = [fencing for fencing in held if fencing is not None]
        assert len(held) <= 1
        numbers.extend(held)
    assert numbers == sorted(numbers)


def test_lost_answer_is_decided_by_reading_back():
    one = Instance("one", 0.0)
    record = one.candidate.decide(0.0)
    assert one.candidate.holds(1.0) is None
    one.read_log([record], 2.0)
    assert one.candidate.holds(2.0) == 0
    assert one.candidate.holds(DURATION) is None


def test_lease_lapses_without_the_log_and_is_taken_after_the_wait():
    one, two = Instance("one", 0.0), Instance("two", 0.0)
    log = [one.candidate.decide(0.0)]
    one.read_log(log, 0.0)
    two.read_log(log, 1.0)
    assert two.candidate.decide(DURATION) is None
    taken = two.candidate.decide(DURATION * 1.1 + 1.0)
    assert taken.action is LeaseAction.ACQUIRE
    late = one.candidate.decide(DURATION * 1.2)
    log += [taken, late]
    one.read_log(log, DURATION * 1.3)
    two.read_log(log, DURATION * 1.3)
    assert one.candidate.holds(DURATION * 1.3) is None
    assert two.candidate.holds(DURATION * 1.3) == 1


def test_of_two_racing_takers_the_first_in_the_log_wins():
    one, two = Instance("one", 0.0), Instance("two", 0.0)
    log = [two.candidate.decide(0.0), one.candidate.decide(0.0)]
    one.read_log(log, 0.5)
    two.read_log(log, 0.5)
    assert one.candidate.holds(0.5) is None
    assert two.candidate.holds(0.5) == 0


def test_reader_of_a_shortened_log_takes_the_holder_from_a_renewal():
    table = LeaseTable()
    table.skip_to(50)
    renewal = LeaseRecord("r", "placement", LeaseAction.RENEW, "one.1", 50, 7, DURATION)
    assert table.apply(50, renewal, 0.0)
    assert table.duty("placement").lease.number == 7
    assert table.duty("placement").wait_until > DURATION


def test_restarted_agent_refuses_until_it_has_learned_the_number():
    fence = OrderFence()
    assert fence.check("placement", 9).kind is ErrorKind.NOT_READY
    fence.learn({"placement": 12})
    assert fence.check("placement", 9).kind is ErrorKind.STALE_FENCING
    assert fence.check("placement", 12) is None
    assert fence.check("placement", 15) is None
    fence.learn({"placement": 13})
    assert fence.check("placement", 13).kind is ErrorKind.STALE_FENCING
