"""Several engine stand-ins in one process, each on a port of its own."""

from __future__ import annotations

import asyncio

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.engine import ENGINE_ROUTES, Engine
from lacewingcourse.testing.standins.server import (
    FaultsHandler,
    HealthHandler,
    NoFaults,
    StandinHandler,
)


@attrs.frozen
class EngineSpec:
    """One engine of a host.

    Attributes:
        port: TCP port that it serves.
        model: Name of the model.
        layers: Layers that it holds.
        step_time: Seconds of a step with one item.
        item_time: Seconds that each position adds to a step.
        batch_items: Items of a step at the most.
        link_delay: Seconds that its link adds to each answer.
        version: Version of the weights.
    """

    port: int
    model: str
    layers: LayerRange
    step_time: float
    item_time: float = 0.0001
    batch_items: int = 32
    link_delay: float = 0.0
    version: str = "1"


@attrs.define
class LinkedEngine(Engine):
    """An engine whose answers come through a link with a delay.

    Attributes:
        link_delay: Seconds that the link adds to each answer.
    """

    link_delay: float = 0.0

    def submit(self, item):
        done = super().submit(item)
        return asyncio.ensure_future(self._delayed(done)) if self.link_delay else done

    async def _delayed(self, done: asyncio.Future):
        output = await done
        await asyncio.sleep(self.link_delay)
        return output


class HostedEngine:
    """One engine with its server; it can die and come back.

    Attributes:
        spec: What it is.
        address: IP number that it listens on.
        server: Its server while it runs, or None.
        steps: The task that runs its steps.
    """

    def __init__(self, spec: EngineSpec, address: str) -> None:
        self.spec = spec
        self.address = address
        self.server: HTTPServer | None = None
        self.steps: asyncio.Task | None = None

    def start(self) -> None:
        """Serve with an empty memory."""
        if self.server is not None:
            return
        spec = self.spec
        engine = LinkedEngine(
            model=spec.model,
            version=spec.version,
            layers=spec.layers,
            step_time=spec.step_time,
            item_time=spec.item_time,
            batch_items=spec.batch_items,
            link_delay=spec.link_delay,
        )
        shared = {"standin": engine}
        handlers = [(path, handler, shared) for path, handler in ENGINE_ROUTES]
        handlers.append((r"/faults", FaultsHandler, shared))
        handlers.append((r"/healthz", HealthHandler, shared))
        application = Application(handlers, log_function=lambda handler: None)
        self.server = HTTPServer(application)
        self.server.add_sockets(bind_sockets(spec.port, self.address))
        self.steps = asyncio.ensure_future(engine.run())

    async def stop(self) -> None:
        """Die: close every connection and forget everything."""
        if self.server is None:
            return
        server, self.server = self.server, None
        self.steps.cancel()
        server.stop()
        await server.close_all_connections()


@attrs.define
class EngineHost:
    """All engines of one process.

    Attributes:
        engines: The engines by port.
        faults: Faults of the host itself; it has none.
    """

    engines: dict[int, HostedEngine]
    faults: NoFaults = NoFaults()


class HostedEngineHandler(StandinHandler):
    """Lets one engine die or come back."""

    async def put(self, port: str, action: str) -> None:
        engine = self.standin.engines.get(int(port))
        if engine is None:
            self.set_status(404)
        elif action == "start":
            engine.start()
        else:
            await engine.stop()
        self.reply({})


ENGINE_HOST_ROUTES = [(r"/engines/(\d+)/(start|stop)", HostedEngineHandler)]


def new_engine_host(specs: list[EngineSpec], address: str) -> EngineHost:
    """Start all engines and return their host."""
    engines = {spec.port: HostedEngine(spec, address) for spec in specs}
    for engine in engines.values():
        engine.start()
    return EngineHost(engines)
