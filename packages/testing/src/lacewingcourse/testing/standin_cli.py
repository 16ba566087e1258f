"""The command that runs one stand-in."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.testing.standins.engine import ENGINE_ROUTES, Engine
from lacewingcourse.testing.standins.engine_host import (
    ENGINE_HOST_ROUTES,
    EngineSpec,
    new_engine_host,
)
from lacewingcourse.testing.standins.instances import (
    INSTANCE_LIST_ROUTES,
    InstanceList,
)
from lacewingcourse.testing.standins.log import LOG_ROUTES, LogService
from lacewingcourse.testing.standins.orders import OrderDesk
from lacewingcourse.testing.standins.proxy_control import PROXY_ROUTES, FaultProxy
from lacewingcourse.testing.standins.server import serve
from lacewingcourse.testing.standins.tally import TALLY_ROUTES, TallyService
from lacewingcourse.testing.standins.weights import WEIGHT_ROUTES, WeightStore
from lacewingcourse.wire.codec import CONVERTER

SHARED_OPTIONS = [
    option("address", None, "IP number to listen on", flag=False, default="127.0.0.1"),
    option("port", None, "TCP port to listen on", flag=False),
]


class StandinCommand(Command):
    """Runs a stand-in; variants say which."""

    options = SHARED_OPTIONS

    def handle(self) -> int:
        asyncio.run(self.run_standin())
        return 0

    async def run_standin(self) -> None:
        """Serve until asked to end."""
        standin, routes = self.standin()
        address, port = self.option("address"), int(self.option("port"))
        await serve(standin, routes, address, port)

    def standin(self) -> tuple:
        """Return the state and the handlers of the stand-in."""
        raise NotImplementedError


class EngineCommand(StandinCommand):
    """Runs an engine."""

    name = "engine"
    description = "Run a stand-in for a model engine"
    options = SHARED_OPTIONS + [
        option("model", None, "Name of the model", flag=False),
        option("weights", None, "Version of the weights", flag=False, default="1"),
        option("first", None, "First layer it holds", flag=False),
        option("end", None, "Layer behind the last it holds", flag=False),
        option("step-time", None, "Seconds of a step", flag=False, default="0.004"),
        option(
            "item-time", None, "Seconds a position adds", flag=False, default="0.0001"
        ),
        option("batch-items", None, "Items of a step", flag=False, default="32"),
        option("weight-store", None, "Where weights are", flag=False, default=""),
        option("load-time", None, "Seconds of a load", flag=False, default="0.2"),
        option("max-layers", None, "Layers that fit", flag=False, default="0"),
        option("checks-fencing", None, "Refuse old fencing numbers", flag=True),
    ]

    async def run_standin(self) -> None:
        engine, routes = self.standin()
        steps = asyncio.ensure_future(engine.run())
        await serve(engine, routes, self.option("address"), int(self.option("port")))
        steps.cancel()

    def standin(self):
        desk = OrderDesk(
            weights_url=self.option("weight-store"),
            load_time=float(self.option("load-time")),
            checks_fencing=self.option("checks-fencing"),
            max_layers=int(self.option("max-layers")),
        )
        layers = None
        if self.option("first") is not None:
            layers = LayerRange(int(self.option("first")), int(self.option("end")))
        engine = Engine(
            model=self.option("model") if layers else "",
            version=self.option("weights") if layers else "",
            layers=layers,
            desk=desk,
            step_time=float(self.option("step-time")),
            item_time=float(self.option("item-time")),
            batch_items=int(self.option("batch-items")),
        )
        return engine, ENGINE_ROUTES


class EnginesCommand(StandinCommand):
    """Runs several engines."""

    name = "engines"
    description = "Run stand-ins for several model engines in one process"
    options = SHARED_OPTIONS + [
        option("specs", None, "JSON file with a list of engines", flag=False),
    ]

    def standin(self):
        text = Path(self.option("specs")).read_bytes()
        specs = CONVERTER.loads(text, list[EngineSpec])
        return new_engine_host(specs, self.option("address")), ENGINE_HOST_ROUTES


class TallyCommand(StandinCommand):
    """Runs the tally service."""

    name = "tally"
    description = "Run a stand-in for a plain service"
    options = SHARED_OPTIONS + [
        option("tallies", None, "File that keeps the tallies", flag=False),
    ]

    def standin(self):
        path = self.option("tallies")
        service = TallyService(Path(path) if path else None)
        service.load()
        return service, TALLY_ROUTES


class LogCommand(StandinCommand):
    """Runs the log service."""

    name = "log"
    description = "Run a stand-in for the platform's log service"
    options = SHARED_OPTIONS + [
        option(
            "retention", None, "Seconds records are kept", flag=False, default="86400"
        ),
    ]

    def standin(self):
        return LogService(float(self.option("retention"))), LOG_ROUTES


class InstancesCommand(StandinCommand):
    """Runs the instance list."""

    name = "instances"
    description = "Run a stand-in for the platform's instance list"

    def standin(self):
        return InstanceList(), INSTANCE_LIST_ROUTES


class WeightsCommand(StandinCommand):
    """Runs the weight store."""

    name = "weights"
    description = "Run a stand-in for the platform's weight store"
    options = SHARED_OPTIONS + [
        option("rate", None, "Loads a second", flag=False, default="2"),
    ]

    def standin(self):
        return WeightStore(float(self.option("rate"))), WEIGHT_ROUTES


class ProxyCommand(StandinCommand):
    """Runs the fault proxy."""

    name = "proxy"
    description = "Run a TCP fault proxy; its port is the one of its control"

    def standin(self):
        return FaultProxy(self.option("address")), PROXY_ROUTES


def main() -> None:
    """Run the stand-in that the arguments name."""
    application = Application("lacewingcourse-standin")
    for command in (
        EngineCommand,
        EnginesCommand,
        TallyCommand,
        LogCommand,
        InstancesCommand,
        WeightsCommand,
        ProxyCommand,
    ):
        application.add(command())
    sys.exit(application.run())
