"""The command that runs a local deployment."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.testing.demo import run_demo
from lacewingcourse.testing.deployment import (
    Deployment,
    DeploymentOptions,
    StartError,
)
from lacewingcourse.testing.layout import ZONES
from lacewingcourse.testing.state_file import launcher_of, write_state

#: Where the state file stands when no other place is named.
DEFAULT_STATE = "out/local.json"
#: Seconds that `down` waits for the end of the deployment.
DOWN_TIMEOUT = 60.0
#: Seconds between two looks whether the deployment has ended.
DOWN_INTERVAL = 0.1
#: Exit code for options that cannot be served.
BAD_OPTIONS = 2

SIZE_OPTIONS = [
    option("entries", None, "Entries, 1 at least", flag=False, default="1"),
    option(
        "endpoints",
        None,
        "Endpoints of the model, 2 at least, so that each layer is held twice",
        flag=False,
        default="4",
    ),
    option("layers", None, "Layers of the model", flag=False, default="24"),
    option("step-time", None, "Seconds of a step", flag=False, default="0.004"),
    option("logs", None, "Show the log lines of all processes", flag=True),
]
STATE_OPTION = option("state", None, "State file", flag=False, default=DEFAULT_STATE)


class Stopped(Exception):
    """The launcher was asked to end."""


class BadOption(Exception):
    """An option cannot be served."""


def stop_on_signals() -> None:
    """Raise `Stopped` on the first SIGTERM or SIGINT; ignore later ones."""

    def stop(number, frame):
        for each in (signal.SIGTERM, signal.SIGINT):
            signal.signal(each, signal.SIG_IGN)
        raise Stopped

    for each in (signal.SIGTERM, signal.SIGINT):
        signal.signal(each, stop)


class LocalCommand(Command):
    """Base of the commands that start a deployment."""

    def handle(self) -> int:
        stop_on_signals()
        try:
            return self.run_deployment(Deployment(self.deployment_options()))
        except BadOption as error:
            self.line_error(str(error))
            return BAD_OPTIONS
        except StartError as error:
            self.line_error(f"could not start: {error}")
            return 1
        except Stopped:
            return 0

    def run_deployment(self, deployment: Deployment) -> int:
        """Start a deployment, use it and stop it."""
        raise NotImplementedError

    def deployment_options(self) -> DeploymentOptions:
        """Return the checked options."""
        return DeploymentOptions(
            entries=self.number("entries", int, 1),
            endpoints=self.number("endpoints", int, 2),
            layers=self.number("layers", int, 1),
            step_time=self.number("step-time", float, 0.0),
            verbose=self.option("logs"),
        )

    def number(self, name: str, kind: type, least: float):
        """Return an option as a number.

        Raises:
            BadOption: It is no such number or too small.
        """
        text = self.option(name)
        wanted = "a whole number" if kind is int else "a number"
        try:
            value = kind(text)
        except ValueError:
            raise BadOption(f"--{name}: {text!r} is not {wanted}") from None
        if not least <= value < float("inf"):
            raise BadOption(f"--{name}: {text} is not {wanted} of at least {least}")
        return value


class UpCommand(LocalCommand):
    """Starts a deployment and runs it until asked to end."""

    name = "up"
    description = "Start a local deployment and keep it running until SIGTERM or down"
    options = [*SIZE_OPTIONS, STATE_OPTION]

    def deployment_options(self) -> DeploymentOptions:
        options = super().deployment_options()
        path = Path(self.option("state"))
        if launcher_of(path) is not None:
            raise BadOption(f"--state: {path} belongs to a deployment that runs")
        check_writable(path)
        return options

    def run_deployment(self, deployment: Deployment) -> int:
        path = Path(self.option("state"))
        self.line(f"log files: {deployment.log_directory}")
        try:
            deployment.up()
            write_state(path, deployment)
            self.line(f"ready: {path}")
            self.line(f"availability zones: {', '.join(ZONES)}")
            while True:
                signal.pause()
        finally:
            path.unlink(missing_ok=True)
            deployment.down(keep_logs=isinstance(sys.exc_info()[1], StartError))


def check_writable(path: Path) -> None:
    """Make the directory of a state file and remove an old file.

    Raises:
        BadOption: The file could not be written.
    """
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.unlink(missing_ok=True)
        path.touch()
        path.unlink()
    except OSError as error:
        raise BadOption(f"--state: {path}: {error.strerror}") from None


class DownCommand(Command):
    """Stops a deployment that was started with `up`."""

    name = "down"
    description = "Stop a local deployment; nothing happens if none runs"
    options = [STATE_OPTION]

    def handle(self) -> int:
        path = Path(self.option("state"))
        pid = launcher_of(path)
        if pid is None:
            path.unlink(missing_ok=True)
            self.line(f"no deployment runs under {path}")
            return 0
        try:
            os.kill(pid, signal.SIGTERM)
        except ProcessLookupError:
            return 0
        deadline = time.monotonic() + DOWN_TIMEOUT
        while launcher_of(path) is not None and time.monotonic() < deadline:
            time.sleep(DOWN_INTERVAL)
        while running(pid) and time.monotonic() < deadline:
            time.sleep(DOWN_INTERVAL)
        if running(pid):
            self.line_error(f"process {pid} has not ended in {DOWN_TIMEOUT:.0f} s")
            return 1
        return 0


def running(pid: int) -> bool:
    """Tell whether a process runs; one that ended but was not waited for does not."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    return status.rpartition(")")[2].split()[0] != "Z"


class DemoCommand(LocalCommand):
    """Runs the demo on a deployment of its own."""

    name = "demo"
    description = "Send mixed requests, kill an endpoint, and print the outcomes"
    options = [*SIZE_OPTIONS]

    def run_deployment(self, deployment: Deployment) -> int:
        try:
            deployment.up()
            report = asyncio.run(run_demo(deployment))
        finally:
            deployment.down(keep_logs=isinstance(sys.exc_info()[1], StartError))
        self.line(report.table())
        return 0 if report.passed else 1


def main() -> None:
    """Run the command that the arguments name."""
    application = Application("lacewingcourse-local")
    for command in (UpCommand, DownCommand, DemoCommand):
        application.add(command())
    sys.exit(application.run())
