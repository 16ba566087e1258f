"""Tests of the detection of stalled streams and dead endpoints."""

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
from lacewingcourse.core.pipelines.suspects import Grade, Suspects
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import EngineReport, StalledRequest, Unavailable
from lacewingcourse.relay.stall_watcher import (
    CHECK_PERIOD,
    CONCURRENT_PROBE_WINDOW,
    LATE_PROBE_TIMEOUT,
    SECOND_PROBE_DELAY,
    StallWatcher,
)
from lacewingcourse.relay.upstream import Stalled

from .network import Clock

#: Iterations of the event loop in which all probes are sent and answered.
LOOP_TURNS = 20
#: Start time of the endpoints that the watcher knows, Unix milliseconds.
STARTED_MS = 1_000


def path_of(*names: str) -> Path:
    """Return a path through endpoints."""
    parts = [Part(n, f"{n}:1", "east", Layers(i, i + 1)) for i, n in enumerate(names)]
    return Path(tuple(parts), 5.0)


class Reports:
    """Returns the same report for every endpoint, and records probes."""

    def __init__(self, found) -> None:
        self.found = found
        self.probed: list[str] = []

    async def report(self, address: str, timeout: float):
        self.probed.append(address)
        return self.found


def make_job(path: Path, may_move: bool = True):
    """Return a request with the attributes that the watcher uses."""
    current = SimpleNamespace(arrivals=asyncio.Queue())
    return SimpleNamespace(
        path=path,
        route=SimpleNamespace(max_event_gap=0.2, objective=0.5),
        may_move=may_move,
        current_exchange=current,
        avoid=set(),
        watched=None,
    )


@pytest.fixture
def make_watcher(events):
    """Return a function that makes a watcher that records its suspicions."""

    def make(found, idle=False, unused=None):
        suspects = Suspects()

        def on_suspect(endpoints, reason, grade):
            for endpoint in endpoints:
                suspects.suspect(endpoint, reason, 0.0, silent=True, grade=grade)

        finder = SimpleNamespace(
            is_idle=lambda job, avoid: idle, unused_address=lambda besides: unused
        )
        log = SimpleNamespace(log_event=lambda event, **fields: events.append(event))
        return StallWatcher(
            Reports(found),
            suspects,
            SpeedEstimator(),
            finder,
            Clock(),
            log,
            on_suspect,
            lambda name, born: born > STARTED_MS,
        )

    return make


@pytest.fixture
def events():
    """Return the events that the watcher logged."""
    return []


def check_after_silence(watcher, job, now):
    """Watch a stream that is silent from 0 until a time, and run one check then."""
    if isinstance(watcher.clock, Clock):
        watcher.clock.now = now

    async def run():
        watcher.begin(job, 0.0)
        watcher.progress(job, 0.0)
        watcher.check(now)
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())


def test_a_stream_moves_off_an_endpoint_that_a_report_names(make_watcher):
    watcher = make_watcher(EngineReport((StalledRequest("r", "b:1"),)))
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert isinstance(job.current_exchange.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"b"}
    assert watcher.suspects.excluded(0.1) == {"b"}


def test_a_stream_on_a_busy_path_stays(make_watcher):
    watcher = make_watcher(EngineReport())
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert watcher.reports.probed == ["a:1", "b:1"]
    assert job.current_exchange.arrivals.empty()
    assert watcher.suspects.excluded(0.1) == set()


def test_a_first_endpoint_that_does_not_respond_is_avoided(make_watcher):
    watcher = make_watcher(None)
    watcher.reports = OneDead("a:1")
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert job.avoid == {"a"}


def test_no_endpoint_is_declared_dead_while_none_responds(make_watcher, events):
    """Guards against moving all streams while an entry's network link is saturated.

    A configuration version filled the link of a small entry for a tenth of a second.
    Events and responses to probes were queued behind it, so the entry declared every
    endpoint that it probed dead, reported that to the other entries, and moved all
    streams until no retry was left. Responses were broken off, although nearly all of
    these endpoints were alive: streams ran through them before and after.
    """
    watcher = make_watcher(Unavailable("timed out"))
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert {"a:1", "b:1"} <= set(watcher.reports.probed)
    assert watcher.suspects.excluded(0.2) == set()
    assert job.current_exchange.arrivals.empty()
    assert set(events) == {"not_suspected"}


def test_a_response_to_a_later_probe_does_not_count_for_an_earlier_one(make_watcher):
    """The link was free again when the other endpoint was probed."""
    watcher = make_watcher(Unavailable("timed out"))
    job = make_job(path_of("a"))
    later = 0.2 + SECOND_PROBE_DELAY + 2 * CONCURRENT_PROBE_WINDOW
    watcher.answered_probe_at["c:1"] = later
    check_after_silence(watcher, job, 0.2)
    assert watcher.reports.probed == ["a:1"] * 3
    assert watcher.suspects.excluded(0.2) == {"a"}


def test_an_endpoint_probed_alone_is_compared_with_a_control(make_watcher):
    watcher = make_watcher(None, unused="c:1")
    watcher.reports = OneDead("a:1")
    job = make_job(path_of("a"))
    check_after_silence(watcher, job, 0.2)
    assert watcher.reports.probed == ["a:1", "a:1", "a:1", "c:1"]
    assert watcher.suspects.excluded(0.2) == {"a"}


def test_a_stream_stays_if_its_silence_is_not_due_to_the_dead_part(make_watcher):
    """A peer reported an endpoint as dead that other streams still use."""
    watcher = make_watcher(EngineReport())
    watcher.suspects.from_peer("b", 2.0, now=0.0, silent=True)
    silent, heard = make_job(path_of("a", "b")), make_job(path_of("c", "b"))

    async def run():
        watcher.begin(silent, 0.0)
        watcher.progress(silent, 0.0)
        watcher.begin(heard, 0.0)
        watcher.progress(heard, 0.19)
        watcher.check(0.2)

    asyncio.run(run())
    assert silent.current_exchange.arrivals.empty()


def test_a_silent_stream_moves_at_once_when_a_peer_reported_the_cause(make_watcher):
    watcher = make_watcher(EngineReport())
    watcher.suspects.from_peer("b", 2.0, now=0.0, silent=True)
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert watcher.reports.probed == []
    assert job.avoid == {"b"}


def test_a_stream_that_may_not_move_is_left_alone(make_watcher):
    watcher = make_watcher(EngineReport((StalledRequest("r", "b:1"),)))
    job = make_job(path_of("a", "b"), may_move=False)
    check_after_silence(watcher, job, 0.2)
    assert job.current_exchange.arrivals.empty()


class OneSilent:
    """One endpoint never responds to a probe, and all others do at once."""

    def __init__(self, dead: str) -> None:
        self.dead = dead
        self.probed: list[str] = []

    async def report(self, address: str, timeout: float):
        self.probed.append(address)
        if address == self.dead:
            await asyncio.Event().wait()
        return EngineReport()


def silence_two_streams(watcher):
    """Let two of three streams fall silent for 0.2 seconds; return their requests.

    The endpoint on both their paths does not respond to the first probe.
    """
    watcher.reports = OneSilent("x:1")
    paths = [path_of("a", "x"), path_of("b", "x"), path_of("c")]
    jobs = [make_job(path) for path in paths]

    async def run():
        times = iter([0.0])
        watcher.clock = lambda: next(times, SECOND_PROBE_DELAY)
        for job in jobs:
            watcher.begin(job, -0.2)
            watcher.progress(job, -0.2)
        watcher.progress(jobs[2], -0.01)
        watcher.check(0.0)
        while watcher.reports.probed.count("x:1") < 2:
            await asyncio.sleep(0.001)

    asyncio.run(run())
    assert watcher.suspects.excluded(0.1) == set()
    return jobs[:2]


def test_streams_move_early_on_an_idle_fleet(make_watcher):
    first, second = silence_two_streams(make_watcher(EngineReport(), idle=True))
    assert (first.avoid, second.avoid) == ({"x"}, {"x"})
    assert isinstance(first.current_exchange.arrivals.get_nowait(), Stalled)


def test_streams_do_not_move_early_on_a_busy_fleet(make_watcher):
    jobs = silence_two_streams(make_watcher(EngineReport(), idle=False))
    assert all(job.current_exchange.arrivals.empty() for job in jobs)


def test_streams_move_off_a_restarted_endpoint(make_watcher):
    watcher = make_watcher(EngineReport(born=STARTED_MS + 1))
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert isinstance(job.current_exchange.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"a"}
    assert watcher.suspects.excluded(0.1) == set()


def test_an_endpoint_whose_report_cannot_be_read_is_not_declared_dead(
    make_watcher, events
):
    watcher = make_watcher(Undecodable("no JSON"))
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert job.current_exchange.arrivals.empty()
    assert watcher.suspects.excluded(0.1) == set()
    assert events == ["report_unreadable"] * 2


class OneDead:
    """One endpoint is unavailable to probes, and all others respond."""

    def __init__(self, dead: str) -> None:
        self.dead = dead
        self.probed: list[str] = []

    async def report(self, address: str, timeout: float):
        self.probed.append(address)
        await asyncio.sleep(0)
        return Unavailable("refused") if address == self.dead else EngineReport()


def test_a_dead_part_in_the_middle_of_a_path_is_found_by_probing_it(make_watcher):
    watcher = make_watcher(None)
    watcher.reports = OneDead("b:1")
    job = make_job(path_of("a", "b", "c"))
    check_after_silence(watcher, job, 0.13)
    assert isinstance(job.current_exchange.arrivals.get_nowait(), Stalled)
    assert job.avoid == {"b"}
    assert watcher.suspects.excluded(0.2) == {"b"}


def test_an_endpoint_that_answers_the_second_probe_is_alive(make_watcher):
    watcher = make_watcher(None)
    answers = [Unavailable("reset"), EngineReport()]

    async def report(address: str, timeout: float):
        return answers.pop(0)

    watcher.reports = SimpleNamespace(report=report)
    job = make_job(path_of("a"))
    check_after_silence(watcher, job, 0.13)
    assert answers == []
    assert job.current_exchange.arrivals.empty()
    assert watcher.suspects.excluded(0.2) == set()


def test_no_endpoint_is_declared_dead_after_the_event_loop_was_held_up(make_watcher):
    watcher = make_watcher(Unavailable("timed out"))
    times = iter([0.0, 5.0])
    watcher.clock = lambda: next(times)
    job = make_job(path_of("a"))
    check_after_silence(watcher, job, 0.13)
    assert job.current_exchange.arrivals.empty()
    assert watcher.suspects.excluded(0.2) == set()


def test_the_pace_that_an_endpoint_reports_is_recorded(make_watcher):
    watcher = make_watcher(EngineReport(slowdown=5.0))
    job = make_job(path_of("a"))
    check_after_silence(watcher, job, 0.13)
    assert watcher.speeds.slowdown("a", 0.1) == 5.0
    assert job.current_exchange.arrivals.empty()


def test_a_slow_endpoint_is_probed_again_while_streams_use_it(make_watcher):
    watcher = make_watcher(EngineReport(slowdown=5.0))
    watcher.speeds.update("a", 5.0, now=0.0)
    job = make_job(path_of("a", "b"))
    later = ESTIMATE_TTL - REFRESH_MARGIN + 0.1

    async def run():
        watcher.begin(job, later)
        watcher.progress(job, later)
        watcher.check(later)
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert watcher.reports.probed == ["a:1"]


def test_an_endpoint_that_is_already_excluded_is_not_probed(make_watcher):
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
        watcher.check(0.2)
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    asyncio.run(run())
    assert "x:1" not in watcher.reports.probed


def test_an_endpoint_that_only_takes_no_new_work_is_probed_before_streams_move(
    make_watcher,
):
    """Responses were broken off when a server on their path was ordered to move."""
    watcher = make_watcher(EngineReport())
    watcher.suspects.suspect("b", "ordered to move", 0.0)
    job = make_job(path_of("a", "b"))
    check_after_silence(watcher, job, 0.2)
    assert watcher.reports.probed == ["a:1", "b:1"]
    assert job.current_exchange.arrivals.empty()
    assert job.avoid == set()


class LateReports:
    """Endpoints that respond after some seconds, one of them only.

    Attributes:
        late: Address of the endpoint that responds late.
        delay: Seconds after which it responds.
        slowdown: Slowdown that it reports.
        probed: Addresses of the probes.
    """

    def __init__(self, late: str, delay: float, slowdown: float = 12.0) -> None:
        self.late = late
        self.delay = delay
        self.slowdown = slowdown
        self.probed: list[str] = []

    async def report(self, address: str, timeout: float):
        self.probed.append(address)
        if address != self.late:
            return EngineReport()
        await asyncio.sleep(min(self.delay, timeout))
        if self.delay > timeout:
            return Unavailable("Operation timed out", connected=True)
        return EngineReport(slowdown=self.slowdown)


@pytest.fixture
def probe_for(make_watcher):
    """Return a function that probes a silent path for some seconds."""

    def run(reports, seconds, slow=False):
        watcher = make_watcher(EngineReport())
        watcher.reports = reports
        job = make_job(path_of("a", "b"), may_move=False)

        async def check():
            loop = asyncio.get_running_loop()
            watcher.clock = loop.time
            began = loop.time()
            if slow:
                watcher.speeds.update("b", 12.0, began)
            watcher.begin(job, began - 0.5)
            watcher.progress(job, began - 0.5)
            while loop.time() < began + seconds:
                watcher.check(loop.time())
                await asyncio.sleep(CHECK_PERIOD)

        asyncio.run(check())
        return watcher

    return run


def test_a_slow_endpoint_is_not_suspected_for_a_late_report(probe_for):
    """Guards against engines that run twelve times slower being taken for lost."""
    watcher = probe_for(LateReports("b:1", 0.1), 0.4, slow=True)
    assert watcher.suspects.members == {}


def test_a_late_report_shows_that_a_suspected_endpoint_is_slow(probe_for, events):
    reports = LateReports("b:1", 0.1)
    watcher = probe_for(reports, 0.3)
    assert watcher.suspects.members["b"].grade is Grade.SLOW
    assert watcher.speeds.estimates["b"].factor == 12.0
    assert "late_report" in events


def test_a_late_report_of_a_restart_moves_the_streams(make_watcher):
    watcher = make_watcher(EngineReport())

    async def report(address: str, timeout: float):
        if address == "b:1":
            await asyncio.sleep(0.1)
            return EngineReport(born=STARTED_MS + 1)
        return EngineReport()

    watcher.reports = SimpleNamespace(report=report)
    job = make_job(path_of("a", "b"))

    async def run():
        watcher.clock = asyncio.get_running_loop().time
        watcher.begin(job, watcher.clock())
        second = asyncio.ensure_future(watcher._fetch_report("b:1"))
        await watcher._await_late_report(job.path.parts[1], second)

    asyncio.run(run())
    assert job.avoid == {"b"}


@pytest.mark.parametrize("slow", [True, False], ids=["known as slow", "not known"])
def test_probes_of_an_endpoint_that_does_not_respond_do_not_pile_up(probe_for, slow):
    """At most three probes for each timeout are sent, as before the second opinion."""
    reports = LateReports("b:1", 9.0)
    probe_for(reports, 1.0, slow=slow)
    periods = 1.0 / (LATE_PROBE_TIMEOUT + SECOND_PROBE_DELAY)
    assert reports.probed.count("b:1") <= 3 * (periods + 1)


@pytest.mark.parametrize(
    ("found", "grade"),
    [
        (Unavailable("timed out", connected=True), Grade.SLOW),
        (Unavailable("no connection"), Grade.DOUBTFUL),
        (Unavailable("refused", refused=True), Grade.GONE),
    ],
    ids=["connected", "no connection", "refused"],
)
def test_the_grade_of_a_suspicion_follows_from_the_failed_probe(
    make_watcher, found, grade
):
    watcher = make_watcher(EngineReport())

    async def report(address: str, timeout: float):
        return found if address == "b:1" else EngineReport()

    watcher.reports = SimpleNamespace(report=report)
    check_after_silence(watcher, make_job(path_of("a", "b")), 0.2)
    assert watcher.suspects.members["b"].grade is grade


def test_an_endpoint_that_is_only_named_by_another_is_doubtful(make_watcher):
    watcher = make_watcher(EngineReport((StalledRequest("r", "b:1"),)))
    check_after_silence(watcher, make_job(path_of("a", "b")), 0.2)
    assert watcher.suspects.members["b"].grade is Grade.DOUBTFUL
