"""Tests of streams that are sent on elsewhere."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from lacewingcourse.core.pipelines.path import Part, Path
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.core.pipelines.speed import (
    ESTIMATE_TTL,
    REFRESH_MARGIN,
    SpeedEstimator,
)
from lacewingcourse.core.pipelines.suspects import Suspects
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import EngineReport, StalledRequest, Unavailable
from lacewingcourse.relay.stall_watcher import SECOND_QUESTION, TOGETHER, StallWatcher
from lacewingcourse.relay.upstream import Stalled

from .network import Clock

#: Turns of the loop in which all questions are put and answered.
TURNS = 20
#: Start of the endpoints that the watcher knows.
BORN = 1_000


def path_of(*names: str) -> Path:
    """Return a path through endpoints."""
    parts = [Part(n, f"{n}:1", "east", Layers(i, i + 1)) for i, n in enumerate(names)]
    return Path(tuple(parts), 5.0)


class Reports:
    """Reports that a test sets."""

    def __init__(self, found) -> None:
        self.found = found
        self.asked: list[str] = []

    async def report(self, address: str, patience: float):
        self.asked.append(address)
        return self.found


def make_job(path: Path, may_move: bool = True):
    """Return what the watcher needs of a request."""
    current = SimpleNamespace(arrivals=asyncio.Queue())
    return SimpleNamespace(
        path=path,
        route=SimpleNamespace(max_event_gap=0.2, objective=0.5),
        may_move=may_move,
        current=current,
        avoid=set(),
        watched=None,
    )


@pytest.fixture
def make_watcher(events):
    """Return a function that makes a watcher which notes what it suspects."""

    def make(found, idle=False, unused=None):
        suspects = Suspects()

        def on_suspect(endpoints, reason):
            for endpoint in endpoints:
                suspects.suspect(endpoint, reason, 0.0, silent=True)

        finder = SimpleNamespace(
            is_idle=lambda job, avoid: idle, unused=lambda besides: unused
        )
        log = SimpleNamespace(belief=lambda event, **fields: events.append(event))
        return StallWatcher(
            Reports(found),
            suspects,
            SpeedEstimator(),
            finder,
            Clock(),
            log,
            on_suspect,
            lambda name, born: born > BORN,
        )

    return make


@pytest.fixture
def events():
    """Return the events that the watcher logged."""
    return []


def watched_until(watcher, job, now):
    """Watch a stream that is silent from 0 until a time, and look."""
    if isinstance(watcher.clock, Clock):
        watcher.clock.now = now

    async def run():
        watcher.begin(job, 0.0)
        watcher.progress(job, 0.0)
        watcher.look(now)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())


def test_a_stream_behind_an_endpoint_that_is_named_goes_on_elsewhere(make_watcher):
    watcher = make_watcher(EngineReport((StalledRequest("r", "b:1"),)))
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert isinstance(job.current.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"b"}
    assert watcher.suspects.excluded(0.1) == {"b"}


def test_a_stream_on_a_busy_path_stays(make_watcher):
    watcher = make_watcher(EngineReport())
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert watcher.reports.asked == ["a:1", "b:1"]
    assert job.current.arrivals.empty()
    assert watcher.suspects.excluded(0.1) == set()


def test_a_first_endpoint_without_report_is_left_out(make_watcher):
    watcher = make_watcher(None)
    watcher.reports = OneDead("a:1")
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert job.avoid == {"a"}


def test_nobody_is_taken_for_dead_while_nobody_answers(make_watcher, events):
    """Answers were cut off while an entry's link was full.

    A version of the configuration filled the link of a small entry for a tenth of a
    second. Events and answers to questions came behind it, so the entry took every
    endpoint that it asked for dead, told the others, and sent all streams elsewhere
    until no repeat was left. Nearly all of these endpoints lived: runs passed through
    them before and after, and hardly any was found dead at other times.
    """
    watcher = make_watcher(Unavailable("timed out"))
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert {"a:1", "b:1"} <= set(watcher.reports.asked)
    assert watcher.suspects.excluded(0.2) == set()
    assert job.current.arrivals.empty()
    assert set(events) == {"not_suspected"}


def test_an_answer_to_a_later_question_says_nothing_of_an_earlier_one(make_watcher):
    """The link was free again when the other endpoint was asked."""
    watcher = make_watcher(Unavailable("timed out"))
    job = make_job(path_of("a"))
    later = 0.2 + SECOND_QUESTION + 2 * TOGETHER
    watcher.answered["c:1"] = later
    watched_until(watcher, job, 0.2)
    assert watcher.reports.asked == ["a:1"] * 3
    assert watcher.suspects.excluded(0.2) == {"a"}


def test_an_endpoint_asked_alone_is_compared_with_another_one(make_watcher):
    watcher = make_watcher(None, unused="c:1")
    watcher.reports = OneDead("a:1")
    job = make_job(path_of("a"))
    watched_until(watcher, job, 0.2)
    assert watcher.reports.asked == ["a:1", "a:1", "a:1", "c:1"]
    assert watcher.suspects.excluded(0.2) == {"a"}


def test_a_stream_stays_that_is_silent_behind_another_part_than_the_known_one(
    make_watcher,
):
    """A peer had taken an endpoint for dead through which other streams passed."""
    watcher = make_watcher(EngineReport())
    watcher.suspects.from_peer("b", 2.0, now=0.0, silent=True)
    silent, heard = make_job(path_of("a", "b")), make_job(path_of("c", "b"))

    async def run():
        watcher.begin(silent, 0.0)
        watcher.progress(silent, 0.0)
        watcher.begin(heard, 0.0)
        watcher.progress(heard, 0.19)
        watcher.look(0.2)

    asyncio.run(run())
    assert silent.current.arrivals.empty()


def test_a_silent_stream_moves_at_once_when_a_peer_told_the_cause(make_watcher):
    watcher = make_watcher(EngineReport())
    watcher.suspects.from_peer("b", 2.0, now=0.0, silent=True)
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert watcher.reports.asked == []
    assert job.avoid == {"b"}


def test_a_stream_that_may_not_move_is_left_alone(make_watcher):
    watcher = make_watcher(EngineReport((StalledRequest("r", "b:1"),)))
    job = make_job(path_of("a", "b"), may_move=False)
    watched_until(watcher, job, 0.2)
    assert job.current.arrivals.empty()


class Mute:
    """Reports of endpoints of which one never answers, and the others do at once."""

    def __init__(self, dead: str) -> None:
        self.dead = dead
        self.asked: list[str] = []

    async def report(self, address: str, patience: float):
        self.asked.append(address)
        if address == self.dead:
            await asyncio.Event().wait()
        return EngineReport()


def streams_cut_off(watcher):
    """Let two of three streams fall silent for 0.2 seconds; return their requests.

    The endpoint on both their paths leaves the first question without an answer.
    """
    watcher.reports = Mute("x:1")
    paths = [path_of("a", "x"), path_of("b", "x"), path_of("c")]
    jobs = [make_job(path) for path in paths]

    async def run():
        times = iter([0.0])
        watcher.clock = lambda: next(times, SECOND_QUESTION)
        for job in jobs:
            watcher.begin(job, -0.2)
            watcher.progress(job, -0.2)
        watcher.progress(jobs[2], -0.01)
        watcher.look(0.0)
        while watcher.reports.asked.count("x:1") < 2:
            await asyncio.sleep(0.001)

    asyncio.run(run())
    assert watcher.suspects.excluded(0.1) == set()
    return jobs[:2]


def test_streams_behind_an_endpoint_without_answer_move_on_an_idle_fleet(make_watcher):
    first, second = streams_cut_off(make_watcher(EngineReport(), idle=True))
    assert (first.avoid, second.avoid) == ({"x"}, {"x"})
    assert isinstance(first.current.arrivals.get_nowait(), Stalled)


def test_streams_behind_an_endpoint_without_answer_stay_on_a_busy_fleet(make_watcher):
    jobs = streams_cut_off(make_watcher(EngineReport(), idle=False))
    assert all(job.current.arrivals.empty() for job in jobs)


def test_streams_through_an_incarnation_that_ended_go_on_elsewhere(make_watcher):
    watcher = make_watcher(EngineReport(born=BORN + 1))
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert isinstance(job.current.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"a"}
    assert watcher.suspects.excluded(0.1) == set()


def test_an_endpoint_whose_report_cannot_be_read_is_not_taken_for_dead(
    make_watcher, events
):
    watcher = make_watcher(Undecodable("no JSON"))
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert job.current.arrivals.empty()
    assert watcher.suspects.excluded(0.1) == set()
    assert events == ["report_unreadable"] * 2


class OneDead:
    """Reports of endpoints of which one does not answer."""

    def __init__(self, dead: str) -> None:
        self.dead = dead
        self.asked: list[str] = []

    async def report(self, address: str, patience: float):
        self.asked.append(address)
        await asyncio.sleep(0)
        return Unavailable("refused") if address == self.dead else EngineReport()


def test_a_dead_part_in_the_middle_of_a_path_is_found_by_asking_it(make_watcher):
    watcher = make_watcher(None)
    watcher.reports = OneDead("b:1")
    job = make_job(path_of("a", "b", "c"))
    watched_until(watcher, job, 0.13)
    assert isinstance(job.current.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"b"}
    assert watcher.suspects.excluded(0.2) == {"b"}


def test_an_endpoint_that_answers_the_second_question_lives(make_watcher):
    watcher = make_watcher(None)
    answers = [Unavailable("reset"), EngineReport()]

    async def report(address: str, patience: float):
        return answers.pop(0)

    watcher.reports = SimpleNamespace(report=report)
    job = make_job(path_of("a"))
    watched_until(watcher, job, 0.13)
    assert answers == []
    assert job.current.arrivals.empty()
    assert watcher.suspects.excluded(0.2) == set()


def test_nobody_is_taken_for_dead_by_a_process_that_stood_still(make_watcher):
    watcher = make_watcher(Unavailable("timed out"))
    times = iter([0.0, 5.0])
    watcher.clock = lambda: next(times)
    job = make_job(path_of("a"))
    watched_until(watcher, job, 0.13)
    assert job.current.arrivals.empty()
    assert watcher.suspects.excluded(0.2) == set()


def test_what_an_endpoint_says_of_its_pace_is_kept(make_watcher):
    watcher = make_watcher(EngineReport(pace=5.0))
    job = make_job(path_of("a"))
    watched_until(watcher, job, 0.13)
    assert watcher.speeds.slowdown("a", 0.1) == 5.0
    assert job.current.arrivals.empty()


def test_a_slow_endpoint_is_asked_again_while_streams_use_it(make_watcher):
    watcher = make_watcher(EngineReport(pace=5.0))
    watcher.speeds.update("a", 5.0, now=0.0)
    job = make_job(path_of("a", "b"))
    later = ESTIMATE_TTL - REFRESH_MARGIN + 0.1

    async def run():
        watcher.begin(job, later)
        watcher.progress(job, later)
        watcher.look(later)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert watcher.reports.asked == ["a:1"]


def test_an_endpoint_that_is_left_out_already_is_not_asked(make_watcher):
    watcher = make_watcher(EngineReport())
    watcher.suspects.suspect("x", "no report", 0.0, silent=True)
    jobs = [make_job(path_of(n, "x"), may_move=False) for n in "ab"]

    async def run():
        for job in jobs:
            watcher.begin(job, 0.0)
            watcher.progress(job, 0.0)
        heard = make_job(path_of("c"))
        watcher.begin(heard, 0.19)
        watcher.progress(heard, 0.19)
        watcher.look(0.2)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert "x:1" not in watcher.reports.asked


def test_an_endpoint_that_only_takes_no_new_work_is_asked_before_streams_move(
    make_watcher,
):
    """Answers were cut off so beside servers that were ordered to move."""
    watcher = make_watcher(EngineReport())
    watcher.suspects.suspect("b", "ordered to move", 0.0)
    job = make_job(path_of("a", "b"))
    watched_until(watcher, job, 0.2)
    assert watcher.reports.asked == ["a:1", "b:1"]
    assert job.current.arrivals.empty()
    assert job.avoid == set()
