"""The last tenant is taken away, and requests with any key run.

One entry, three servers of a plain service, callers with the tenant's key and with a
key that no configuration ever held. After some seconds a version comes whose list of
tenants is empty.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import KEY, CannotRun, Rig, call_route, configuration  # noqa: E402
from traffic import Sent, send  # noqa: E402

ENTRY = "entry-1"
SERVERS = ["i-a1", "i-b2", "i-c3"]
UNKNOWN = "key-of-nobody"
DEADLINE_MS = 2500
REQUESTS_A_SECOND = 8
#: Seconds of traffic before the change and after it; `configApplyMs` is 2 s.
BEFORE, AFTER = 3.0, 6.0


async def play(rig: Rig, trouble: bool) -> list[tuple[str, Sent]]:
    """Send the traffic; return each request with its key."""
    began, tasks, done = time.monotonic(), [], False
    while time.monotonic() < began + BEFORE + AFTER:
        if not done and time.monotonic() > began + BEFORE:
            done = True
            tenants = [] if trouble else [{"name": "blue", "apiKeys": [KEY]}]
            version = configuration(8, [call_route()], tenants=tenants)
            await asyncio.to_thread(rig.publish, version)
        key = UNKNOWN if len(tasks) % 2 else KEY
        request = send(rig, ENTRY, "/tiles/7", DEADLINE_MS, key=key)
        tasks.append((key, asyncio.ensure_future(request)))
        await asyncio.sleep(1 / REQUESTS_A_SECOND)
    return [(key, await task) for key, task in tasks]


def check(found: list[tuple[str, Sent]], rig: Rig) -> bool:
    """Return whether no request ran whose key no configuration ever held."""
    runs: dict[str, dict] = {}
    for name in SERVERS:
        for line in map(json.loads, rig.log_of(name).splitlines()):
            if "run" in line:
                runs[line["run"]] = line["headers"]
    held = True
    for key, sent in found:
        headers = runs.get(sent.id)
        shown = f"{sent.id}: {key}, {sent.status}"
        if headers is not None:
            shown += f", run for tenant {headers.get('x-tenant')}"
        if headers is not None and "authorization" in headers:
            held = False
            shown += ", its key passed on: UNASKED broken"
        if headers is not None and key == UNKNOWN:
            held = False
            shown += "; no configuration held its key: ROUTE broken"
        rig.note(shown)
    return held


def main() -> int:
    """Run the case; return 0 if the rule held, 1 if not, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig(Path(__file__).resolve().parent)
    try:
        rig.start_store()
        for name in SERVERS:
            rig.start_server(name, "plain_server.py", "agentdesk")
        rig.publish(configuration(7, [call_route()]))
        rig.start_entry(ENTRY)
        rig.wait_ready(ENTRY)
        # The entry comes to be in touch.
        time.sleep(4.0)
        found = asyncio.run(play(rig, trouble))
        held = check(found, rig)
        served = [sent.status == 200 for key, sent in found if key == KEY]
        if not trouble and not all(served):
            rig.note("without trouble not all requests with a key were served")
            return 2
        return 0 if held else 1
    except CannotRun as error:
        rig.note(f"could not run: {error}")
        return 2
    finally:
        rig.stop()


if __name__ == "__main__":
    sys.exit(main())
