"""Tests that no error ends a loop of a daemon."""

from __future__ import annotations

import asyncio
from functools import partial
from types import SimpleNamespace

import pytest
from loguru import logger

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.daemon.daemon import Daemon
from lacewingcourse.entry.lease_holder import LeaseHolder


@pytest.fixture
def failures():
    """Return the fields of the lines about errors in the background."""
    lines: list[dict] = []

    def write(message) -> None:
        if message.record["message"] == "a background task failed":
            lines.append(message.record["extra"])

    sink = logger.add(write)
    yield lines
    logger.remove(sink)


def make_daemon() -> Daemon:
    """Return a daemon that does not listen."""
    return Daemon(SimpleNamespace(shared_secret="s", instance_id="entry-1"))


@pytest.mark.parametrize("bound", [False, True])
def test_a_loop_goes_on_after_an_error_that_is_logged_with_its_name(bound, failures):
    calls: list[int] = []

    async def follow(step: int = 1) -> None:
        calls.append(step)
        if len(calls) == 1:
            raise RecursionError("deep")
        await asyncio.Event().wait()

    async def run() -> None:
        daemon = make_daemon()
        daemon.supervise(partial(follow, 1) if bound else follow)
        await asyncio.sleep(0.3)
        await daemon._end_tasks()

    asyncio.run(run())
    assert len(calls) == 2
    (line,) = failures
    assert line["work"].endswith("follow")


def test_the_leases_are_read_on_after_an_error(failures):
    """An error in the loop that reads the leases ended it until the next start."""
    reads: list[int] = []

    async def read(stream, offset, wait=0.0):
        reads.append(offset)
        if len(reads) == 1:
            raise ValueError("odd")
        await asyncio.sleep(0.05)
        return Refusal(ErrorKind.LOG_UNAVAILABLE, "away")

    async def run() -> None:
        daemon = make_daemon()
        holder = SimpleNamespace(
            log=SimpleNamespace(read=read),
            table=SimpleNamespace(offset=0, read_offset=0, next_offset=0),
            entry=daemon,
            candidates={},
            caught_up=False,
        )
        daemon.supervise(partial(LeaseHolder._read_for_ever, holder))
        await asyncio.sleep(0.4)
        await daemon._end_tasks()

    asyncio.run(run())
    assert len(reads) >= 2
    assert [line["work"] for line in failures] == ["LeaseHolder._read_for_ever"]
