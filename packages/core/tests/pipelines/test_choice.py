"""Tests of the choice of a path or endpoint for a request."""

from __future__ import annotations

from collections import deque

import attrs
import pytest

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.choice import (
    MAX_MEMORY_SHARE,
    MAX_MEMORY_SHARE_RESUMED,
    PATH_SAMPLE_SIZE,
    Demand,
    PathChooser,
    choose_endpoint,
)
from lacewingcourse.core.pipelines.links import LinkUsage
from lacewingcourse.core.pipelines.load import Load, LoadTable
from lacewingcourse.core.pipelines.path import candidate_paths

from .conftest import make_endpoint, make_five_zone_fleet, placed

DEMAND = Demand(774, 203)


def make_chooser(fleet, shape):
    """Return a path chooser over an idle fleet."""
    return PathChooser(shape, {e.id: e for e in fleet}, LoadTable(), LinkUsage())


def fill(chooser, paths, rng):
    """Add requests until one is refused; return their paths and the refusal."""
    taken = []
    while True:
        path = chooser.choose(paths, DEMAND, (), rng, 0.0)
        if isinstance(path, Refusal):
            return taken, path
        chooser.loads.begin(path, DEMAND.tokens)
        taken.append(path)


def test_no_part_is_filled_beyond_its_share(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    taken, refusal = fill(chooser, candidate_paths(fleet, shape), rng)
    assert refusal.kind is ErrorKind.OVERLOADED
    for endpoint in fleet:
        kind = shape.accelerators[endpoint.accelerator]
        kv_capacity = shape.kv_capacity(kind, len(endpoint.layers))
        assert (
            chooser.loads.get(endpoint.id).token_layers
            <= kv_capacity * MAX_MEMORY_SHARE
        )
    assert len(taken) > 100


def test_a_resumed_stream_may_use_the_memory_kept_free(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    fill(chooser, paths, rng)
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, MAX_MEMORY_SHARE_RESUMED)
    assert not isinstance(found, Refusal)


def test_requests_spread_over_many_endpoints_before_one_is_full(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    for _ in range(60):
        chooser.loads.begin(chooser.choose(paths, DEMAND, (), rng, 0.0), DEMAND.tokens)
    fastest = chooser.loads.get(paths[0].first.endpoint)
    assert 0 < fastest.requests < 40


def test_avoided_endpoints_are_not_used(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    avoid = {part.endpoint for part in paths[0].parts}
    assert not chooser.choose(paths, DEMAND, avoid, rng, 0.0).uses(avoid)


def test_the_first_part_takes_no_more_requests_than_its_slots(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    path, *_ = candidate_paths(fleet, shape)
    chooser.loads.from_peer("b", {path.first.endpoint: Load(0, shape.slots, 0)}, 0.0)
    assert not chooser.fits(path, DEMAND, 0.0)


def test_peer_loads_count_until_they_expire(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    full = {e.id: Load(90, 0, 1e12) for e in fleet}
    chooser.loads.from_peer("b", full, now=0.0)
    assert isinstance(chooser.choose(paths, DEMAND, (), rng, 0.0), Refusal)
    chooser.loads.expire(now=10.0)
    assert not isinstance(chooser.choose(paths, DEMAND, (), rng, 0.0), Refusal)


class CountingLoads:
    """A load table that counts the look-ups of first endpoints, one for each path."""

    def __init__(self) -> None:
        self.loads, self.lookups = LoadTable(), 0

    def get(self, endpoint):
        self.lookups += 1
        return self.loads.get(endpoint)

    @property
    def sums(self):
        return self.loads.sums


def test_a_request_compares_a_sample_of_the_paths(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    chooser.loads = CountingLoads()
    paths = candidate_paths(fleet, shape)
    assert len(paths) > PATH_SAMPLE_SIZE
    chooser.choose(paths, DEMAND, (), rng, 0.0)
    assert chooser.loads.lookups == PATH_SAMPLE_SIZE


def send_requests(chooser, paths, rng, requests, running):
    """Send requests, some at a time, and return the number of new connections.

    A connection is closed after it was idle for 8 requests.
    """
    idle, busy, connections_made = {}, deque(), 0
    for number in range(requests):
        if len(busy) >= running:
            ended = busy.popleft()
            chooser.loads.end(ended, DEMAND.tokens)
            idle[ended.first.address] = number
        connected = {address for address, since in idle.items() if number - since < 8}
        path = chooser.choose(paths, DEMAND, (), rng, 0.0, connected=connected)
        chooser.loads.begin(path, DEMAND.tokens)
        busy.append(path)
        connections_made += path.first.address not in connected
        idle.pop(path.first.address, None)
    return connections_made


def test_paths_with_an_idle_connection_are_preferred(shape, rng):
    """Guards against choosing among many endpoints without regard to connections.

    Each endpoint was then chosen only after its last connection had been closed.
    """
    many = placed(make_five_zone_fleet(), shape)
    paths = candidate_paths(many, shape)
    connections_made = send_requests(
        make_chooser(many, shape), paths, rng, requests=200, running=6
    )
    assert connections_made <= 3 * 6


def test_a_much_fuller_path_is_not_chosen_for_its_connection(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    for _ in range(3):
        fill(chooser, paths[:1], rng)
    connected = {paths[0].first.address}
    found = chooser.choose(paths, DEMAND, (), rng, 0.0, 2.0, connected)
    assert found.first != paths[0].first


def test_all_paths_are_compared_if_no_sampled_one_fits(fleet, shape, rng):
    chooser = make_chooser(fleet, shape)
    paths = candidate_paths(fleet, shape)
    free = {part.endpoint for part in paths[-1].parts}
    full = {e.id: Load(90, 0, 1e12) for e in fleet if e.id not in free}
    chooser.loads.from_peer("b", full, now=0.0)
    for _ in range(20):
        assert not isinstance(chooser.choose(paths, DEMAND, (), rng, 0.0), Refusal)


def test_choosing_from_a_sample_serves_nearly_as_much_as_from_all(fleet, shape, rng):
    """Sampling may cost at most a twentieth of the rate of comparing all candidates."""
    paths = candidate_paths(fleet, shape)
    rates = []
    for sample_size in (len(paths), PATH_SAMPLE_SIZE):
        chooser = make_chooser(fleet, shape)
        chooser.sample_size = sample_size
        taken, _ = fill(chooser, paths, rng)
        times = [chooser.predicted_ms(path, DEMAND, 0.0) for path in taken]
        rates.append(sum(1000.0 / time for time in times))
    assert rates[1] >= 0.95 * rates[0]


def test_the_sums_of_loads_follow_each_change(fleet, shape):
    loads = LoadTable()
    path, *_ = candidate_paths(fleet, shape)
    first = path.first.endpoint
    loads.begin(path, 900)
    loads.from_peer("b", {first: Load(2, 1, 50.0)}, now=0.0)
    loads.from_peer("b", {first: Load(3, 1, 70.0)}, now=1.0)
    token_layers = 900 * len(path.first.layers)
    assert loads.get(first) == Load(4, 2, token_layers + 70.0)
    loads.end(path, 900)
    assert loads.get(first) == Load(3, 1, 70.0)
    loads.expire(now=10.0)
    assert loads.sums == {}


@pytest.mark.parametrize("count", [0, 1, 3, 4])
def test_total_counts_only_the_included_peers(fleet, shape, count):
    loads = LoadTable()
    paths = candidate_paths(fleet, shape)
    loads.begin(paths[0], 900)
    first = paths[0].first.endpoint
    for number in range(4):
        loads.from_peer(str(number), {first: Load(number, 0, 10.0)}, now=0.0)
    found = loads.total(lambda peer: int(peer) < count)
    token_layers = 900 * len(paths[0].first.layers)
    assert found[first] == Load(1 + sum(range(count)), 1, token_layers + 10.0 * count)
    assert set(found) == {part.endpoint for part in paths[0].parts}


def test_an_ended_request_leaves_no_load(fleet, shape):
    loads = LoadTable()
    path, *_ = candidate_paths(fleet, shape)
    loads.begin(path, 900)
    loads.end(path, 900)
    assert loads.own == {}


def test_a_call_goes_to_the_endpoint_with_the_smallest_share_of_slots_in_use(rng):
    endpoints = [attrs.evolve(make_endpoint(f"e{i}", ""), slots=4) for i in range(3)]
    loads = LoadTable()
    loads.begin_call("e0")
    loads.begin_call("e1")
    assert choose_endpoint(endpoints, loads, "east", (), rng).id == "e2"


def test_calls_stay_in_the_zone_among_equals(rng):
    endpoints = [make_endpoint(f"e{z}", "", z) for z in ("east", "west")]
    for _ in range(10):
        assert choose_endpoint(endpoints, LoadTable(), "west", (), rng).zone == "west"


def test_calls_are_refused_when_every_endpoint_has_a_queue(rng):
    endpoints = [attrs.evolve(make_endpoint("e0", ""), slots=2)]
    loads = LoadTable()
    for _ in range(4):
        loads.begin_call("e0")
    found = choose_endpoint(endpoints, loads, "east", (), rng)
    assert found.kind is ErrorKind.OVERLOADED
