"""A plain server in trouble: on demand its answers have bodies without end.

Otherwise it answers each request at once. It writes its directory entry to the store as
the project's stand-ins do.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from urllib.request import Request, urlopen

#: Seconds between two writes of the directory entry.
HEARTBEAT = 0.5
#: Bytes of a chunk.
CHUNK = 64 * 1024
#: Seconds of its rate that the server may make up for after a pause.
BURST = 0.05


class Server:
    """The server.

    Attributes:
        rate: Bytes a second that it writes in all; 0 while it is sound.
        next_at: When it may write the next chunk, seconds.
        log: Identifier of each request, and what was done with it.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.rate = 0.0
        self.next_at = 0.0
        self.log: list[str] = []

    async def handle(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while await self.serve(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer) -> bool:
        """Serve one request; return whether another one may follow."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        fields = (line.partition(":") for line in lines[1:] if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        target = lines[0].split(" ")[1]
        if target == "/standin/control":
            self.rate = json.loads(body or b"{}").get("rate", self.rate)
            reply = json.dumps({"log": self.log}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply))
            writer.write(reply)
            await writer.drain()
            return True
        if headers.get("x-expect-instance", self.options.id) != self.options.id:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        name = headers.get("x-attempt-id", "")
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
        head += f"X-Server-Stamp: {self.options.id}.{name}\r\n"
        if not self.rate:
            self.log.append(f"{name} answered")
            writer.write(f"{head}Content-Length: 5\r\n\r\nhello".encode())
            await writer.drain()
            return True
        self.log.append(f"{name} gets a body without end")
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        await self.write_without_end(writer)
        return False

    async def write_without_end(self, writer) -> None:
        """Write a body until the caller closes, within the rate of this server."""
        chunk = b"%x\r\n" % CHUNK + os.urandom(CHUNK) + b"\r\n"
        while not writer.is_closing():
            now = time.monotonic()
            self.next_at = max(self.next_at, now - BURST) + len(chunk) / self.rate
            await asyncio.sleep(max(0.0, self.next_at - now))
            writer.write(chunk)
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
