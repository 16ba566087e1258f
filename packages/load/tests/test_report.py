"""Tests of how a load run is counted."""

from __future__ import annotations

import asyncio
import itertools
import random

import orjson
import pytest

from lacewingcourse.load import runner as runner_module
from lacewingcourse.load.client import EventMeter, Sample
from lacewingcourse.load.mix import ClassLoad, Mix, OrganisationLoad, Target, plan
from lacewingcourse.load.report import percentiles, report, table
from lacewingcourse.load.runner import LoadRunner, RunOptions, RunResult

CLASS = ClassLoad("notes", target=Target(first_token=1.0, answer=4.0))
MIX = Mix("mapchat", (CLASS,), (OrganisationLoad("regie", "key"),))


def request():
    return next(plan(MIX, [0.0], random.Random(1)))


def sample(**values):
    return Sample(request(), 10.0, **values)


def answered(first_at, ended_at):
    return sample(
        first_at=first_at, last_at=ended_at, ended_at=ended_at, tokens=4, finished=True
    )


def test_each_sample_is_counted_once():
    samples = [
        answered(10.5, 13.0),
        answered(11.5, 13.0),
        answered(10.5, 14.5),
        sample(kind="overloaded", ended_at=10.1, status=503),
        sample(kind="overloaded", ended_at=10.1, status=503, tries=1),
        sample(kind="stage_lost", tokens=2, ended_at=12.0),
        sample(kind="connection_lost", ended_at=12.0),
        sample(kind="caller_left", tokens=1, ended_at=70.0),
    ]
    made = report(RunResult(10.0, 20.0, samples))
    total = made.total
    assert (total.requests, total.sent) == (7, 8)
    assert (total.whole, total.in_target, total.late) == (3, 1, 2)
    assert total.refused == {"overloaded": 2}
    assert (total.left, total.cut, total.lost) == (1, 1, 1)
    assert total.sent == total.whole + 2 + total.left + total.cut + total.lost
    assert "overloaded: 2" in table(made)


def test_percentiles_are_those_of_the_values():
    found = percentiles(number / 1000 for number in range(1, 1001))
    assert found.count == 1000
    assert found.p50 == pytest.approx(0.5, rel=0.01)
    assert found.p99 == pytest.approx(0.99, rel=0.01)
    assert found.p100 == pytest.approx(1.0, rel=0.01)


def test_events_are_read_from_pieces_of_any_size():
    texts = [{"text": "ba "}, {"text": "ce "}, {"text": "", "finish_reason": "length"}]
    events = b"".join(
        b"data: " + orjson.dumps({"choices": [each]}) + b"\n\n" for each in texts
    )
    read = sample()
    meter = EventMeter(read)
    for byte in events + b"data: [DONE]\n\n":
        meter.feed(bytes([byte]))
    assert (read.tokens, len(read.gaps), read.whole) == (2, 1, True)


class FakeEntry:
    """Refuses the first tries of each request with a time to come back."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.seen = []

    async def send(self, http, url, model, sent, patience):
        self.seen.append(sent)
        sent.ended_at = sent.due_at
        if sent.tries < self.refusals:
            sent.kind, sent.retry_after = "overloaded", 0.01
        else:
            sent.finished = True


@pytest.mark.parametrize(
    ("refusals", "sent", "whole"), [(0, 1, 1), (2, 3, 1), (9, 4, 0)]
)
def test_refused_request_comes_back_when_told(monkeypatch, refusals, sent, whole):
    entry = FakeEntry(refusals)
    monkeypatch.setattr(runner_module, "send", entry.send)

    async def run():
        options = RunOptions(("http://127.0.0.1:1",), "mapchat", resends=3)
        return await LoadRunner(options).run_open(plan(MIX, [0.0], random.Random(1)))

    total = report(asyncio.run(run())).total
    assert (total.requests, total.sent, total.whole) == (1, sent, whole)
    dues = [each.due_at for each in entry.seen]
    assert all(later > sooner for sooner, later in itertools.pairwise(dues))
