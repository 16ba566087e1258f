"""Bodies without end from servers in trouble take an entry past its memory."""

from __future__ import annotations

import copy
import json
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from adapter.caller import Answer, Caller  # noqa: E402
from adapter.deployment import CALL_SERVICE, KEY, configuration, post  # noqa: E402
from rig2 import LIMITS, Record, SmallDeployment, run_case, trouble  # noqa: E402

from lacewingcourse.testing.footprint import resident_bytes, unread_bytes  # noqa: E402
from lacewingcourse.testing.processes import free_ports  # noqa: E402

MEBIBYTE = 1024 * 1024
#: Memory at which the platform kills the process.
MEMORY = LIMITS["memoryMb"] * MEBIBYTE
#: Bytes a second that fit through the link of the entry's machine.
LINK_BYTES = LIMITS["linkMbps"] * 1e6 / 8
#: Time limit of the calls, milliseconds: the longest deadline of calls on a sheet.
DEADLINE_MS = 4000
#: Servers of the calls, and the calls that one caller sends at once.
CALL_SERVERS, CALLS = 3, 6
#: Callers of streams, each on a connection that it keeps, and the tokens of a stream.
CALLERS, TOKENS = 8, 400
#: Answers that may be cut on kept connections.
ALLOWED_CUTS = 3


def start(deployment: SmallDeployment, record: Record) -> None:
    """Start the processes and wait until the entry serves."""
    deployment.start_store()
    document = copy.deepcopy(configuration(1, [KEY]))
    document["routes"][1]["timeoutMs"] = DEADLINE_MS
    deployment.publish_document(document)
    models = deployment.start_model_servers()
    for index in range(CALL_SERVERS):
        name = f"call-{index}"
        address = f"127.0.0.1:{free_ports(1)[0]}"
        deployment.addresses[name] = address
        arguments = ["review/8/server.py", "--address", address, "--id", f"i-{name}"]
        arguments += ["--service", CALL_SERVICE, "--store", deployment.store]
        deployment.start_script(name, arguments)
    deployment.start_limited_entry(0)
    deployment.wait_ready(0)
    deployment.wait_layers_placed(models)
    time.sleep(1)
    record.note("the entry is ready, and the model servers hold every layer")


class Platform:
    """Kills the entry once it holds more than its memory, as the platform does."""

    def __init__(self, deployment: SmallDeployment, record: Record) -> None:
        self.process = deployment.processes["entry-0"].popen
        port = int(deployment.addresses["entry-0"].rpartition(":")[2])
        self.ports = frozenset({port})
        self.record = record
        self.peak = 0
        self.has_killed = False
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Look at the memory a hundred times a second."""
        while not self.stopped.wait(0.01) and self.process.poll() is None:
            try:
                held = resident_bytes(self.process.pid) + unread_bytes(self.ports)
            except OSError:
                return
            self.peak = max(self.peak, held)
            if held > MEMORY:
                self.has_killed = True
                self.process.kill()
                self.record.note(
                    f"the entry holds {held / MEBIBYTE:.0f} MB, more than"
                    f" {LIMITS['memoryMb']}: killed by the platform"
                )
                return

    def stop(self) -> None:
        """End the watch."""
        self.stopped.set()
        self.thread.join()


def read(caller: Caller) -> Answer:
    """Read an answer as far as it comes."""
    answer = Answer()
    try:
        answer = caller.read_head()
        if answer.status:
            caller.read_body(answer)
    except (OSError, ValueError):
        pass
    return answer


def stream(address: str, number: int, record: Record, cut: list[str]) -> None:
    """Send a short stream, and a long one on the same connection; note a cut one."""
    caller = Caller(address)
    headers = {"X_Model": "rooms", "X_Token_Count": "100,5"}
    caller.send("POST", f"/rooms/{number}", KEY, **headers)
    first = read(caller)
    headers["X_Token_Count"] = f"100,{TOKENS}"
    name = caller.send("POST", f"/rooms/{number}", KEY, **headers)
    answer = read(caller)
    ends = "whole" if answer.whole else "cut"
    record.note(
        f"stream {name}: {answer.status}, {answer.body.count(b'data:')} events, {ends}"
    )
    if first.whole and answer.status == 200 and not answer.whole:
        cut.append(name)


def call(address: str, record: Record) -> None:
    """Send one of the calls."""
    caller = Caller(address)
    name = caller.send("POST", "/push/1", KEY, b"x" * 600, deadline_ms=DEADLINE_MS)
    answer = read(caller)
    record.note(f"call {name}: {answer.status or 'no answer'}")


def check(deployment: SmallDeployment, record: Record) -> bool:
    """Return whether the entry passed on the answers of the sound servers."""
    start(deployment, record)
    if trouble():
        for index in range(CALL_SERVERS):
            body = json.dumps({"rate": LINK_BYTES / CALL_SERVERS}).encode()
            post(deployment.addresses[f"call-{index}"], "/standin/control", body)
        record.note(f"the servers of {CALL_SERVICE} write bodies without end")
    address = deployment.addresses["entry-0"]
    platform = Platform(deployment, record)
    cut: list[str] = []
    streams = [
        threading.Thread(target=stream, args=(address, number, record, cut))
        for number in range(CALLERS)
    ]
    for thread in streams:
        thread.start()
    time.sleep(2)
    record.note(f"a caller sends {CALLS} calls at once")
    calls = [
        threading.Thread(target=call, args=(address, record)) for _ in range(CALLS)
    ]
    for thread in calls:
        thread.start()
    for thread in calls + streams:
        thread.join(40)
    platform.stop()
    record.note(f"peak of the entry's memory: {platform.peak / MEBIBYTE:.0f} MB")
    for index in range(CALL_SERVERS):
        state = post(deployment.addresses[f"call-{index}"], "/standin/control", b"{}")
        for line in state["log"]:
            record.note(f"call-{index}: {line}")
    record.note(f"answers of sound servers cut on kept connections: {len(cut)}")
    return not platform.has_killed and len(cut) <= ALLOWED_CUTS


if __name__ == "__main__":
    raise SystemExit(run_case(FOLDER, check))
