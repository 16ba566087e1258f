"""HTTP interface of the engine stand-in, which holds a range of layers."""

from __future__ import annotations

import asyncio
import time

import attrs

from lacewingcourse.agent.engine import CancelRequest, ForwardReply, ForwardRequest
from lacewingcourse.testing.standins.engine_state import Engine
from lacewingcourse.testing.standins.orders import ORDER_ROUTES
from lacewingcourse.testing.standins.sequences import SequenceExport
from lacewingcourse.testing.standins.server import StandinHandler

__all__ = ["ENGINE_ROUTES", "Engine"]


@attrs.frozen
class ForkRequest:
    """Copy a sequence as it was before a position.

    Attributes:
        source: Name of the sequence.
        target: Name of the copy.
        position: The copy's next position.
    """

    source: str
    target: str
    position: int


@attrs.frozen
class ExportRequest:
    """Hand out a sequence as it was before a position."""

    sequence: str
    position: int


class ForwardHandler(StandinHandler):
    """Runs items."""

    async def post(self) -> None:
        request = self.message(ForwardRequest)
        if request is None:
            return
        started = time.monotonic()
        futures = [self.standin.submit(item) for item in request.items]
        outputs = await asyncio.gather(*futures)
        self.reply(ForwardReply(tuple(outputs), time.monotonic() - started))


class CancelHandler(StandinHandler):
    """Drops sequences."""

    def post(self) -> None:
        request = self.message(CancelRequest)
        if request is None:
            return
        for sequence in request.sequences:
            self.standin.cancel(sequence)
        self.reply({})


class TransferHandler(StandinHandler):
    """Base of the handlers that copy sequences."""

    def prepare(self) -> None:
        if self.standin.faults.refuse_transfers:
            self.refuse("transfers are refused")

    def refuse(self, reason: str) -> None:
        """Answer that the sequence cannot be had."""
        self.set_status(409)
        self.reply({"error": reason})


class ForkHandler(TransferHandler):
    """Copies a sequence under another name."""

    def post(self) -> None:
        request = self.message(ForkRequest)
        if request is None:
            return
        sequences = self.standin.sequences
        if sequences.fork(request.source, request.target, request.position):
            self.reply({})
            return
        self.refuse("the sequence is not kept at this position")


class ExportHandler(TransferHandler):
    """Hands out a sequence."""

    def post(self) -> None:
        request = self.message(ExportRequest)
        if request is None:
            return
        export = self.standin.sequences.export(request.sequence, request.position)
        if export is None:
            self.refuse("the sequence is not kept at this position")
            return
        self.reply(export)


class ImportHandler(TransferHandler):
    """Takes a sequence over."""

    def post(self) -> None:
        export = self.message(SequenceExport)
        if export is None:
            return
        held = self.standin.layers
        if held is None or not held.contains(export.layers):
            self.refuse("layers not held")
            return
        self.standin.sequences.take(export)
        self.reply({})


class StateHandler(StandinHandler):
    """Tells what the engine holds and its load."""

    def get(self) -> None:
        self.reply(self.standin.state())


class EventsHandler(StandinHandler):
    """Publishes cache events."""

    def get(self) -> None:
        first = int(self.get_argument("from", "0"))
        until = time.monotonic() - self.standin.faults.event_delay
        self.reply(self.standin.prefixes.published(first, until))


class StatsHandler(StandinHandler):
    """Counts for tests and measurements."""

    def get(self) -> None:
        engine = self.standin
        self.reply(
            {
                "steps": engine.steps,
                "sequences": sorted(engine.sequences.known),
                "prefix_blocks": len(engine.prefixes.blocks),
                "prefix_hits": engine.prefixes.hits,
                "prompts": list(engine.prompts),
            }
        )


ENGINE_ROUTES = [
    (r"/engine/forward", ForwardHandler),
    (r"/engine/cancel", CancelHandler),
    (r"/engine/fork", ForkHandler),
    (r"/engine/export", ExportHandler),
    (r"/engine/import", ImportHandler),
    (r"/engine/state", StateHandler),
    (r"/engine/events", EventsHandler),
    (r"/stats", StatsHandler),
    *ORDER_ROUTES,
]
