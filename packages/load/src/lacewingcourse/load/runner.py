"""Drives requests at entries: open loop, closed loop, with resends."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from typing import TYPE_CHECKING

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient

from lacewingcourse.load.client import Sample, send

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from lacewingcourse.load.mix import PlannedRequest

#: Shortest sleep; anything due sooner is sent at once.
SLEEP_FLOOR = 0.0005


@attrs.frozen
class RunOptions:
    """How requests are sent.

    Attributes:
        urls: Base URLs of the entries, used in turn.
        model: Name of the model.
        patience: Seconds after which a caller goes away.
        resends: Times that a refused request is sent again.
        in_flight: Requests in flight at the most; those above are not sent.
        horizon: Seconds from the start after which refused requests no longer
            come back.
    """

    urls: tuple[str, ...]
    model: str
    patience: float = 60.0
    resends: int = 3
    in_flight: int = 2000
    horizon: float = math.inf


@attrs.define
class RunResult:
    """What a run came to.

    Attributes:
        started_at: When it began, on the samples' clock.
        ended_at: When the last answer ended.
        samples: Every request that was sent, resends included.
        unsent: Requests that were due while too many were in flight.
        cpu_seconds: Processor time of the load generator itself.
    """

    started_at: float
    ended_at: float = 0.0
    samples: list[Sample] = attrs.field(factory=list)
    unsent: int = 0
    cpu_seconds: float = 0.0


class LoadRunner:
    """Sends planned requests and gathers their samples.

    Attributes:
        options: How requests are sent.
        result: What came so far.
    """

    def __init__(self, options: RunOptions) -> None:
        self.options = options
        self.result = RunResult(time.monotonic())
        self.http: CurlAsyncHTTPClient | None = None
        self.urls = itertools.cycle(options.urls)
        self.running = 0

    async def run_open(self, planned: Iterable[PlannedRequest]) -> RunResult:
        """Send each request at its due time, however many are in flight."""
        started_cpu = self._start()
        tasks = []
        for request in planned:
            due_at = self.result.started_at + request.due
            await sleep_until(due_at)
            if self.running >= self.options.in_flight:
                self.result.unsent += 1
                continue
            self.running += 1
            tasks.append(asyncio.ensure_future(self._request(request, due_at)))
        await asyncio.gather(*tasks)
        return self._finish(started_cpu)

    async def run_closed(
        self, planned: Iterator[PlannedRequest], callers: int, seconds: float
    ) -> RunResult:
        """Let a number of callers send one request after the other."""
        started_cpu = self._start()
        end_at = self.result.started_at + seconds
        await asyncio.gather(*(self._caller(planned, end_at) for _ in range(callers)))
        return self._finish(started_cpu)

    def _start(self) -> float:
        """Begin on the running loop; return the processor time so far."""
        self.http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=self.options.in_flight
        )
        self.result.started_at = time.monotonic()
        return time.process_time()

    def _finish(self, started_cpu: float) -> RunResult:
        self.result.ended_at = time.monotonic()
        self.result.cpu_seconds = time.process_time() - started_cpu
        return self.result

    async def _caller(self, planned: Iterator[PlannedRequest], end_at: float) -> None:
        while time.monotonic() < end_at:
            request = next(planned, None)
            if request is None:
                return
            self.running += 1
            await self._request(request, time.monotonic())

    async def _request(self, request: PlannedRequest, due_at: float) -> None:
        """Send a request; after a refusal come back when it says."""
        try:
            for tries in itertools.count():
                sample = Sample(request, due_at, tries)
                self.result.samples.append(sample)
                await self._send(sample)
                if not sample.refused or sample.retry_after is None:
                    return
                due_at = sample.ended_at + sample.retry_after
                if not self._comes_back(tries, due_at):
                    return
                await sleep_until(due_at)
        finally:
            self.running -= 1

    def _comes_back(self, tries: int, due_at: float) -> bool:
        """Tell whether a refused request is sent again."""
        end_at = self.result.started_at + self.options.horizon
        return tries < self.options.resends and due_at <= end_at

    async def _send(self, sample: Sample) -> None:
        options = self.options
        await send(self.http, next(self.urls), options.model, sample, options.patience)


async def sleep_until(moment: float) -> None:
    """Sleep until a moment of the monotonic clock."""
    left = moment - time.monotonic()
    if left > SLEEP_FLOOR:
        await asyncio.sleep(left)
