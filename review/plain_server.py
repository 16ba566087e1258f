"""A stand-in of a server of a plain service, in trouble on request.

It registers itself in the store, runs each request for a set time, and writes each run
as a line of JSON to its output. `POST /standin/mode` with a mode's name in the body
changes how it answers from then on:

- `sound`: with its whole answer;
- `extra`: with extra answers of another request without end, until the caller closes;
- `extra-once`: the same for one answer only;
- `endless`: with a body without end, until the caller closes.

A `share` between 0 and 1 after the name, as `endless 0.05`, limits the trouble to that
share of the answers.
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


class PlainServer:
    """One start of a server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.id = options.id
        self.options = options
        self.born = int(time.time() * 1000)
        self.mode, self.share = "sound", 1.0
        self.sequence = 0
        self.endless = 0
        self.rng = random.Random(options.id)

    def say(self, **fields) -> None:
        """Write a line of output."""
        print(json.dumps({"at": time.monotonic(), **fields}), flush=True)

    async def keep_registered(self) -> None:
        """Write the entry to the store, as servers do."""
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
            }
            await asyncio.to_thread(self.write_entry, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT)

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
        method, path, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/standin/mode":
            name, _, share = body.decode().partition(" ")
            self.mode, self.share = name, float(share or 1)
            return await self.write(writer, 200, {}, b"")
        if path == "/healthz":
            return await self.write(writer, 200, {"X-Instance-Id": self.id}, b"")
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return await self.write(writer, 421, {"X-Attempt-Id": attempt}, b"")
        self.say(run=attempt, path=path, method=method, headers=headers)
        await asyncio.sleep(self.options.work_ms / 1000)
        if self.mode.startswith("extra") and self.rng.random() < self.share:
            self.mode = "sound" if self.mode == "extra-once" else self.mode
            return await self.write_extra(writer)
        own = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"{self.id}.{attempt}"}
        if self.mode == "endless" and self.rng.random() < self.share:
            return await self.write_endless(writer, own)
        return await self.write(writer, 200, own, b"." * 800)

    async def write(
        self, writer: asyncio.StreamWriter, status: int, headers: dict, body: bytes
    ) -> bool:
        """Write a whole answer."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = [f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(head).encode() + body)
        await writer.drain()
        return True

    async def write_extra(self, writer: asyncio.StreamWriter) -> bool:
        """Write an answer of another request again and again."""
        answer = (
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: 00000000deadbeef\r\n"
            f"X-Server-Stamp: {self.id}.old\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        self.endless += 1
        try:
            block = answer * (BLOCK // len(answer))
            await self.write_until_closed(writer, block, self.options.mbps)
        finally:
            self.endless -= 1
        return False

    async def write_endless(self, writer: asyncio.StreamWriter, own: dict) -> bool:
        """Write a head, and a body without end."""
        lines = [f"{name}: {value}" for name, value in own.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        self.endless += 1
        try:
            await self.write_until_closed(writer, b"x" * BLOCK, self.options.mbps)
        finally:
            self.endless -= 1
        return False

    async def write_until_closed(
        self, writer: asyncio.StreamWriter, block: bytes, mbps: float
    ) -> None:
        """Write a block again and again until the caller closes.

        Args:
            writer: The connection.
            block: The block.
            mbps: Megabits a second of all such answers together, 0 for no limit.
        """
        self.say(trouble="begins", mode=self.mode)
        written = 0
        try:
            while True:
                writer.write(block)
                await writer.drain()
                written += len(block)
                if mbps:
                    seconds = len(block) * 8 / 1e6 / mbps
                    await asyncio.sleep(seconds * max(1, self.endless))
        finally:
            self.say(trouble="ended by the caller", written=written)


async def main() -> None:
    """Serve until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "address", "service", "store", "zone"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=45.0)
    parser.add_argument("--mbps", type=float, default=0.0)
    server = PlainServer(parser.parse_args())
    host, _, port = server.options.address.rpartition(":")
    listening = await asyncio.start_server(server.serve, host, int(port))
    async with listening:
        await server.keep_registered()


if __name__ == "__main__":
    asyncio.run(main())
