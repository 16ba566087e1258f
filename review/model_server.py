"""A stand-in of a model server that holds every layer of a small model.

It registers itself in the store, takes orders to hold layers, tells its state, and
writes streams. `POST /standin/mode` with a mode's name and a share in the body, as
`garbage 0.05`, changes how it answers that share of the streams from then on:

- `sound`: with all events, in order;
- `garbage`: with the head of its answer, and random bytes without end as its body,
  until the caller closes;
- `garbage-once`: the same for one answer only;
- `spoil-once`: with one wrong byte in one event of one answer: the first digit of its
  id is a 9.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from urllib.request import Request, urlopen

#: Seconds between two writes of the entry to the store.
HEARTBEAT = 1.2
#: Bytes written at a time where an answer has no end.
BLOCK = 64 * 1024
#: The event of a run that is spoiled.
SPOILED_EVENT = 12


class ModelServer:
    """One start of a server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.id = options.id
        self.options = options
        self.born = int(time.time() * 1000)
        self.mode, self.share = "sound", 1.0
        self.sequence = self.orders = self.fence = 0
        self.start = self.end = 0
        self.running = self.endless = 0
        self.changed = asyncio.Event()
        self.rng = random.Random(options.id)
        self.garbage = random.Random(5).randbytes(64 * BLOCK)

    def say(self, **fields) -> None:
        """Write a line of output."""
        print(json.dumps({"at": time.monotonic(), **fields}), flush=True)

    def layers(self) -> dict:
        """Return the layers that it holds, as it tells them."""
        return {"from": self.start, "to": self.end, "version": 1}

    def models(self) -> list[dict]:
        """Return the model that it runs, as it tells it."""
        return [{"name": "rooms", "version": 1, "adapters": []}]

    async def keep_registered(self) -> None:
        """Write the entry to the store, at each heartbeat and after a change."""
        while True:
            self.sequence += 1
            entry = {
                "service": self.options.service,
                "address": self.options.address,
                "zone": self.options.zone,
                "version": "v1",
                "slots": self.options.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "routeKind": self.options.kind,
                "models": self.models(),
                "layers": self.layers(),
            }
            await asyncio.to_thread(self.write_entry, json.dumps(entry).encode())
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT)
            except TimeoutError:
                pass

    def write_entry(self, body: bytes) -> None:
        """Write an entry to the store; a lost one is written again."""
        url = f"http://{self.options.store}/standin/put?topic=keyed.servers&key="
        try:
            urlopen(Request(url + self.id, data=body, method="POST"), timeout=2).close()
        except OSError:
            pass

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether another one may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        first, *lines = head.split("\r\n")
        _, path, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/standin/mode":
            name, _, share = body.decode().partition(" ")
            self.mode, self.share = name, float(share or 1)
            return await self.write(writer, 200, {})
        if path == "/healthz":
            return await self.write(writer, 200, {"X-Instance-Id": self.id})
        if path == "/-/report":
            return await self.write(writer, 200, {}, self.report())
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return await self.write(writer, 421, {"X-Attempt-Id": attempt})
        if path == "/-/order":
            return await self.write(writer, self.carry_out(json.loads(body)), {})
        return await self.run(writer, attempt, headers)

    def report(self) -> bytes:
        """Return what it tells of itself."""
        document = {
            "stage": "colocated",
            "models": self.models(),
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 10_000_000,
            "kvHandles": 0,
            "pace": 1.0,
            "born": self.born,
            "routeKind": self.options.kind,
            "layers": self.layers(),
            "stalled": [],
        }
        return json.dumps(document).encode()

    def carry_out(self, order: dict) -> int:
        """Carry out an order; return the status of the answer."""
        fence = order.get("fencingToken", self.fence)
        if fence < self.fence:
            return 412
        self.fence = fence
        if order.get("expectedRevision", self.orders) != self.orders:
            return 409
        if (order["from"], order["to"]) == (self.start, self.end):
            return 200
        self.start, self.end = order["from"], order["to"]
        self.orders += 1
        self.changed.set()
        return 202

    async def run(
        self, writer: asyncio.StreamWriter, attempt: str, headers: dict
    ) -> bool:
        """Run a stream; return whether another request may follow."""
        layers = headers.get("x-hop-count", "").partition("=")[2]
        if layers != f"{self.start}-{self.end}" or "," in layers:
            fault = {"X-Attempt-Id": attempt, "At-Server": self.options.address}
            return await self.write(writer, 421, fault)
        count = int(headers["x-token-count"].partition(",")[2])
        after = int(headers.get("last-event-id") or 0)
        self.say(run=attempt, after=after)
        self.running += 1
        try:
            await asyncio.sleep(self.options.first_ms / 1000)
            lines = [
                "HTTP/1.1 200 OK",
                f"X-Attempt-Id: {attempt}",
                f"X-Server-Stamp: {self.id}.{attempt}",
                "Content-Type: text/event-stream",
            ]
            if self.mode.startswith("garbage") and self.rng.random() < self.share:
                self.mode = "sound" if self.mode == "garbage-once" else self.mode
                writer.write("\r\n".join([*lines, "", ""]).encode())
                await self.write_garbage(writer, attempt)
                return False
            lines.append("Transfer-Encoding: chunked")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            spoiled = 0
            if self.mode == "spoil-once":
                self.mode, spoiled = "sound", after + SPOILED_EVENT
                self.say(trouble="spoils an event", attempt=attempt, event=spoiled)
            body = b""
            for number in range(after + 1, count + 1):
                event = b"id: %d\ndata: word %d\n\n" % (number, number)
                if number == spoiled:
                    event = b"id: 9" + event[5:]
                body += event
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.options.gap_ms / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.say(wrote=attempt, body=body.decode())
            return True
        finally:
            self.running -= 1

    async def write_garbage(self, writer: asyncio.StreamWriter, attempt: str) -> None:
        """Write random bytes until the caller closes."""
        self.say(trouble="begins", attempt=attempt)
        self.endless += 1
        written = 0
        try:
            while True:
                at = written % len(self.garbage)
                writer.write(self.garbage[at : at + BLOCK])
                await writer.drain()
                written += BLOCK
                seconds = BLOCK * 8 / 1e6 / self.options.mbps
                await asyncio.sleep(seconds * max(1, self.endless))
        finally:
            self.endless -= 1
            self.say(trouble="ended by the caller", attempt=attempt, written=written)

    async def write(
        self, writer: asyncio.StreamWriter, status: int, headers: dict, body=b""
    ) -> bool:
        """Write a whole answer without an event."""
        if status == 421:
            headers = headers | {"X-Not-Executed": "1"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = [f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(head).encode() + body)
        await writer.drain()
        return True


async def main() -> None:
    """Serve until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "address", "service", "store", "zone", "kind"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=96)
    parser.add_argument("--first-ms", type=float, default=40.0)
    parser.add_argument("--gap-ms", type=float, default=30.0)
    parser.add_argument("--mbps", type=float, default=500.0)
    server = ModelServer(parser.parse_args())
    host, _, port = server.options.address.rpartition(":")
    listening = await asyncio.start_server(server.serve, host, int(port))
    async with listening:
        await server.keep_registered()


if __name__ == "__main__":
    asyncio.run(main())
