"""Callers and the balancer of the platform, as the pages describe them."""

from __future__ import annotations

import asyncio
import time
import uuid

from rig import HOST, KEY, Rig

#: Seconds between two questions of the balancer whether an entry is ready.
QUESTION_PERIOD = 1.0
#: Misses in a row after which an entry gets no new connections.
MISSES = 2
#: Seconds that a caller allows for a new connection.
CONNECT_TIME = 1.0


class Sent:
    """One request of a caller and what came of it."""

    def __init__(self, entry: str, path: str) -> None:
        self.id = uuid.uuid4().hex[:16]
        self.entry = entry
        self.path = path
        self.sent_at = 0.0
        self.ended_at: float | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.end = "no answer"

    def took(self, until: float) -> float:
        """Return the seconds until its final answer, or until a time without one."""
        return (self.ended_at or until) - self.sent_at


class Balancer:
    """Gives new connections to the entries that say that they are ready."""

    def __init__(self, rig: Rig, entries: list[str]) -> None:
        self.rig = rig
        self.entries = entries
        self.misses = dict.fromkeys(entries, 0)
        self.turn = 0

    async def ask(self) -> None:
        """Ask each entry once a second, without end."""
        await asyncio.gather(*(self._ask_one(entry) for entry in self.entries))

    async def _ask_one(self, entry: str) -> None:
        while True:
            began = time.monotonic()
            ready = await asyncio.to_thread(self.rig.is_ready, entry)
            missed = 0 if ready else self.misses[entry] + 1
            if missed == MISSES:
                self.rig.note(f"balancer: {entry} is out")
            if ready and self.misses[entry] >= MISSES:
                self.rig.note(f"balancer: {entry} is in")
            self.misses[entry] = missed
            left = began + QUESTION_PERIOD - time.monotonic()
            await asyncio.sleep(max(0.0, left))

    def choose(self) -> str:
        """Return the entry of the next new connection."""
        found = [e for e in self.entries if self.misses[e] < MISSES] or self.entries
        self.turn += 1
        return found[self.turn % len(found)]


async def send(
    rig: Rig,
    entry: str,
    path: str,
    deadline_ms: int,
    key: str | None = KEY,
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> Sent:
    """Send a request on a new connection; wait for its answer to the deadline."""
    sent = Sent(entry, path)
    host, _, port = rig.fronts[entry].rpartition(":")
    body = b"tile" if method == "POST" else b""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {sent.id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    sent.sent_at = time.monotonic()
    writer = None
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await asyncio.wait_for(opening, CONNECT_TIME)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await asyncio.wait_for(_read(reader, sent), deadline_ms / 1000)
        sent.ended_at = time.monotonic()
        sent.end = "answered"
    except TimeoutError:
        sent.end = "no answer in time"
    except (OSError, EOFError, ValueError) as error:
        sent.ended_at = time.monotonic()
        sent.end = f"connection ended: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return sent


async def _read(reader: asyncio.StreamReader, sent: Sent) -> None:
    """Read an answer, whose body has a length or chunks."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    sent.status = int(first.split(" ")[1])
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        sent.headers[name.lower()] = value.strip()
    if "content-length" in sent.headers:
        sent.body = await reader.readexactly(int(sent.headers["content-length"]))
        sent.whole = True
        return
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        data = await reader.readexactly(size + 2)
        body += data[:-2]
        if size == 0:
            sent.body, sent.whole = bytes(body), True
            return
