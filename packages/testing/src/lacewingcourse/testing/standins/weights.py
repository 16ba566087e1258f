"""Stand-in for the platform's weight store."""

from __future__ import annotations

import asyncio
import time

import attrs

from lacewingcourse.testing.standins.server import StandinHandler


@attrs.frozen
class WeightStoreFaults:
    """Faults of the weight store.

    Attributes:
        delay: Seconds before each answer.
        down: Whether every request is refused.
    """

    delay: float = 0.0
    down: bool = False


@attrs.define
class WeightStore:
    """State of the weight store.

    Attributes:
        loads_per_second: Loads that it serves.
        served: Loads that it served.
        refused: Loads that it refused for their rate.
        faults: Faults in force.
        tokens: Loads that it would serve at once.
        refilled_at: When the tokens were last counted.
    """

    loads_per_second: float
    faults: WeightStoreFaults = attrs.field(factory=WeightStoreFaults)
    tokens: float = 1.0
    refilled_at: float = attrs.field(factory=time.monotonic)
    served: int = 0
    refused: int = 0

    def take(self) -> float:
        """Take a load; return 0.0, or the seconds until one can be had."""
        now = time.monotonic()
        grown = (now - self.refilled_at) * self.loads_per_second
        self.tokens = min(max(1.0, self.loads_per_second), self.tokens + grown)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.refused += 1
            return (1.0 - self.tokens) / self.loads_per_second
        self.tokens -= 1.0
        self.served += 1
        return 0.0


class WeightsHandler(StandinHandler):
    """Serves the weights of layers of a model's version."""

    async def get(self, model: str, version: str) -> None:
        await asyncio.sleep(self.standin.faults.delay)
        if self.standin.faults.down:
            self.set_status(503)
            self.finish()
            return
        wait = self.standin.take()
        if wait > 0:
            self.set_status(429)
            self.set_header("Retry-After", str(max(1, round(wait))))
            self.finish()
            return
        self.reply({"model": model, "version": version})


class StatsHandler(StandinHandler):
    """Counts for tests."""

    def get(self) -> None:
        self.reply({"served": self.standin.served, "refused": self.standin.refused})


WEIGHT_ROUTES = [
    (r"/weights/([A-Za-z0-9._-]+)/([A-Za-z0-9._-]+)", WeightsHandler),
    (r"/stats", StatsHandler),
]
