"""Leases, fencing and orders with real processes."""

from __future__ import annotations

import asyncio
from urllib.error import HTTPError

import pytest

from lacewingcourse.agent.engine import EngineOrder
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.messages import Order, OrderAction, OrderReply
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json
from lacewingcourse.wire import paths
from lacewingcourse.wire.client import PeerClient

#: Seconds after which a wait has failed.
GUARD = 30.0
DUTY = "placement"


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """Two entries that compete for the leases; one engine checks numbers itself."""
    return start_deployment(
        entries=2,
        endpoints=2,
        layers=4,
        entry_variables={"LACEWINGCOURSE_LEASE_DURATION": "1.5"},
        engine_arguments={"endpoint-1": ("--checks-fencing",)},
    )


def state(process) -> dict:
    return put_json(process.listen_url + "/state", None, "GET")


def held_number(entry) -> int | None:
    """Return the number under which an entry may act on placement, or None."""
    for lease in state(entry)["leases"]:
        if lease["duty"] == DUTY and lease["mine"]:
            return lease["number"]
    return None


def holder_of(entries):
    """Return the entry that may act, or None."""
    holders = [entry for entry in entries if held_number(entry) is not None]
    assert len(holders) <= 1
    return holders[0] if holders else None


def wait_for_holder(entries):
    wait_until(lambda: holder_of(entries) is not None, GUARD, "nobody holds the lease")
    return holder_of(entries)


def engine_orders(pair) -> list[dict]:
    return put_json(pair.engine.listen_url + "/engine/orders", None, "GET")["orders"]


def last_role(pair) -> str | None:
    """Return the role that an engine was ordered to take last, None before that."""
    orders = engine_orders(pair)
    return orders[-1]["role"] if orders else None


def post(deployment, pair, order: Order) -> OrderReply:
    async def call():
        peers = PeerClient(deployment.shared_secret, "test")
        return await peers.send(
            pair.agent.listen_url, paths.ORDER, order, OrderReply, 10.0
        )

    return asyncio.run(call())


def order(pair, number: int, name: str, incarnation: str = "") -> Order:
    known = incarnation or state(pair.agent)["incarnation"]
    return Order(DUTY, number, known, name, OrderAction.ROLE, role=name)


def wait_for_fence(deployment, pair, number: int) -> None:
    """Wait until an agent refuses numbers below one."""
    wait_until(
        lambda: post(deployment, pair, order(pair, number - 1, "probe")).kind
        is ErrorKind.STALE_FENCING,
        GUARD,
        "the agent does not know the number",
    )


def test_paused_holders_order_is_refused_after_its_lapse(deployment):
    first = wait_for_holder(deployment.entries)
    old = held_number(first)
    other = next(entry for entry in deployment.entries if entry is not first)
    pair = deployment.endpoints[1]
    first.pause()
    try:
        wait_until(lambda: held_number(other) is not None, GUARD, "nobody took over")
        new = held_number(other)
        assert new > old
        wait_for_fence(deployment, pair, new)
        before = engine_orders(pair)
        reply = post(deployment, pair, order(pair, old, "late"))
        assert reply.kind is ErrorKind.STALE_FENCING
        assert engine_orders(pair) == before
    finally:
        first.resume()
    wait_until(lambda: held_number(first) is None, GUARD, "the old holder acts")
    assert held_number(other) in (new, None)


def test_restarted_agent_learns_the_number_before_any_order(deployment):
    holder = wait_for_holder(deployment.entries)
    number = held_number(holder)
    log = deployment.platform["log_service"]
    for pair in deployment.endpoints:
        put_json(log.url + "/faults", b'{"down": true}')
        try:
            pair.agent.kill()
            pair.agent.start()
            wait_until(pair.agent.ready, GUARD, "the agent is not ready")
            reply = post(deployment, pair, order(pair, number, "early"))
            assert reply.kind is ErrorKind.NOT_READY
            assert reply.retry_after is not None
        finally:
            put_json(log.url + "/faults", b'{"down": false}')
        wait_for_fence(deployment, pair, number)
    wait_for_holder(deployment.entries)


def test_lease_lapses_while_the_log_is_down_and_returns_with_it(deployment):
    holder = wait_for_holder(deployment.entries)
    number = held_number(holder)
    log = deployment.platform["log_service"]
    put_json(log.url + "/faults", b'{"down": true}')
    try:
        wait_until(
            lambda: holder_of(deployment.entries) is None, GUARD, "the lease goes on"
        )
    finally:
        put_json(log.url + "/faults", b'{"down": false}')
    assert held_number(wait_for_holder(deployment.entries)) >= number


def test_lost_answers_of_the_log_do_not_lose_the_lease(deployment):
    log = deployment.platform["log_service"]
    put_json(log.url + "/faults", b'{"lose_answers": 5}')
    wait_until(
        lambda: put_json(log.url + "/faults", None, "GET")["lose_answers"] == 0,
        GUARD,
        "no answers were lost",
    )
    wait_for_holder(deployment.entries)


def test_engines_get_orders_in_order_of_their_numbers(deployment):
    for pair in deployment.endpoints:
        wait_for_fence(deployment, pair, 1)
        incarnation = state(pair.agent)["incarnation"]
        base = 10**9
        for number in (base, base + 2, base + 1, base, base + 3):
            message = order(pair, number, f"role-{number}", incarnation)
            wait_until(
                lambda: post(deployment, pair, message).kind
                is not ErrorKind.OVERLOADED,
                GUARD,
                "the agent is busy",
            )
        wait_until(
            lambda: engine_orders(pair)[-1]["number"] == base + 3, GUARD, "no order"
        )
        numbers = [each["number"] for each in engine_orders(pair)]
        assert numbers == sorted(numbers)
        assert base + 1 not in numbers


def test_only_the_engine_that_checks_refuses_an_order_past_its_agent(deployment):
    checking, ignoring = deployment.endpoints
    direct = EngineOrder(0, "past the agent", "role", role="x")
    for pair in deployment.endpoints:
        post(deployment, pair, order(pair, 2 * 10**9, "last"))
        wait_until(lambda: last_role(pair) == "last", GUARD, "no order")
    with pytest.raises(HTTPError, match="409"):
        put_json(checking.engine.listen_url + "/engine/orders", direct, "POST")
    put_json(ignoring.engine.listen_url + "/engine/orders", direct, "POST")
