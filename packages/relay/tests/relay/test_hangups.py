"""Tests of the detection of connections that their peers have closed."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import pytest
from tornado.iostream import IOStream

from lacewingcourse.relay.hangups import HangupMonitor, has_hung_up, quiet_time

from .test_caller import run


class Listener:
    """Counts the reports of a close."""

    def __init__(self) -> None:
        self.reports = 0

    def on_hangup(self) -> None:
        self.reports += 1


@pytest.fixture
def connected():
    """Both ends of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    yield SimpleNamespace(peer=peer, accepted=accepted)
    peer.close()
    accepted.close()


@pytest.mark.parametrize("unread", [b"", b"x" * 100_000])
def test_a_close_behind_unread_bytes_is_seen(connected, unread):
    connected.peer.sendall(unread)
    assert not has_hung_up(connected.accepted)
    connected.peer.close()
    assert has_hung_up(connected.accepted)
    assert quiet_time(connected.accepted) < 10.0


def test_each_close_is_reported_once_to_the_last_listener(connected):
    async def test():
        stream = IOStream(connected.accepted)
        monitor, earlier, last = HangupMonitor(), Listener(), Listener()
        monitor.watch(stream, earlier)
        monitor.watch(stream, last)
        await asyncio.sleep(0.02)
        assert last.reports == 0
        connected.peer.sendall(b"unread")
        connected.peer.close()
        await asyncio.sleep(0.1)
        assert (earlier.reports, last.reports) == (0, 1)
        stream.close()

    run(test)


def test_a_descriptor_that_is_used_again_belongs_to_the_new_connection():
    async def test():
        monitor = HangupMonitor()
        for _ in range(3):
            with socket.create_server(("127.0.0.1", 0)) as server:
                peer = socket.create_connection(server.getsockname())
                accepted, _ = server.accept()
            stream, listener = IOStream(accepted), Listener()
            monitor.watch(stream, listener)
            peer.close()
            await asyncio.sleep(0.05)
            assert listener.reports == 1
            stream.close()

    run(test)
