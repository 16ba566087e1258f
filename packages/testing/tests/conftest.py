"""Fixtures of the tests of single stand-ins."""

from __future__ import annotations

from contextlib import ExitStack

import pytest

from lacewingcourse.testing.processes import (
    Process,
    free_ports,
    python_command,
    wait_until,
)


@pytest.fixture
def start_standin():
    """Return a function that starts a stand-in as a process of its own."""
    with ExitStack() as stack:

        def start(kind: str, *arguments: str) -> Process:
            (port,) = free_ports(1)
            url = f"http://127.0.0.1:{port}"
            command = python_command(
                "lacewingcourse.testing", kind, f"--port={port}", *arguments
            )
            process = Process(kind, url, url, command, {})
            process.start()
            stack.callback(process.kill)
            wait_until(lambda: process.ready("/healthz"), 30.0, f"{kind} is not ready")
            return process

        yield start
