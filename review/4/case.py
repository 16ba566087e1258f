"""One wrong byte of a server, and a caller gets a part of the answer as the whole.

One entry, three model servers, streams at four a second. After some seconds one event
of one answer of one server has one wrong byte: the first digit of its id is a 9.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import CannotRun, Rig, configuration, stream_route  # noqa: E402
from traffic import Sent, send  # noqa: E402

ENTRY = "entry-1"
SERVERS = ["m-1", "m-2", "m-3"]
DEADLINE_MS = 20_000
EVENTS = 57
STREAMS_A_SECOND = 4
#: Seconds of traffic before the trouble and after its beginning.
BEFORE, AFTER = 3.0, 6.0


async def play(rig: Rig, trouble: bool) -> list[Sent]:
    """Send the traffic; return the requests and what came of them."""
    began, tasks, done = time.monotonic(), [], not trouble
    while time.monotonic() < began + BEFORE + AFTER:
        if not done and time.monotonic() > began + BEFORE:
            done = True
            rig.note("trouble: one event of one answer of m-1 has a wrong digit")
            await asyncio.to_thread(rig.set_mode, "m-1", "spoil-once 1")
        number = len(tasks)
        headers = {
            "X-Model": "rooms",
            "X-Token-Count": f"100,{EVENTS}",
            "X-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:60",
        }
        path = f"/rooms/{number}"
        stream = send(rig, ENTRY, path, DEADLINE_MS, headers=headers)
        tasks.append(asyncio.ensure_future(stream))
        await asyncio.sleep(1 / STREAMS_A_SECOND)
    return list(await asyncio.gather(*tasks))


def check(found: list[Sent], rig: Rig) -> bool:
    """Return whether each success that ended as whole is the body of its server."""
    bodies: dict[str, str] = {}
    for name in SERVERS:
        for line in map(json.loads, rig.log_of(name).splitlines()):
            if "wrote" in line:
                bodies[f"{name}.{line['wrote']}"] = line["body"]
    held = True
    for sent in found:
        stamp = sent.headers.get("x-server-stamp", "")
        body, written = sent.body.decode(), bodies.get(stamp, "")
        shown = f"{sent.id}: {sent.status}, {sent.end}, stamp {stamp}"
        shown += f", {body.count('id:')} of {written.count('id:')} events"
        if sent.status == 200 and sent.whole and body != written:
            held = False
            shown += ", whole: MIXED broken, as these are missing: "
            gone = [e for e in written.split("\n\n") if e and e + "\n\n" not in body]
            shown += "; ".join(e.replace("\n", " ") for e in gone)
        rig.note(shown)
    return held


def main() -> int:
    """Run the case; return 0 if the rule held, 1 if not, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig(Path(__file__).resolve().parent)
    try:
        rig.start_store()
        for name in SERVERS:
            rig.start_server(name, "model_server.py", "mapchat", "--kind", "a100")
        rig.publish(configuration(7, [stream_route()]))
        rig.start_entry(ENTRY)
        rig.wait_ready(ENTRY)
        # The layers are placed meanwhile, and the entry comes to be in touch.
        time.sleep(5.0)
        found = asyncio.run(play(rig, trouble))
        held = check(found, rig)
        if not trouble and not all(sent.whole for sent in found):
            rig.note("without trouble not all streams were whole")
            return 2
        return 0 if held else 1
    except CannotRun as error:
        rig.note(f"could not run: {error}")
        return 2
    finally:
        rig.stop()


if __name__ == "__main__":
    sys.exit(main())
