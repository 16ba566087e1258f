"""Stand-in for a plain service: door tallies that must not be doubled."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import attrs

from lacewingcourse.testing.standins.server import StandinHandler
from lacewingcourse.wire.codec import CONVERTER, encode

#: Exit code of a service that a call crashed.
CRASHED = 70
#: Seconds between two looks whether held calls were released.
HOLD_INTERVAL = 0.01


@attrs.frozen
class TallyFaults:
    """Faults of the tally service.

    Attributes:
        delay: Seconds before a call takes effect.
        hold: Whether calls wait, without effect, until this is lifted.
        fail: Whether calls are answered with 503 and have no effect.
        crash_before: Whether a call ends the process before its effect.
        crash_after: Whether a call ends the process after its effect.
        lose_answer: Whether the connection is closed after the effect.
        hold_answer: Whether answers wait, after the effect, until this is lifted.
    """

    delay: float = 0.0
    hold: bool = False
    fail: bool = False
    crash_before: bool = False
    crash_after: bool = False
    lose_answer: bool = False
    hold_answer: bool = False


@attrs.frozen
class Tally:
    """A tally that ran.

    Attributes:
        key: Its idempotency key, or empty.
        body: What was sent.
    """

    key: str
    body: str


@attrs.define
class TallyService:
    """State of the tally service.

    Attributes:
        path: File that outlives the process and gets every tally, or None.
        faults: Faults in force.
        tallies: Every tally that ran, in order.
        waiting: Calls that are held.
    """

    path: Path | None = None
    faults: TallyFaults = attrs.field(factory=TallyFaults)
    tallies: list[Tally] = attrs.field(factory=list)
    waiting: int = 0

    def load(self) -> None:
        """Read the tallies that ran before a restart."""
        if self.path is None or not self.path.exists():
            return
        lines = self.path.read_bytes().splitlines()
        self.tallies = [CONVERTER.loads(line, Tally) for line in lines]

    def add(self, tally: Tally) -> None:
        """Let a tally take effect."""
        self.tallies.append(tally)
        if self.path is not None:
            with self.path.open("ab") as file:
                file.write(encode(tally) + b"\n")


class TalliesHandler(StandinHandler):
    """Takes and lists tallies."""

    def get(self) -> None:
        self.reply({"tallies": self.standin.tallies})

    async def post(self) -> None:
        await asyncio.sleep(self.standin.faults.delay)
        await self._wait_while("hold")
        if self.standin.faults.crash_before:
            os._exit(CRASHED)
        if self.standin.faults.fail:
            self.set_status(503)
            self.reply({"error": "the service fails"})
            return
        key = self.request.headers.get("Idempotency-Key", "")
        body = self.request.body.decode("utf-8", "replace")
        self.standin.add(Tally(key, body))
        number = len(self.standin.tallies)
        if self.standin.faults.crash_after:
            os._exit(CRASHED)
        await self._wait_while("hold_answer")
        if self.standin.faults.lose_answer:
            self.request.connection.stream.close()
            return
        self.set_status(201)
        self.reply({"number": number, "key": key})

    async def _wait_while(self, fault: str) -> None:
        """Wait until a fault is lifted."""
        self.standin.waiting += 1
        try:
            while getattr(self.standin.faults, fault):
                await asyncio.sleep(HOLD_INTERVAL)
        finally:
            self.standin.waiting -= 1


class StatsHandler(StandinHandler):
    """Counts for tests."""

    def get(self) -> None:
        service = self.standin
        self.reply({"waiting": service.waiting, "tallies": len(service.tallies)})


class EchoHandler(StandinHandler):
    """Answers with the request as it arrived."""

    def handle(self) -> None:
        """Describe the request."""
        request = self.request
        self.reply(
            {
                "method": request.method,
                "uri": request.uri,
                "headers": list(request.headers.get_all()),
                "body": request.body.decode("utf-8", "replace"),
            }
        )

    get = post = put = patch = delete = handle


TALLY_ROUTES = [
    (r"/tallies", TalliesHandler),
    (r"/stats", StatsHandler),
    (r"/echo/.*", EchoHandler),
]
