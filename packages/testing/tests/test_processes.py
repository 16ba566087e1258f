"""Tests of what starts processes for tests."""

from __future__ import annotations

from lacewingcourse.testing.processes import PORT_RANGE, free_ports, port_range


def ports_of(worker: int, count: int) -> range:
    """Return the ports of a test runner beside others."""
    environment = {
        "PYTEST_XDIST_WORKER": f"gw{worker}",
        "PYTEST_XDIST_WORKER_COUNT": str(count),
    }
    return port_range(environment)


def test_a_runner_alone_takes_any_port():
    assert port_range({}) == range(*PORT_RANGE)


def test_runners_beside_one_another_share_no_port():
    taken = [port for worker in range(4) for port in ports_of(worker, 4)]
    assert len(set(taken)) == len(taken)
    assert min(taken) == PORT_RANGE[0]
    assert max(taken) < PORT_RANGE[1]


def test_no_port_is_given_twice():
    """A process that was given one may not listen on it yet."""
    given = [port for _ in range(40) for port in free_ports(20)]
    assert len(set(given)) == len(given)
