"""The fault proxy before real processes."""

from __future__ import annotations

import json
import threading
from urllib.error import URLError
from urllib.request import Request, urlopen

import pytest

from lacewingcourse.testing.caller import complete
from lacewingcourse.testing.deployment import MODEL
from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.standins.model import expected_text

#: Guard on what a test waits for, in seconds.
TIMEOUT = 30.0


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """A deployment whose endpoints stand behind the fault proxy."""
    return start_deployment(
        entries=2, endpoints=2, proxied=frozenset({"agent-*", "service-tally"})
    )


@pytest.fixture
def link(deployment):
    """The link before the plain service, without faults."""
    found = deployment.proxy("service-tally")
    found.clear()
    yield found
    found.clear()
    found.release()


def tally(deployment, key: str, timeout: float = TIMEOUT) -> int:
    """Send a tally through the proxy; return its number."""
    request = Request(
        deployment.service.engine.url + "/tallies",
        data=b"{}",
        headers={"Idempotency-Key": key},
    )
    with urlopen(request, timeout=timeout) as response:
        return json.load(response)["number"]


def runs(deployment, key: str) -> int:
    """Return how often a tally ran, asked without the proxy."""
    url = deployment.service.engine.listen_url + "/tallies"
    with urlopen(url, timeout=TIMEOUT) as response:
        tallies = json.load(response)["tallies"]
    return sum(each["key"] == key for each in tallies)


def test_duplicate_delivers_twice_and_answers_once(deployment, link):
    link.set(duplicate=1, match="^POST /tallies")
    assert tally(deployment, "twice") > 0
    wait_until(lambda: runs(deployment, "twice") == 2, TIMEOUT, "not doubled")
    tally(deployment, "once")
    assert runs(deployment, "once") == 1


def test_lost_answer_comes_after_the_effect(deployment, link):
    link.set(lose_answers=1, match="^POST")
    with pytest.raises((URLError, OSError)):
        tally(deployment, "lost-answer")
    assert runs(deployment, "lost-answer") == 1


def test_lost_request_has_no_effect(deployment, link):
    link.set(lose_requests=1, match="^POST")
    with pytest.raises((URLError, OSError)):
        tally(deployment, "lost-request")
    assert runs(deployment, "lost-request") == 0


def test_held_request_arrives_though_its_sender_left(deployment, link):
    link.set(hold=1, match="^POST")
    with pytest.raises((URLError, OSError)):
        tally(deployment, "late", timeout=0.2)
    link.wait_held()
    assert runs(deployment, "late") == 0
    assert link.release() == 1
    assert runs(deployment, "late") == 1


def test_held_requests_arrive_newest_first(deployment, link):
    link.set(hold=2, match="^POST")
    threads = []
    for count, key in enumerate(("older", "newer"), 1):
        threads.append(threading.Thread(target=tally, args=(deployment, key)))
        threads[-1].start()
        link.wait_held(count)
    assert link.release(newest_first=True) == 2
    for thread in threads:
        thread.join(TIMEOUT)
    url = deployment.service.engine.listen_url + "/tallies"
    with urlopen(url, timeout=TIMEOUT) as response:
        keys = [each["key"] for each in json.load(response)["tallies"]]
    assert keys.index("newer") < keys.index("older")


def test_copy_arrives_late_a_second_time(deployment, link):
    link.set(copy=1, match="^POST")
    tally(deployment, "copied")
    assert runs(deployment, "copied") == 1
    assert link.release() == 1
    assert runs(deployment, "copied") == 2


@pytest.mark.parametrize("fault", [{"cut": True}, {"half_open": True}])
def test_connection_faults_give_no_answer(deployment, link, fault):
    link.set(**fault)
    with pytest.raises((URLError, OSError)):
        tally(deployment, str(fault), timeout=0.2)
    link.clear()
    assert runs(deployment, str(fault)) == 0
    tally(deployment, str(fault))


def test_dropped_bytes_go_on_when_the_link_heals(deployment, link):
    link.set(drop="both")
    sender = threading.Thread(target=tally, args=(deployment, "dropped"))
    sender.start()
    wait_until(lambda: link.state()["connections"] > 0, TIMEOUT, "not connected")
    assert runs(deployment, "dropped") == 0
    link.set(drop="none")
    sender.join(TIMEOUT)
    assert runs(deployment, "dropped") == 1


def test_answer_is_whole_over_slow_links(deployment, run):
    for pair in deployment.endpoints:
        link = deployment.proxy(pair.agent.name)
        link.set(delay=0.002, bandwidth=10_000_000)
    key = deployment.keys["regie"]
    url = deployment.entries[0].url
    result = run(lambda http: complete(http, url, key, MODEL, "slow links", 20))
    layers = deployment.options.layers
    assert result.text == expected_text(MODEL, "1", layers, "slow links", 20)


def knows_tally(entry) -> bool:
    """Tell whether an entry takes the plain service's endpoint for ready."""
    with urlopen(entry.listen_url + "/state", timeout=TIMEOUT) as response:
        endpoints = json.load(response)["endpoints"]
    return any(each["id"] == "tally-1" and each["ready"] for each in endpoints)


def test_one_sender_is_cut_off_while_another_is_not(deployment):
    agent = deployment.proxy("agent-tally-1")
    cut_off, other = deployment.entries
    agent.set(lose_requests=-1, match="User-Agent: entry-1\r")
    wait_until(lambda: not knows_tally(cut_off), TIMEOUT, "entry-1 is not cut off")
    wait_until(lambda: knows_tally(other), TIMEOUT, "entry-2 is cut off")
    agent.clear()
    wait_until(lambda: knows_tally(cut_off), TIMEOUT, "entry-1 stays cut off")
