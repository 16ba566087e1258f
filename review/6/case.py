"""A request that may run once runs again after a server has failed it."""

from __future__ import annotations

import json
import sys
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from adapter.caller import Caller  # noqa: E402
from adapter.deployment import CALL_SERVICE, KEY, configuration, post  # noqa: E402
from rig2 import (  # noqa: E402
    STABLE_WINDOW,
    Record,
    SmallDeployment,
    run_case,
    trouble,
)

from lacewingcourse.testing.processes import free_ports  # noqa: E402

#: Servers of the service, and requests that are sent one after the other.
SERVERS, REQUESTS = 8, 120
#: Share of its requests that the server in trouble fails.
FAILED_SHARE = 0.4


def start(deployment: SmallDeployment, record: Record) -> list[str]:
    """Start the processes, wait until the entry serves; return the servers."""
    deployment.start_store()
    document = configuration(1, [KEY])
    route = document["routes"][1]
    deployment.publish_document(document)
    names = [f"call-{index}" for index in range(SERVERS)]
    for name in names:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        deployment.addresses[name] = address
        arguments = ["review/6/server.py", "--address", address, "--id", f"i-{name}"]
        arguments += ["--service", CALL_SERVICE, "--store", deployment.store]
        deployment.start_script(name, arguments)
    deployment.start_limited_entry(0)
    deployment.wait_ready(0)
    time.sleep(STABLE_WINDOW)
    kind, most = route["routeKind"], route["maxAttempts"]
    record.note(f"the entry is ready; the route: {kind}, maxAttempts {most}")
    return names


def check(deployment: SmallDeployment, record: Record) -> bool:
    """Return whether each request ran once at most."""
    names = start(deployment, record)
    if trouble():
        body = json.dumps({"share": FAILED_SHARE}).encode()
        post(deployment.addresses[names[0]], "/standin/control", body)
        record.note(f"{names[0]} fails {FAILED_SHARE} of its requests with 500")
    caller, statuses = Caller(deployment.addresses["entry-0"]), {}
    for number in range(REQUESTS):
        sent = caller.send("POST", f"/push/{number}", KEY, b"x" * 600, deadline_ms=2500)
        statuses[sent] = caller.read_body(caller.read_head()).status
    runs: dict[str, list[str]] = defaultdict(list)
    for name in names:
        for request, status in post(
            deployment.addresses[name], "/standin/control", b"{}"
        ):
            runs[request].append(f"{name} ({status})")
    for request, status in statuses.items():
        record.note(f"{request}: answered {status}; run by {', '.join(runs[request])}")
    twice = [request for request in statuses if len(runs[request]) > 1]
    record.note(
        f"requests of a route that may not be repeated, run twice: {len(twice)}"
    )
    return not twice


if __name__ == "__main__":
    raise SystemExit(run_case(FOLDER, check))
