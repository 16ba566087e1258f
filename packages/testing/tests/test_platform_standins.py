"""The stand-ins of the plain service and the platform, as processes."""

from __future__ import annotations

import http.client
import signal
import subprocess
import sys
import threading
from urllib.error import HTTPError

import pytest

from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json

#: Errors that a closed connection gives.
NO_RESPONSE_STATUS = (http.client.HTTPException, OSError)


def set_faults(standin, **faults) -> None:
    """Switch some faults of a stand-in."""
    put_json(f"{standin.url}/faults", faults)


def tallies(service) -> list[str]:
    """Return the bodies of the tallies that ran."""
    listed = put_json(f"{service.url}/tallies", None, "GET")["tallies"]
    return [tally["body"] for tally in listed]


def send_tally(service, body: bytes) -> None:
    """Send a tally."""
    put_json(f"{service.url}/tallies", body, "POST")


def test_tallies_outlive_a_crash_after_the_effect(start_standin, tmp_path):
    service = start_standin("tally", f"--tallies={tmp_path / 'tallies'}")
    set_faults(service, crash_after=True)
    with pytest.raises(NO_RESPONSE_STATUS):
        send_tally(service, b"1")
    service.wait()
    service.start()
    wait_until(lambda: service.ready("/healthz"), 30.0, "not ready")
    set_faults(service, crash_before=True)
    with pytest.raises(NO_RESPONSE_STATUS):
        send_tally(service, b"2")
    service.wait()
    service.start()
    wait_until(lambda: service.ready("/healthz"), 30.0, "not ready")
    assert tallies(service) == ["1"]


def test_tally_faults_act_before_and_after_the_effect(start_standin):
    service = start_standin("tally")
    set_faults(service, lose_answer=True)
    with pytest.raises(NO_RESPONSE_STATUS):
        send_tally(service, b"1")
    set_faults(service, lose_answer=False, fail=True)
    with pytest.raises(HTTPError):
        send_tally(service, b"2")
    set_faults(service, fail=False, hold=True)
    sender = threading.Thread(target=send_tally, args=(service, b"3"))
    sender.start()
    stats = f"{service.url}/stats"
    wait_until(lambda: put_json(stats, None, "GET")["waiting"], 30.0, "not held")
    assert tallies(service) == ["1"]
    set_faults(service, hold=False)
    sender.join(30.0)
    assert tallies(service) == ["1", "3"]


def test_log_loses_answers_and_requests_and_counts(start_standin):
    log = start_standin("log")
    records = f"{log.url}/streams/s/records"
    set_faults(log, lose_answers=1)
    with pytest.raises(NO_RESPONSE_STATUS):
        put_json(records, {"body": "effect"}, "POST")
    set_faults(log, lose_requests=1)
    with pytest.raises(NO_RESPONSE_STATUS):
        put_json(records, {"body": "no effect"}, "POST")
    assert put_json(records, {"body": "last"}, "POST")["offset"] == 1
    page = put_json(records, None, "GET")
    assert [record["body"] for record in page["records"]] == ["effect", "last"]
    stats = put_json(f"{log.url}/stats", None, "GET")["s"]
    assert (stats["appends"], stats["reads"], stats["read_records"]) == (2, 1, 2)


def test_log_keeps_so_many_records_of_a_stream(start_standin):
    log = start_standin("log")
    records = f"{log.url}/streams/s/records"
    put_json(f"{log.url}/streams/s/retention", {"count": 2})
    for number in range(5):
        put_json(records, {"body": str(number)}, "POST")
    page = put_json(records, None, "GET")
    assert (page["first_offset"], page["next_offset"]) == (3, 5)
    assert [record["body"] for record in page["records"]] == ["3", "4"]


def test_log_refuses_while_down_and_above_its_rate(start_standin):
    log = start_standin("log")
    records = f"{log.url}/streams/s/records"
    set_faults(log, appends_per_second=0.001)
    for faults in ({}, {"appends_per_second": 0, "down": True}):
        set_faults(log, **faults)
        with pytest.raises(HTTPError) as raised:
            put_json(records, {"body": "a"}, "POST")
        assert raised.value.code == 503
    set_faults(log, down=False)
    assert put_json(records, {"body": "a"}, "POST")["offset"] == 0


def test_unknown_fault_is_refused(start_standin):
    log = start_standin("log")
    with pytest.raises(HTTPError) as raised:
        set_faults(log, dwon=True)
    assert raised.value.code == 400


def test_child_ends_when_its_launcher_is_killed(start_standin):
    log = start_standin("log")
    script = (
        "import sys, time\n"
        "from lacewingcourse.testing.processes import Process\n"
        "child = Process('log', '', '', tuple(sys.argv[1:]), {})\n"
        "child.start()\n"
        "print(child.pid, flush=True)\n"
        "time.sleep(600)\n"
    )
    log.kill()
    command = [sys.executable, "-c", script, *log.arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as launcher:
        launcher.stdout.readline()
        wait_until(lambda: log.ready("/healthz"), 30.0, "not ready")
        launcher.send_signal(signal.SIGKILL)
    wait_until(lambda: not log.ready("/healthz"), 30.0, "the child runs on")
