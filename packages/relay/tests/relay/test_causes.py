"""Tests of the causes of late requests, with log lines as entries write them."""

from __future__ import annotations

import json

import pytest
from cleo.testers.command_tester import CommandTester

from lacewingcourse.relay.causes import (
    RequestHistory,
    cause_of,
    histories_of,
    summary_of,
)
from lacewingcourse.relay.explain import ExplainCommand

#: Log lines of a send of a stream, its end, a loss, and a suspicion.
SENT = {"time": 9.0, "event": "sent", "process": "edge-1", "request": "r"}
SERVED = {
    "time": 10.0,
    "event": "served",
    "process": "edge-1",
    "request": "r",
    "sends": 1,
    "gone": False,
    "whole": True,
    "took_ms": 900.0,
    "first_ms": 60.0,
    "gap_ms": 80.0,
}
LOST = {
    "time": 9.5,
    "event": "lost",
    "process": "edge-1",
    "request": "r",
    "reason": "the stream stood still",
    "fault": "",
}
UNSOUND = LOST | {"event": "unsound_event", "defect": "no_id"}
SUSPECTED = {"time": 9.4, "event": "suspected", "process": "edge-2"}


def refused(kind: str) -> dict:
    """Return the log line of a refusal."""
    return SERVED | {"event": "refused", "kind": kind}


def broken_off(kind: str) -> dict:
    """Return the log line of a response that its entry broke off."""
    return SERVED | {"event": "broken_off", "kind": kind}


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([SENT, SERVED], "in time"),
        ([SENT], "lost with its entry"),
        ([SENT, SERVED | {"gone": True, "whole": False}], "caller left"),
        ([SENT, LOST, broken_off("stage_lost")], "broken off by its entry"),
        (
            [SENT, UNSOUND, LOST, broken_off("stage_lost")],
            "broken off after bytes that were not the next event",
        ),
        ([SENT, UNSOUND, LOST, SERVED], "in time"),
        (
            [SENT, UNSOUND, LOST, SERVED | {"gap_ms": 300.0}],
            "run given up for bytes that were not the next event, then late",
        ),
        ([refused("unauthenticated")], "not allowed by the configuration"),
        ([refused("draining")], "refused while leaving"),
        ([refused("overloaded")], "refused for want of room"),
        ([refused("no_route")], "refused without a path"),
        ([SENT, refused("endpoint_failed")], "failed at endpoints"),
        (
            [SENT, SUSPECTED, LOST, SERVED | {"gap_ms": 300.0}],
            "cut by a lost endpoint, then late",
        ),
        (
            [SENT, LOST | {"fault": "e"}, SERVED | {"gap_ms": 300.0}],
            "cut by a lost endpoint, then late",
        ),
        (
            [SUSPECTED | {"time": 1.0}, SENT, LOST, SERVED | {"gap_ms": 300.0}],
            "run given up though no endpoint was found dead, then late",
        ),
        ([SENT, SUSPECTED, LOST, SERVED], "in time"),
        (
            [SENT | {"waited_ms": 400.0}, SERVED | {"first_ms": 600.0}],
            "waited for room, then late",
        ),
        ([SENT, SERVED | {"first_ms": 600.0}], "slow first event"),
        ([SENT, SERVED | {"gap_ms": 300.0}], "long pause on one run"),
    ],
)
def test_a_request_has_the_first_cause_that_applies(lines, cause):
    (history,) = histories_of(lines, objective=500.0, pause=200.0)
    assert cause_of(history) == cause


def test_a_summary_adds_up_to_all_requests():
    lines = [
        SENT,
        SERVED,
        *({**SERVED, "request": f"r{n}", "first_ms": 700.0} for n in range(3)),
        {**refused("draining"), "request": "s", "time": 14.5},
    ]
    summary = summary_of(histories_of(lines, 500.0, 200.0), seconds=2.0)
    assert summary == [
        "5 requests",
        "      3   60.0%  slow first event",
        "                 at 1 entries from 0.0 to 0.0 s; most at edge-1 3",
        "      1   20.0%  in time",
        "      1   20.0%  refused while leaving",
        "                 at 1 entries from 4.5 to 4.5 s; most at edge-1 1",
        "      +0 s  slow first event 3",
        "      +4 s  refused while leaving 1",
    ]


def test_the_command_counts_the_requests_of_log_files(tmp_path):
    path = tmp_path / "edge-1.log"
    path.write_text("\n".join(map(json.dumps, [SENT, SERVED | {"first_ms": 700.0}])))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"--summary {path}") == 0
    assert "slow first event" in tester.io.fetch_output()
    assert tester.execute(f"--summary --objective 800 {path}") == 0
    assert "in time" in tester.io.fetch_output()


def test_limits_of_a_route_override_the_defaults():
    """One summary covers routes with different objectives."""
    slow = SERVED | {"first_ms": 700.0, "objective_ms": 800.0, "pause_ms": 300.0}
    (history,) = histories_of([SENT, slow], 500.0, 200.0)
    assert cause_of(history) == "in time"


def test_a_summary_names_entries_and_times_of_a_cause():
    ends = [
        SERVED | {"request": f"r{n}", "process": f"edge-{n % 2}", "time": 20.0 + n}
        for n in range(3)
    ]
    histories = histories_of([end | {"first_ms": 700.0} for end in ends], 500.0, 200.0)
    lines = summary_of(histories, 2.0)
    assert "at 2 entries from 0.0 to 2.0 s; most at edge-0 2, edge-1 1" in lines[2]


def test_each_loss_is_compared_with_few_suspicions():
    """The logs of 70 entries hold thousands of both; a linear search took minutes."""

    class Times(list):
        looks = 0

        def __getitem__(self, index):
            self.looks += 1
            return super().__getitem__(index)

    times = Times(float(n) for n in range(4096))
    history = RequestHistory("r", losses=[LOST | {"time": 3000.2}], suspicions=times)
    assert history.has_explained_loss
    assert times.looks < 20


@pytest.mark.parametrize(
    ("arguments", "problem"),
    [
        ("--summary none.log", "none.log cannot be read"),
        ("--summary --pause soon none.log", "--pause is 'soon'"),
        ("r none.log", "none.log cannot be read"),
        ("r", "name the log files"),
    ],
)
def test_the_command_reports_invalid_arguments(arguments, problem):
    tester = CommandTester(ExplainCommand())
    assert tester.execute(arguments) == 2
    (line,) = tester.io.fetch_error().splitlines()
    assert problem in line
