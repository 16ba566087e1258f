"""Starts and ends the processes of a local deployment."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.error import URLError
from urllib.request import urlopen

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Seconds between two looks at a condition.
POLL_INTERVAL = 0.03
#: Ports below the range that systems take for outgoing connections.
PORT_RANGE = (10_000, 32_000)
#: Ports that this process has not been given yet.
_unused: list[int] = []
#: Seconds that a process may take to end before it is killed.
END_TIMEOUT = 10.0


class WaitTimeout(Exception):
    """A condition did not come true."""


def free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that are free now.

    They lie outside the range that the system takes for outgoing connections, so
    that no connection takes one before its process listens or while it restarts.
    Test runners beside one another take them from ranges of their own. None is given
    twice, since a process that was given one may not listen on it yet: of 725 tests,
    11 failed in one run because a deployment was given a port of an earlier one.
    """
    global _unused
    found: list[int] = []
    while len(found) < count:
        if not _unused:
            _unused = list(port_range(os.environ))
            random.SystemRandom().shuffle(_unused)
        port = _unused.pop()
        if is_free(port):
            found.append(port)
    return found


def port_range(environment: Mapping[str, str]) -> range:
    """Return the ports from which this process may take some.

    Args:
        environment: Environment variables; a test runner beside others finds its
            name (`gw` and a number) and their count there.
    """
    worker = environment.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    count = int(environment.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    first, end = PORT_RANGE
    size = (end - first) // count
    start = first + int(worker) * size
    return range(start, start + size)


def is_free(port: int) -> bool:
    """Tell whether nothing listens on a port of the loopback address."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(condition, timeout: float, what: str) -> None:
    """Wait until a condition holds.

    Raises:
        WaitTimeout: It did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise WaitTimeout(what)
        time.sleep(POLL_INTERVAL)


def answers(url: str) -> bool:
    """Tell whether a URL answers with status 200."""
    try:
        with urlopen(url, timeout=2) as response:
            return response.status == 200
    except (URLError, OSError):
        return False


@attrs.define
class Process:
    """A child process.

    Attributes:
        name: Name for people.
        url: Base URL under which others reach it.
        listen_url: Base URL that it serves; differs from `url` behind a proxy.
        arguments: Its command line.
        variables: Its environment beside the inherited one.
        log_path: File that gets its log lines, or None for this process's output.
        popen: The running child.
    """

    name: str
    url: str
    listen_url: str
    arguments: tuple[str, ...]
    variables: Mapping[str, str]
    log_path: Path | None = None
    popen: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def start(self) -> None:
        """Start the child; its log lines go to a file or to this process's.

        The child ends when this process does, because it watches its standard input.
        """
        environment = {**os.environ, **self.variables}
        output = open(self.log_path, "ab") if self.log_path else None
        try:
            self.popen = subprocess.Popen(
                self.arguments,
                env=environment,
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
            )
        finally:
            if output:
                output.close()

    def ready(self, path: str = "/readyz") -> bool:
        """Tell whether the child answers that it is ready, asked without proxy."""
        return answers(self.listen_url + path)

    def alive(self) -> bool:
        """Tell whether the child runs."""
        return self.popen is not None and self.popen.poll() is None

    def last_line(self) -> str:
        """Return the last line that the child wrote to its log file."""
        if self.log_path is None or not self.log_path.exists():
            return "its log lines stand above"
        lines = self.log_path.read_text(errors="replace").split("\n")
        written = [line for line in lines if line.strip()]
        return written[-1] if written else "it wrote nothing"

    def kill(self) -> None:
        """End the child at once."""
        if self.alive():
            self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self) -> None:
        """Ask the child to end."""
        if self.alive():
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout: float = END_TIMEOUT) -> int:
        """Wait for the end of the child and return its exit code."""
        return self.popen.wait(timeout)

    def pause(self) -> None:
        """Stop the child from running until it is resumed."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused child run again."""
        self.popen.send_signal(signal.SIGCONT)


def python_command(module: str, *arguments: str) -> tuple[str, ...]:
    """Return the command line that runs a module as a child of this process."""
    return (sys.executable, "-m", "lacewingcourse.testing.child", module, *arguments)


def stop_all(processes: list[Process]) -> None:
    """Ask all to end, and kill those that do not."""
    for process in processes:
        if process.popen is not None:
            process.terminate()
    for process in processes:
        if process.popen is None:
            continue
        try:
            process.wait(END_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
