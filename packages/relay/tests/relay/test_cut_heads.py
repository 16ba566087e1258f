"""Tests of answers that end within their head."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.upstream import End, Exchange, Head
from lacewingcourse.relay.whole_responses import NO_RESPONSE_STATUS, fetch_whole

from .test_caller import LINGER_RESET, OTHER_REQUESTS_ANSWER, OWN_HEAD, run

#: The ends of heads: with a length, in chunks, up to the close, without a body.
HEADS = {
    "length": OWN_HEAD + b"Content-Length: 4\r\n\r\n",
    "empty": OWN_HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "close": OWN_HEAD + b"\r\n",
    "no_content": OWN_HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "line_feeds": (OWN_HEAD + b"Content-Length: 4\r\n\r\n").replace(b"\r\n", b"\n"),
}
#: What stands before them.
BEFORE = {
    "nothing": b"",
    "informational": b"HTTP/1.1 102 Processing\r\n\r\n",
    "other_answer": OTHER_REQUESTS_ANSWER,
}
WHOLE = OWN_HEAD + b"Content-Length: 2\r\n\r\nok"


@asynccontextmanager
async def endpoint(answer: bytes, reset: bool):
    """Run an endpoint that gives one whole answer, then this one and the end.

    The whole answer is left out on connections whose first request is for `/cut`.
    """

    async def serve(reader, writer):
        while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"GET /cut"):
            writer.write(WHOLE)
        writer.write(answer)
        await writer.drain()
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


async def ask(connection, target: str) -> list:
    """Send a request; return all that arrives of its answer."""
    exchange = Exchange(connection, lambda _, h: h.get("X-Request") == "r")
    exchange.start("GET", target, HTTPHeaders({"Host": "h"}), b"")
    arrivals = []
    while not arrivals or not isinstance(arrivals[-1], End):
        arrivals.append(await exchange.arrivals.get())
    return arrivals


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("before", list(BEFORE))
@pytest.mark.parametrize("head", list(HEADS))
def test_an_answer_that_ends_within_its_head_is_no_answer(head, before, kept, reset):
    async def test():
        pool = ConnectionPool()
        for length in range(len(HEADS[head])):
            answer = BEFORE[before] + HEADS[head][:length]
            async with endpoint(answer, reset) as address:
                connection = await pool.connect(address)
                if kept:
                    await ask(connection, "/whole")
                arrivals = await ask(connection, "/cut")
                assert not any(isinstance(each, Head) for each in arrivals)
                assert not arrivals[-1].complete
                connection.close()

    run(test)


async def fetch_cut(address: str, kept: bool) -> HTTPResponse | HTTPError:
    """Fetch an answer with curl; return it, or the error in its place."""
    client = CurlAsyncHTTPClient(force_instance=True)
    try:
        if kept:
            await fetch_whole(client, HTTPRequest(f"http://{address}/whole"))
        return await fetch_whole(client, HTTPRequest(f"http://{address}/cut"))
    except HTTPError as error:
        return error
    finally:
        client.close()


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("before", ["nothing", "informational"])
@pytest.mark.parametrize("head", list(HEADS))
def test_curl_answers_that_end_within_their_head_are_errors(head, before, kept, reset):
    async def test():
        for length in range(len(HEADS[head])):
            answer = BEFORE[before] + HEADS[head][:length]
            async with endpoint(answer, reset) as address:
                got = await fetch_cut(address, kept)
                assert isinstance(got, HTTPError)
                assert got.code == NO_RESPONSE_STATUS

    run(test)


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("before", ["nothing", "informational"])
def test_curl_answers_with_a_whole_head_are_answers(before, kept):
    trailers = b"2\r\nok\r\n0\r\nX-Trailer: t\r\n\r\n"
    bodies = {"length": b"some", "empty": b"", "chunks": trailers, "close": b"any"}

    async def test():
        for head, body in bodies.items():
            async with endpoint(BEFORE[before] + HEADS[head] + body, False) as address:
                got = await fetch_cut(address, kept)
                assert isinstance(got, HTTPResponse)
                assert got.code == 200

    run(test)
