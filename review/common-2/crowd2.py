"""Ordinary callers at an entry while clients that are not under control send to it.

The check is the rule CONFIG: of the requests that are unanswered at the timeout of the
route, more than half (and eight or more) have no answer half a second later.
"""

from __future__ import annotations

import copy
import socket
import threading
import time
from urllib.error import HTTPError
from urllib.request import urlopen

import attrs
from adapter.caller import Caller
from adapter.deployment import CALL_SERVICE, KEY, configuration
from rig2 import STABLE_WINDOW, Record, SmallDeployment, trouble

#: Timeout of the route of the ordinary requests, milliseconds, and their deadline.
TIMEOUT_MS, DEADLINE_MS = 1200, 4000
#: Ordinary callers, and the seconds between two of their requests.
CALLERS, PAUSE = 12, 0.1
#: Seconds after the timeout by which an answer has to be there.
GRACE = 0.5
#: Least number of requests that break the rule.
MIN_LATE = 8
#: Seconds after which the platform's question whether the entry is ready has failed.
READY_TIMEOUT = 1.0


@attrs.define
class Ordinary:
    """An ordinary request.

    Attributes:
        name: Its identifier.
        status: Status of its answer, 0 for none.
        seconds: Seconds to its answer, or until its caller left at the deadline.
    """

    name: str = ""
    status: int = 0
    seconds: float = 0.0


def start(deployment: SmallDeployment, record: Record) -> None:
    """Start the processes and wait until the entry serves."""
    deployment.start_store()
    document = copy.deepcopy(configuration(1, [KEY]))
    document["routes"][1]["timeoutMs"] = TIMEOUT_MS
    deployment.publish_document(document)
    names = [f"call-{index}" for index in range(3)]
    for name in names:
        deployment.start_server(name, CALL_SERVICE, "")
    for name in names:
        deployment.wait_server(name)
    deployment.start_limited_entry(0)
    deployment.wait_ready(0)
    time.sleep(STABLE_WINDOW)
    record.note("the entry is ready")


def ask(address: str, found: Ordinary) -> None:
    """Send an ordinary request, and wait for its answer until its deadline."""
    sent_at = time.monotonic()
    try:
        caller = Caller(address)
        caller.connection.settimeout(DEADLINE_MS / 1000)
        found.name = caller.send(
            "POST", "/push/1", KEY, b"x" * 600, deadline_ms=DEADLINE_MS
        )
        found.status = caller.read_body(caller.read_head()).status
    except (OSError, ValueError):
        pass
    found.seconds = time.monotonic() - sent_at


def watch_ready(address: str, record: Record, stopped: threading.Event) -> None:
    """Ask once a second whether the entry is ready, as the platform does."""
    while not stopped.wait(1.0):
        try:
            with urlopen(f"http://{address}/-/readyz", timeout=READY_TIMEOUT) as answer:
                found = str(answer.status)
        except HTTPError as error:
            found = str(error.code)
        except OSError:
            found = "no answer"
        record.note(f"readyz: {found}")


def check_with_crowd(
    deployment: SmallDeployment, record: Record, sent: bytes, members: int
) -> bool:
    """Return whether ordinary callers are answered while a crowd has sent something.

    Args:
        deployment: The deployment.
        record: The record.
        sent: What each member of the crowd sends once, on a connection of its own.
        members: Number of members.
    """
    start(deployment, record)
    address = deployment.addresses["entry-0"]
    host, _, port = address.rpartition(":")
    crowd: list[socket.socket] = []
    stopped = threading.Event()
    watching = threading.Thread(
        target=watch_ready,
        args=(deployment.addresses["entry-0-ready"], record, stopped),
    )
    watching.start()
    if trouble():
        crowd = [socket.create_connection((host, int(port))) for _ in range(members)]
        for member in crowd:
            member.setblocking(False)
        send_all(crowd, sent)
        record.note(f"{members} clients have sent {len(sent)} bytes each, once")
    asked = [Ordinary() for _ in range(CALLERS)]
    threads = [threading.Thread(target=ask, args=(address, each)) for each in asked]
    for thread in threads:
        time.sleep(PAUSE)
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1)
    stopped.set()
    watching.join()
    for member in crowd:
        member.close()
    return judge(deployment, record, asked)


def judge(deployment: SmallDeployment, record: Record, asked: list[Ordinary]) -> bool:
    """Return whether the rule held for the ordinary requests."""
    for each in asked:
        answer = each.status or "no answer"
        record.note(f"request {each.name}: {answer} after {each.seconds:.2f} s")
    for line in deployment.processes["entry-0"].events("loop_late"):
        record.note(f"the entry says that its loop stood still: {line['late_ms']} ms")
    timeout = TIMEOUT_MS / 1000
    open_at_timeout = [each for each in asked if each.seconds > timeout]
    late = [each for each in open_at_timeout if each.seconds > timeout + GRACE]
    record.note(
        f"unanswered at the timeout of {timeout} s: {len(open_at_timeout)} of"
        f" {len(asked)}; half a second later: {len(late)}"
    )
    return len(late) < MIN_LATE or 2 * len(late) <= len(open_at_timeout)


def send_all(crowd: list[socket.socket], sent: bytes) -> None:
    """Send the bytes of each member as the entry takes them, for 3 s at most."""
    left = {member: memoryview(sent) for member in crowd}
    until = time.monotonic() + 3.0
    while left and time.monotonic() < until:
        for member, rest in list(left.items()):
            try:
                rest = rest[member.send(rest) :]
            except BlockingIOError:
                continue
            except OSError:
                del left[member]
                continue
            if rest:
                left[member] = rest
            else:
                del left[member]
        time.sleep(0.001)
