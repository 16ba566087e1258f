"""Stand-in for a plain service: door tallies."""

from __future__ import annotations

import asyncio

import attrs

from lacewingcourse.testing.standins.server import StandinHandler


@attrs.frozen
class TallyFaults:
    """Faults of the tally service.

    Attributes:
        delay: Seconds before a call takes effect.
        lose_answer: Whether the answer is lost after the effect.
    """

    delay: float = 0.0
    lose_answer: bool = False


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
        faults: Faults in force.
        tallies: Every tally that ran, in order.
    """

    faults: TallyFaults = attrs.field(factory=TallyFaults)
    tallies: list[Tally] = attrs.field(factory=list)


class TalliesHandler(StandinHandler):
    """Takes and lists tallies."""

    def get(self) -> None:
        self.reply({"tallies": self.standin.tallies})

    async def post(self) -> None:
        if self.standin.faults.delay:
            await asyncio.sleep(self.standin.faults.delay)
        key = self.request.headers.get("Idempotency-Key", "")
        self.standin.tallies.append(Tally(key, self.request.body.decode()))
        if self.standin.faults.lose_answer:
            self.request.connection.stream.close()
            return
        self.set_status(201)
        self.reply({"number": len(self.standin.tallies), "key": key})


TALLY_ROUTES = [(r"/tallies", TalliesHandler)]
