"""The command that runs a local deployment."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.testing.demo import run_demo
from lacewingcourse.testing.deployment import Deployment, DeploymentOptions

#: Where the state file stands when no other place is named.
DEFAULT_STATE = "out/local.json"
#: Seconds that `down` waits for the end of the deployment.
DOWN_TIMEOUT = 60.0

SIZE_OPTIONS = [
    option("entries", None, "Entries", flag=False, default="1"),
    option("endpoints", None, "Endpoints of the model", flag=False, default="4"),
    option("layers", None, "Layers of the model", flag=False, default="24"),
    option("step-time", None, "Seconds of a step", flag=False, default="0.004"),
    option("logs", None, "Show the log lines of all processes", flag=True),
]
STATE_OPTION = option("state", None, "State file", flag=False, default=DEFAULT_STATE)


class LocalCommand(Command):
    """Base of the commands that start a deployment."""

    def deployment(self) -> Deployment:
        """Return the deployment that the options describe, not yet started."""
        return Deployment(
            DeploymentOptions(
                entries=int(self.option("entries")),
                endpoints=int(self.option("endpoints")),
                layers=int(self.option("layers")),
                step_time=float(self.option("step-time")),
                verbose=self.option("logs"),
            )
        )


class UpCommand(LocalCommand):
    """Starts a deployment and runs it until asked to end."""

    name = "up"
    description = "Start a local deployment and keep it running until SIGTERM or down"
    options = [*SIZE_OPTIONS, STATE_OPTION]

    def handle(self) -> int:
        stopping = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stopping.set())
        deployment = self.deployment()
        path = Path(self.option("state"))
        try:
            deployment.up()
            write_state(path, deployment)
            self.line(f"ready: {path}")
            while not stopping.wait(0.2):
                pass
        finally:
            path.unlink(missing_ok=True)
            deployment.down()
        return 0


def write_state(path: Path, deployment: Deployment) -> None:
    """Write the state file in one step."""
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(path.suffix + ".new")
    draft.write_text(json.dumps(deployment.describe(), indent=2) + "\n")
    draft.replace(path)


class DownCommand(Command):
    """Stops a deployment that was started with `up`."""

    name = "down"
    description = "Stop a local deployment"
    options = [STATE_OPTION]

    def handle(self) -> int:
        path = Path(self.option("state"))
        if not path.exists():
            self.line_error(f"no deployment: {path} does not exist")
            return 1
        pid = json.loads(path.read_text())["pid"]
        os.kill(pid, signal.SIGTERM)
        deadline = time.monotonic() + DOWN_TIMEOUT
        while running(pid) and time.monotonic() < deadline:
            time.sleep(0.1)
        return 1 if running(pid) else 0


def running(pid: int) -> bool:
    """Tell whether a process runs."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class DemoCommand(LocalCommand):
    """Runs the demo on a deployment of its own."""

    name = "demo"
    description = "Send mixed requests, kill an endpoint, and print the outcomes"
    options = [*SIZE_OPTIONS]

    def handle(self) -> int:
        deployment = self.deployment()
        try:
            deployment.up()
            report = asyncio.run(run_demo(deployment))
        finally:
            deployment.down()
        self.line(report.table())
        return 0 if report.passed else 1


def main() -> None:
    """Run the command that the arguments name."""
    application = Application("lacewingcourse-local")
    for command in (UpCommand, DownCommand, DemoCommand):
        application.add(command())
    sys.exit(application.run())
