"""A plain server, which in trouble fails a share of the requests that it runs.

It answers these 500 itself, with its signature, after it has run them. It writes its
directory entry to the store as the project's stand-ins do.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from random import Random
from urllib.request import Request, urlopen

#: Seconds between two writes of the directory entry.
HEARTBEAT = 0.5
#: Seconds that a request takes, as on the sheet.
WORK = 0.045


class Server:
    """The server.

    Attributes:
        share: Share of its requests that it fails.
        log: Each run: identifier of the request, status of the answer.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.share = 0.0
        self.random = Random(options.id)
        self.log: list[tuple[str, int]] = []

    async def handle(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while True:
                await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer) -> None:
        """Serve one request."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        fields = (line.partition(":") for line in lines[1:] if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        name, reply = headers.get("x-attempt-id", ""), b""
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
        if lines[0].startswith("POST /standin/control "):
            self.share = json.loads(body).get("share", self.share)
            head, reply = "HTTP/1.1 200 OK\r\n", json.dumps(self.log).encode()
        elif headers.get("x-expect-instance", self.options.id) != self.options.id:
            head = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {name}\r\n"
        else:
            status = 500 if self.random.random() < self.share else 200
            self.log.append((name, status))
            await asyncio.sleep(WORK)
            reply = b"failed" if status == 500 else b"pushed"
            head = f"HTTP/1.1 {status} Done\r\nX-Attempt-Id: {name}\r\n"
            head += f"X-Server-Stamp: {self.options.id}.{name}\r\n"
        writer.write(f"{head}Content-Length: {len(reply)}\r\n\r\n".encode() + reply)
        await writer.drain()

    async def register(self) -> None:
        """Write the directory entry at each heartbeat."""
        born, sequence = int(time.time() * 1000), 0
        while True:
            sequence += 1
            entry = {
                "service": self.options.service,
                "address": self.options.address,
                "zone": "kgn-hall-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": born,
            }
            query = f"topic=keyed.servers&key={self.options.id}"
            url = f"http://{self.options.store}/standin/put?{query}"
            request = Request(url, data=json.dumps(entry).encode(), method="POST")
            await asyncio.to_thread(lambda r=request: urlopen(r, timeout=2).read())
            await asyncio.sleep(HEARTBEAT)


async def main() -> None:
    """Listen, and register until the process ends."""
    parser = argparse.ArgumentParser()
    for name in ("address", "service", "store", "id"):
        parser.add_argument(f"--{name}", required=True)
    server = Server(parser.parse_args())
    host, _, port = server.options.address.rpartition(":")
    await asyncio.start_server(server.handle, host, int(port))
    await server.register()


if __name__ == "__main__":
    asyncio.run(main())
