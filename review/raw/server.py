"""A plain server that records the bytes of each request line, and answers at once.

It writes its directory entry to the store as the project's stand-ins do.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from urllib.request import Request, urlopen

#: Seconds between two writes of the directory entry.
HEARTBEAT = 0.5


class Server:
    """The server.

    Attributes:
        log: Identifier and request line of each request that it ran, in latin-1.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.log: list[tuple[str, str]] = []

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
        await reader.readexactly(int(headers.get("content-length", "0")))
        name, reply = headers.get("x-attempt-id", ""), b"hello"
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
        if lines[0].startswith("POST /standin/control "):
            head, reply = "HTTP/1.1 200 OK\r\n", json.dumps(self.log).encode()
        elif headers.get("x-expect-instance", self.options.id) != self.options.id:
            head, reply = "HTTP/1.1 421 Misdirected\r\n", b""
        else:
            self.log.append((name, lines[0]))
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
