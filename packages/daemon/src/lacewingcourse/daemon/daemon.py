"""The base of every daemon: server, signals, drain."""

from __future__ import annotations

import asyncio
import signal
import time
from functools import partial
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger
from prometheus_client import CollectorRegistry, Counter, disable_created_metrics
from tornado.netutil import bind_sockets
from tornado.web import Application

from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.pipelines.client_memory import MEBIBYTE, caller_limits
from lacewingcourse.daemon.configuration import ConfigurationMetrics
from lacewingcourse.daemon.handlers import (
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
    StateHandler,
    UnknownPathHandler,
)
from lacewingcourse.daemon.server import GuardedServer, RequestLimits
from lacewingcourse.relay.allocator import return_large_blocks
from lacewingcourse.relay.background import run_repeatedly
from lacewingcourse.relay.client_monitor import ClientMonitor
from lacewingcourse.relay.client_stream import Clients
from lacewingcourse.wire.client import PeerClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from socket import socket


class ListenError(Exception):
    """A process cannot listen on the address or port of its settings."""


#: Seconds before tasks that have not ended are cancelled again.
CANCEL_INTERVAL = 0.5


def _log_failed(work: str, error: BaseException) -> None:
    """Log an error in the background.

    Args:
        work: Name of the work that it interrupted.
        error: The error.
    """
    logger.opt(exception=error).bind(work=work).error("a background task failed")


def _log_clients(event: str, **fields: Any) -> None:
    """Log that clients hold too much, or no longer."""
    logger.bind(**fields).warning(event)


@attrs.frozen
class Readiness:
    """Whether a process takes new work.

    Attributes:
        ready: Whether it does.
        reason: Why not.
        configuration_version: Version of the configuration in force.
    """

    ready: bool
    reason: str = ""
    configuration_version: int = 0


class BaseMetrics:
    """Counters that every daemon has.

    Attributes:
        registry: Where the counters are registered.
        strangers: Messages whose proof was missing or wrong.
        configuration: Counters of the configuration.
        closed_clients: Connections given up for want of memory or connections.
        log_operations: Appends and reads of the log.
    """

    def __init__(self) -> None:
        disable_created_metrics()
        self.registry = CollectorRegistry()
        self.configuration = ConfigurationMetrics(self.registry)
        self.strangers = Counter(
            "lacewingcourse_strangers",
            "Messages whose proof was missing or wrong",
            registry=self.registry,
        )
        self.closed_clients = Counter(
            "lacewingcourse_closed_clients",
            "Connections given up for want of memory or connections",
            ("group", "cause", "stage"),
            registry=self.registry,
        )
        self.log_operations = Counter(
            "lacewingcourse_log_operations",
            "Operations on the log",
            ("operation", "stream", "outcome"),
            registry=self.registry,
        )

    def closed_client(self, group: str, cause: str, stage: str) -> None:
        """Count a connection of a client that was given up."""
        self.closed_clients.labels(group, cause, stage).inc()

    def on_log(self, operation: str, stream: str, result: object) -> None:
        """Count an operation on the log.

        Args:
            operation: `append` or `read`.
            stream: Name of the stream.
            result: What came of it; a refusal if it failed.
        """
        outcome = result.outcome.value if isinstance(result, Refusal) else "ok"
        self.log_operations.labels(operation, stream, outcome).inc()


class Daemon:
    """One process: a server and its background tasks on one loop.

    Variants override `routes`, `start_tasks`, `drain` and `readiness`.

    Attributes:
        settings: The settings in force.
        metrics: Counters of the process.
        peers: Client for messages to other processes.
        stopping: Set when the process has been asked to end.
        tasks: Background tasks.
        port: TCP port that the process listens on.
    """

    metrics_class: type[BaseMetrics] = BaseMetrics

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.metrics = self.metrics_class()
        self.peers = PeerClient(settings.shared_secret, settings.instance_id)
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.port = 0

    def now(self) -> float:
        """Return the present time in seconds on a clock that never goes back."""
        return time.monotonic()

    def routes(self) -> list[tuple]:
        """Return the handlers of the process's own paths."""
        return []

    def readiness(self) -> Readiness:
        """Tell whether the process takes new work."""
        return Readiness(not self.stopping.is_set())

    def state(self) -> Any:
        """Return the state that the state page shows."""
        return self.readiness()

    async def start_tasks(self) -> None:
        """Start the background tasks."""

    async def drain(self) -> None:
        """Finish what is in flight after the process was asked to end."""

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work in the background until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def supervise(self, loop: Callable[[], Coroutine]) -> asyncio.Task:
        """Run a loop in the background; after an error it begins again."""
        name = getattr(loop, "func", loop).__qualname__
        on_error = partial(_log_failed, name)
        return self.spawn(run_repeatedly(loop, on_error, self.now))

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log_failed(task.get_coro().__qualname__, task.exception())

    async def _end_tasks(self) -> None:
        """Cancel all tasks, again if one ends a wait in the same moment."""
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=CANCEL_INTERVAL)

    def application(self) -> Application:
        """Return the web application of the process."""
        shared = {"daemon": self}
        common = [
            (r"/metrics", MetricsHandler, shared),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, shared),
            (r"/state", StateHandler, shared),
        ]
        return Application(
            common + self.routes(),
            default_handler_class=UnknownPathHandler,
            log_function=lambda handler: None,
        )

    def _bind(self) -> list[socket]:
        """Return the listening sockets.

        Raises:
            ListenError: The address or the port cannot be used.
        """
        address, port = self.settings.listen_address, self.settings.listen_port
        try:
            return bind_sockets(port, address)
        except OSError as error:
            reason = error.strerror or str(error)
            raise ListenError(
                f"cannot listen on {address} port {port}: {reason}"
            ) from error

    async def run(self) -> None:
        """Serve until asked to end, then drain."""
        settings = self.settings
        return_large_blocks()
        memory = settings.memory_mb * MEBIBYTE
        limits = caller_limits(memory, settings.max_descriptors)
        clients = Clients(limits, self.now)
        server = GuardedServer(
            self.application(),
            RequestLimits(
                settings.max_body_bytes, settings.header_timeout, settings.body_timeout
            ),
            clients=clients,
            idle_connection_timeout=settings.idle_timeout,
        )
        monitor = ClientMonitor(
            {"all": clients}, _log_clients, self.metrics.closed_client, self.now
        )
        sockets = self._bind()
        self.port = sockets[0].getsockname()[1]
        server.add_sockets(sockets)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self.supervise(monitor.run)
        await self.start_tasks()
        logger.info("started", port=self.port)
        await self.stopping.wait()
        logger.info("draining")
        await self.drain()
        server.stop()
        await self._end_tasks()
        logger.info("ended")
