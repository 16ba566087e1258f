"""Tests of the prediction of streams, and of choices within limits of time."""

from __future__ import annotations

import random

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.admission_queue import WAIT_POLICIES, latest_start
from lacewingcourse.core.pipelines.choice import (
    NEVER_IN_TIME,
    NONE_IN_TIME,
    Demand,
    PathChooser,
)
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import Load, LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.prediction import TimeLimits
from lacewingcourse.core.pipelines.running_streams import RunningStreams
from lacewingcourse.core.pipelines.time_ratios import (
    MAX_RATIO,
    MIN_SAMPLES,
    SAMPLE_TTL,
    UNLEARNED_ALLOWANCE,
    TimeRatios,
)

from .conftest import make_shape

DEMAND = Demand(774, 203)
#: Limits that any stream keeps on an idle path, and limits that none keeps.
WIDE = TimeLimits("rooms", 0.5, 0.25)
IMPOSSIBLE = TimeLimits("rooms", 0.001, 0.25)
NO_LIMIT = float("inf")


@pytest.fixture
def shape():
    """Figures of engines that write five tokens in a pass and read 256 in a step."""
    return make_shape(event_tokens=5, chunk_tokens=256, token_bytes=300_000)


@pytest.fixture
def chooser(fleet, shape):
    """A chooser over an idle fleet."""
    return PathChooser(shape, {e.id: e for e in fleet}, LoadTable(), LinkUsage())


@pytest.fixture
def paths(fleet, shape):
    """The candidate paths."""
    return candidate_paths(fleet, shape)


def load_all(chooser, fleet, requests):
    """Put requests of a peer on every endpoint; they take no memory."""
    loads = {endpoint.id: Load(requests, 1, 0.0) for endpoint in fleet}
    chooser.loads.from_peer("peer", loads, 0.0)


def start(chooser, paths, rng, limits, count):
    """Start streams; return their paths."""
    taken = []
    for _ in range(count):
        path = chooser.choose(paths, DEMAND, (), rng, 0.0, limits=limits)
        taken.append(path)
        if not isinstance(path, Refusal):
            chooser.loads.begin(path, DEMAND.tokens)
            chooser.running.begin(path, DEMAND.prompt_tokens, 0.25)
    return taken


@pytest.mark.parametrize("seed", range(5))
def test_with_room_to_spare_the_same_paths_are_chosen_as_without_limits(
    fleet, shape, paths, seed
):
    chosen = []
    for limits in (None, WIDE):
        chooser = PathChooser(
            shape, {e.id: e for e in fleet}, LoadTable(), LinkUsage(), sample_size=6
        )
        chosen.append(start(chooser, paths, random.Random(seed), limits, 40))
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize(
    ("limits", "kind", "reason"),
    [
        (WIDE, ErrorKind.OVERLOADED, NONE_IN_TIME),
        (IMPOSSIBLE, ErrorKind.DEADLINE_UNREACHABLE, NEVER_IN_TIME),
        (
            attrs.evolve(WIDE, max_event_gap=0.001),
            ErrorKind.DEADLINE_UNREACHABLE,
            NEVER_IN_TIME,
        ),
    ],
)
def test_a_stream_that_would_be_late_is_refused_while_there_is_memory(
    chooser, fleet, paths, rng, limits, kind, reason
):
    load_all(chooser, fleet, 2000)
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, limits=limits)
    assert (found.kind, found.reason) == (kind, reason)
    assert not isinstance(chooser.choose(paths, DEMAND, (), rng, 0.0), Refusal)


def test_a_stream_that_cannot_be_in_time_on_slow_endpoints_is_refused_as_unreachable(
    chooser, fleet, paths, rng
):
    for endpoint in fleet:
        chooser.speeds.update(endpoint.id, 50.0, 0.0)
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, limits=WIDE)
    assert found.kind is ErrorKind.DEADLINE_UNREACHABLE


def test_a_stream_that_arrives_late_takes_room_as_without_limits(chooser, paths, rng):
    overdue = attrs.evolve(WIDE, elapsed=0.6)
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, limits=overdue)
    assert not isinstance(found, Refusal)


def test_a_route_without_limits_is_not_refused_for_time(chooser, fleet, paths, rng):
    load_all(chooser, fleet, 2000)
    limits = TimeLimits("rooms", NO_LIMIT, NO_LIMIT)
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, limits=limits)
    assert not isinstance(found, Refusal)


def test_predicted_times_grow_with_loads_prompts_being_read_and_slowdowns(
    chooser, paths
):
    path = paths[0]

    def predict():
        return chooser.predictor.predict(path, DEMAND, "rooms", 0.0)

    idle = predict()
    first, pause = chooser.predictor.idle_times(path, DEMAND, 0.0)
    assert (idle.first_event, idle.pause) == pytest.approx((first, pause))
    chooser.loads.begin(path, DEMAND.tokens)
    loaded = predict()
    stream = chooser.running.begin(path, 10_000, 0.25)
    reading = predict()
    chooser.running.record_first_event(stream)
    assert predict().first_event == pytest.approx(loaded.first_event)
    chooser.speeds.update(path.first.endpoint, 10.0, 0.0)
    slow = predict()
    assert idle.first_event < loaded.first_event < reading.first_event
    assert idle.pause < loaded.pause == pytest.approx(reading.pause)
    assert slow.pause > loaded.pause and slow.first_event > loaded.first_event


def test_a_start_that_makes_a_running_stream_late_is_refused(chooser, paths):
    path = paths[0]
    chooser.loads.begin(path, DEMAND.tokens)
    alone = chooser.predictor.predict(path, DEMAND, "rooms", 0.0).pause
    stream = chooser.running.begin(path, DEMAND.prompt_tokens, alone)
    chooser.running.record_first_event(stream)
    large = Demand(20_000, 200)
    limits = attrs.evolve(WIDE, objective=NO_LIMIT)
    found = chooser.predictor.predict(path, large, "rooms", 0.0)
    assert found.makes_late and found.others_pause > alone * UNLEARNED_ALLOWANCE
    assert not chooser.predictor.is_in_time(path, large, limits, 0.0)
    # One that is late without it is no reason to refuse.
    stream.max_event_gap = alone / 10
    assert chooser.predictor.is_in_time(path, large, limits, 0.0)
    chooser.running.end(stream)
    assert chooser.predictor.is_in_time(path, large, limits, 0.0)


def test_running_streams_leave_nothing_behind(paths):
    running = RunningStreams()
    streams = [running.begin(path, 100, 1.0) for path in (paths[0], paths[0], paths[1])]
    running.record_first_event(streams[0])
    for stream in streams:
        running.end(stream)
    assert not running.by_endpoint and not running.reading_tokens


def test_a_path_whose_endpoints_have_left_does_not_stop_predictions(chooser, paths):
    stream_path, path = paths[0], paths[0]
    chooser.running.begin(stream_path, 100, 0.25)
    gone = chooser.endpoints[stream_path.first.endpoint]
    unknown = attrs.evolve(gone, accelerator="removed")
    chooser.endpoints[gone.id] = unknown
    assert chooser.predictor.predict(path, DEMAND, "rooms", 0.0).first_event > 0
    del chooser.endpoints[gone.id]
    chooser.costs_by_path.clear()
    assert chooser.predictor.predict(path, DEMAND, "rooms", 0.0).first_event > 0


def learn(ratios, ratio, now=0.0, count=MIN_SAMPLES):
    """Record equal ratios of both kinds."""
    for _ in range(count):
        ratios.record_first_event("rooms", 0.1, 0.1 * ratio, now)
        ratios.record_pause("rooms", 0.1, 0.1 * ratio, now)


def test_learned_ratios_scale_predictions_and_fade_without_samples(chooser, paths):
    def first_event(now):
        return chooser.predictor.predict(paths[0], DEMAND, "rooms", now).first_event

    published = first_event(0.0)
    learn(chooser.ratios, 2.0, count=MIN_SAMPLES - 1)
    assert first_event(0.0) == published
    learn(chooser.ratios, 2.0, count=1)
    assert first_event(0.0) == pytest.approx(2 * published)
    assert published < first_event(SAMPLE_TTL / 2) < 2 * published
    assert first_event(SAMPLE_TTL) == published
    assert chooser.ratios.first_event("rooms").allowance(SAMPLE_TTL) > 1.2


def test_a_prediction_tells_what_follows_from_the_published_figures_alone(
    chooser, paths
):
    published = chooser.predictor.predict(paths[0], DEMAND, "rooms", 0.0)
    learn(chooser.ratios, 2.0)
    found = chooser.predictor.predict(paths[0], DEMAND, "rooms", 0.0)
    assert found.pause == pytest.approx(2 * published.pause)
    assert found.published_pause == pytest.approx(published.pause)
    assert found.published_first_event == pytest.approx(published.first_event)


def test_what_was_learned_never_keeps_streams_from_idle_paths(chooser, paths, rng):
    path = paths[0]
    first, _ = chooser.predictor.idle_times(path, DEMAND, 0.0)
    learn(chooser.ratios, 100.0)
    assert chooser.ratios.first_event("rooms").ratio(0.0) == MAX_RATIO
    tight = TimeLimits("rooms", first * 1.2, 0.25)
    assert chooser.predictor.is_in_time(path, DEMAND, tight, 0.0)
    chooser.loads.begin(path, DEMAND.tokens)
    assert not chooser.predictor.is_in_time(path, DEMAND, tight, 0.0)


@pytest.mark.parametrize(
    "absurd", [float("nan"), float("inf"), -float("inf"), -1.0, 0.0, 1e12]
)
def test_absurd_samples_change_nothing(absurd):
    ratios = TimeRatios()
    for _ in range(2 * MIN_SAMPLES):
        assert ratios.record_first_event("rooms", 0.1, absurd, 0.0) is None
        assert ratios.record_pause("rooms", absurd, 0.1, 0.0) is None
    assert ratios == TimeRatios()


@pytest.mark.parametrize(
    ("idle", "expected"),
    [(0.1, 10.9), (0.8, 10.5), (None, 10.5), (float("nan"), 10.5), (-1.0, 10.5)],
)
def test_the_latest_start_leaves_the_time_of_an_idle_path(idle, expected):
    assert latest_start(10.0, 1.0, idle) == pytest.approx(expected)
    policy = WAIT_POLICIES.get("latest_start")
    assert policy(10.0, 1.0, idle) == pytest.approx(expected)
    assert policy(10.0, 1.0) == 10.5
