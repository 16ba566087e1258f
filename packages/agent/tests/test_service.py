"""Tests of the client of a plain service."""

from __future__ import annotations

import asyncio

import pytest

from lacewingcourse.agent.service import ServiceClient
from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.messages import Call

#: Heads of answers with a length and without one.
HEADS = [
    b"HTTP/1.1 200 OK\r\nX-Tally: 3\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Tally: 3\r\n\r\n",
]


def call_of(path: str) -> Call:
    """Return a call without a body."""
    return Call("c", "i", "blue", "tally", "GET", path, (), "", "")


@pytest.mark.parametrize("head", HEADS, ids=["length", "close"])
def test_an_answer_that_ends_within_its_head_is_not_passed_on_as_a_success(head):
    async def test():
        for length in range(len(head)):

            async def serve(reader, writer, length=length):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head[:length])
                writer.close()

            async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
                host, port = server.sockets[0].getsockname()
                client = ServiceClient(f"http://{host}:{port}", 5.0)
                reply = await client.run(call_of("/door"), "i")
                assert reply.kind is ErrorKind.ENDPOINT_FAILED
                assert reply.outcome is Outcome.UNKNOWN

    asyncio.run(test())
