"""Tests of when an entry expects to have ended, and how it reports that to peers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import orjson
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.routing import RetrySafety
from lacewingcourse.relay import decisions
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.drain import BALANCER_DELAY
from lacewingcourse.relay.peer_messages import GossipMessage, decode, encode
from lacewingcourse.relay.readiness import SHUTDOWN_MARGIN, Readiness
from lacewingcourse.relay.restart_estimate import RestartEstimator
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.testing.virtual_time import run_virtual

from .network import Network
from .rolling_restart import GRACE, INTERVAL, MAX_EVENTS, RollingRestart
from .routes import route_of

#: When the entry was asked to shut down, and the present time.
DRAIN_STARTED_AT, NOW = 10.0, 12.0
#: When the entry must have ended.
DRAIN_DEADLINE = DRAIN_STARTED_AT + GRACE - SHUTDOWN_MARGIN


class Caller(SimpleNamespace):
    """The connection of a caller."""

    __hash__ = object.__hash__


@pytest.fixture
def make_estimator(shape):
    """Return a function that makes the estimator of an entry with one open answer."""

    def make(
        max_answer_tokens=0,
        events=0,
        received=NOW,
        deadline=500.0,
        routed=True,
        **attributes,
    ):
        caller = Caller(response_ended=False, disconnected=False)
        vars(caller).update(attributes)
        routing_state = RoutingState()
        routing_state.table = SimpleNamespace(
            services={"rooms": SimpleNamespace(shape=shape)}
        )
        for _ in range(20):
            routing_state.durations.record_answer("rooms", 2.0)
            routing_state.durations.record_stream("rooms", 0.5, INTERVAL)
        job = SimpleNamespace(
            request=SimpleNamespace(
                max_answer_tokens=max_answer_tokens, received_at=received
            ),
            route=route_of("rooms", RetrySafety.RESUMABLE_STREAM),
            service="rooms",
            events=events,
            deadline=deadline,
        )
        readiness = Readiness(routing_state, GRACE)
        readiness.start_drain(DRAIN_STARTED_AT)
        gateway = SimpleNamespace(
            routing_state=routing_state,
            jobs={caller: job} if routed else {},
            serving=set(),
        )
        callers = SimpleNamespace(open={caller})
        return RestartEstimator(
            readiness, callers, gateway, PeerTable("a"), lambda: NOW
        )

    return make


def test_entry_that_is_not_draining_has_no_expected_end(make_estimator):
    estimator = make_estimator()
    estimator.readiness.drain_started_at = None
    assert estimator.ends_in() is None


@pytest.mark.parametrize(
    ("events", "remaining"), [(0, 0.5 + 100 * INTERVAL), (40, 60 * INTERVAL)]
)
def test_stream_lasts_as_long_as_its_remaining_events(
    make_estimator, events, remaining
):
    estimator = make_estimator(max_answer_tokens=100, events=events)
    assert estimator.ends_in() == pytest.approx(remaining)


def test_entry_does_not_end_before_the_balancer_stops_sending_callers(make_estimator):
    estimator = make_estimator(max_answer_tokens=100, events=99)
    assert estimator.ends_in() == pytest.approx(DRAIN_STARTED_AT + BALANCER_DELAY - NOW)


def test_answer_without_a_token_limit_lasts_as_usual_for_its_route(make_estimator):
    assert make_estimator(received=NOW).ends_in() == pytest.approx(2.0)


@pytest.mark.parametrize(
    "open_answer",
    [
        {"received": NOW - 2.0},
        {"max_answer_tokens": 1_000},
        {"routed": False},
    ],
    ids=["beyond its route", "long", "not arrived"],
)
def test_entry_ends_by_its_drain_deadline(make_estimator, open_answer):
    assert make_estimator(**open_answer).ends_in() == pytest.approx(
        DRAIN_DEADLINE - NOW
    )


@pytest.mark.parametrize(
    "open_answer",
    [{"deadline": NOW + 1.0}, {"response_ended": True}, {"disconnected": True}],
    ids=str,
)
def test_answer_lasts_no_longer_than_its_caller_waits(make_estimator, open_answer):
    estimator = make_estimator(max_answer_tokens=1_000, **open_answer)
    assert estimator.ends_in() == pytest.approx(DRAIN_STARTED_AT + BALANCER_DELAY - NOW)


def test_received_request_without_a_job_does_not_delay_the_end(make_estimator):
    estimator = make_estimator(routed=False)
    estimator.gateway.serving.update(estimator.callers.open)
    assert estimator.ends_in() == pytest.approx(DRAIN_STARTED_AT + BALANCER_DELAY - NOW)


def test_message_without_ends_in_is_decoded():
    entry = Network({"a": 1}).entries["a-00"]
    document = orjson.loads(encode(entry.message_for("", "")))
    del document["ends_in"]
    assert decode(orjson.dumps(document), GossipMessage).ends_in is None


def expected_ends(rolling_restart: RollingRestart, name: str) -> list[float]:
    """Return the earliest and the latest end that the peers of an entry expect."""
    books = [each.gossip.book for each in rolling_restart.processes.values()]
    ends = [book.peers[name].ends_at for book in books if book.name != name]
    return [min(ends), max(ends)]


def test_entries_receive_changes_of_the_expected_end_of_another_entry(shape):
    async def test():
        rolling_restart = RollingRestart(shape, 3, 1, lambda rng: MAX_EVENTS)
        for name in rolling_restart.names:
            rolling_restart.start(name)
        await asyncio.sleep(1.0)
        draining = rolling_restart.processes["entry-1"]
        draining.gateway.readiness.start_drain(rolling_restart.clock())
        await asyncio.sleep(0.5)
        end = 1.0 + BALANCER_DELAY
        assert expected_ends(rolling_restart, "entry-1") == pytest.approx(
            [end, end], abs=0.02
        )
        end = rolling_restart.clock() + INTERVAL + MAX_EVENTS * INTERVAL
        draining.call(MAX_EVENTS)
        await asyncio.sleep(0.5)
        assert expected_ends(rolling_restart, "entry-1") == pytest.approx(
            [end, end], abs=0.1
        )

    run_virtual(test())


def test_refusal_log_line_has_waits_for(monkeypatch):
    lines = []
    bind = SimpleNamespace(info=lambda event: None)
    monkeypatch.setattr(
        decisions,
        "logger",
        SimpleNamespace(bind=lambda **fields: lines.append(fields) or bind),
    )
    metrics = SimpleNamespace(refused=lambda refusal, job: None)
    log = DecisionLog(lambda: NOW, metrics, lambda: 1)
    request = SimpleNamespace(id="r", received_at=NOW)
    refusal = Refusal(ErrorKind.DRAINING, "ending", retry_after=2.5)
    log.refused(request, refusal, None, "b ends in 0.5 s")
    log.refused(request, refusal, None)
    assert lines[0]["retry_after"] == 2.5
    assert lines[0]["waits_for"] == "b ends in 0.5 s"
    assert "waits_for" not in lines[1]
