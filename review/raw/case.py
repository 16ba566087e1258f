"""The path and query of a request reach the server with other bytes."""

from __future__ import annotations

import sys
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from adapter.caller import Caller  # noqa: E402
from adapter.deployment import (  # noqa: E402
    CALL_SERVICE,
    HOST,
    KEY,
    configuration,
    post,
)
from rig2 import Record, SmallDeployment, run_case, trouble  # noqa: E402

from lacewingcourse.testing.processes import free_ports  # noqa: E402

#: Targets that a client writes without percent-encoding, and what others write.
RAW = [
    "/push/café/2f".encode(),
    "/push/2f?zone=Café+Blue".encode(),
    "/push/2f?zone=Café".encode("latin1"),
]
ENCODED = [b"/push/caf%C3%A9/2f", b"/push/2f?zone=Caf%C3%A9+Blue", b"/push/2f"]


def start(deployment: SmallDeployment, record: Record) -> None:
    """Start the processes and wait until the entry serves."""
    deployment.start_store()
    deployment.publish_document(configuration(1, [KEY]))
    address = f"127.0.0.1:{free_ports(1)[0]}"
    deployment.addresses["call-0"] = address
    arguments = ["review/9/server.py", "--address", address, "--id", "i-call-0"]
    arguments += ["--service", CALL_SERVICE, "--store", deployment.store]
    deployment.start_script("call-0", arguments)
    deployment.start_limited_entry(0)
    deployment.wait_ready(0)
    time.sleep(2)
    record.note("the entry is ready")


def check(deployment: SmallDeployment, record: Record) -> bool:
    """Return whether the server ran the requests with the path and query sent."""
    start(deployment, record)
    sent: dict[str, bytes] = {}
    for target in RAW if trouble() else ENCODED:
        caller, name = Caller(deployment.addresses["entry-0"]), uuid.uuid4().hex[:16]
        line = b"POST " + target + b" HTTP/1.1"
        fields = f"\r\nHost: {HOST}\r\nX-Attempt-Id: {name}\r\nX-Deadline-Ms: 4000\r\n"
        fields += f"Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
        caller.connection.sendall(line + fields.encode())
        answer = caller.read_body(caller.read_head())
        sent[name] = line
        record.note(f"{name} sent: {line!r}; answered: {answer.status}")
    runs = post(deployment.addresses["call-0"], "/standin/control", b"{}")
    if not trouble() and len(runs) < len(sent):
        raise RuntimeError("the calm requests did not run")
    changed = 0
    for name, text in runs:
        line = text.encode("latin1")
        record.note(f"{name} run as: {line!r}")
        changed += line != sent[name]
    record.note(f"requests run with another path or query: {changed}")
    return not changed


if __name__ == "__main__":
    raise SystemExit(run_case(FOLDER, check))
