"""What all stand-ins share: a server with switchable faults."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, TypeVar

import attrs
import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.wire.codec import CONVERTER, decode, encode

T = TypeVar("T")


class StandinHandler(RequestHandler):
    """Base of the handlers of a stand-in.

    Attributes:
        standin: The stand-in's state.
    """

    def initialize(self, standin: Any) -> None:
        self.standin = standin

    def reply(self, message: Any) -> None:
        """End the request with a message as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(encode(message))

    def message(self, kind: type) -> Any:
        """Return the message of the request, or None after refusing it."""
        message = decode(self.request.body, kind)
        if isinstance(message, Refusal):
            self.set_status(400)
            self.reply({"error": message.reason})
            return None
        return message


def changed_faults(faults: T, body: bytes) -> T | Refusal:
    """Return faults with the changes of a request, which names some of them."""
    try:
        changes = orjson.loads(body)
        merged = {**CONVERTER.unstructure(faults), **changes}
    except (ValueError, TypeError) as error:
        return Refusal(ErrorKind.MALFORMED, str(error))
    return decode(orjson.dumps(merged), type(faults))


class FaultsHandler(StandinHandler):
    """Shows and switches the faults of a stand-in at run time."""

    def get(self) -> None:
        self.reply(self.standin.faults)

    def put(self) -> None:
        changed = changed_faults(self.standin.faults, self.request.body)
        if isinstance(changed, Refusal):
            self.set_status(400)
            self.reply({"error": changed.reason})
            return
        self.standin.faults = changed
        self.reply(changed)


class HealthHandler(StandinHandler):
    """Says that the stand-in answers."""

    def get(self) -> None:
        self.reply({"status": "ok"})


@attrs.frozen
class NoFaults:
    """Faults of a stand-in that has none."""


async def serve(standin: Any, routes: list[tuple], address: str, port: int) -> None:
    """Serve a stand-in until it is asked to end."""
    shared = {"standin": standin}
    handlers = [(path, handler, shared) for path, handler in routes]
    handlers += [
        (r"/faults", FaultsHandler, shared),
        (r"/healthz", HealthHandler, shared),
    ]
    application = Application(handlers, log_function=lambda handler: None)
    server = HTTPServer(application, max_buffer_size=64 * 1024 * 1024)
    server.add_sockets(bind_sockets(port, address))
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
