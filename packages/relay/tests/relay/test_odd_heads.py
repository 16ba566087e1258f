"""Tests of responses whose heads and chunks contain odd numbers."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings, strategies as st
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httputil import HTTPHeaders

from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.upstream import Data, End, Exchange, Head
from lacewingcourse.relay.whole_responses import NO_RESPONSE_STATUS, fetch_whole

from .test_caller import run

DIGITS = b"9" * 5_000
#: Status codes that are none, or that stand for no final response.
BAD_STATUSES = [b"", b"-200", b"+200", b"2e2", b"20", b"1000", b"inf", b"\xb2", DIGITS]
BAD_STATUSES += [b"000", b"007", b"099", b"101", b"199", b"600", b"700", b"999"]
#: Lengths that are none, or that a response does not reach.
BAD_LENGTHS = [b"", b"-1", b"+2", b"2.0", b"2e0", b"0x2", b"inf", b"nan", b"\xb2"]
BAD_LENGTHS += [b"2,3", b"18446744073709551616", DIGITS]
#: Lengths of chunks that are none, or that a response does not reach.
BAD_CHUNKS = [b"", b"-2", b"+2", b"0x2", b"2.0", b"inf", b"\xb2", b"2;" + DIGITS]
BAD_CHUNKS += [b"f" * 16, b"f" * 60, b"f" * 5_000]


def response(status=b"200 OK", head=b"Content-Length: 2\r\n", body=b"ok") -> bytes:
    """Return the bytes of a response."""
    return b"HTTP/1.1 %b\r\nX-Request: r\r\n%b\r\n%b" % (status, head, body)


async def receive(written: bytes) -> list:
    """Return all that arrives of a response; the reading must not raise."""

    async def endpoint(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(written)
            await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async with await asyncio.start_server(endpoint, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        connection = await ConnectionPool().connect(f"{host}:{port}")
        exchange = Exchange(connection, lambda _, h: h.get("X-Request") == "r")
        exchange.start("GET", "/", HTTPHeaders({"Host": "h"}), b"")
        arrivals = []
        while not arrivals or not isinstance(arrivals[-1], End):
            arrivals.append(await asyncio.wait_for(exchange.arrivals.get(), 5.0))
        await exchange.task
        exchange.abandon()
        return arrivals


def arrivals_of(written: bytes) -> list:
    """Return all that arrives of a response."""
    found = []

    async def test():
        found.extend(await receive(written))

    run(test)
    return found


def assert_well_formed(arrivals: list) -> None:
    """Assert that a body arrives only after the head of its response."""
    if isinstance(arrivals[0], Head):
        assert 200 <= arrivals[0].status <= 599
        assert all(isinstance(arrival, Data) for arrival in arrivals[1:-1])
    else:
        assert len(arrivals) == 1
        assert not arrivals[0].complete


@pytest.mark.parametrize("status", BAD_STATUSES, ids=lambda status: status[:8])
def test_a_status_that_does_not_exist_is_no_response(status):
    """A body arrived without a head, and its stream failed as a defect."""
    arrivals = arrivals_of(response(status + b" X"))
    assert_well_formed(arrivals)
    assert [type(arrival) for arrival in arrivals] == [End]


@pytest.mark.parametrize("length", BAD_LENGTHS, ids=lambda length: length[:8])
def test_a_length_that_is_none_leaves_a_response_incomplete(length):
    arrivals = arrivals_of(response(head=b"Content-Length: %b\r\n" % length))
    assert_well_formed(arrivals)
    assert not arrivals[-1].complete


@pytest.mark.parametrize("chunk", BAD_CHUNKS, ids=lambda chunk: chunk[:8])
def test_a_chunk_whose_length_is_none_leaves_a_response_incomplete(chunk):
    body = chunk + b"\r\nok\r\n0\r\n\r\n"
    arrivals = arrivals_of(response(head=b"Transfer-Encoding: chunked\r\n", body=body))
    assert_well_formed(arrivals)
    assert not arrivals[-1].complete


@pytest.mark.parametrize(
    "head",
    [
        b"".join(b"A%d: 1\r\n" % number for number in range(20_000)),
        b"A: " + b"x" * 70_000 + b"\r\n",
        b"A" * 70_000 + b": 1\r\n",
        b"A B: 1\r\n",
        b"A: \0\r\n",
        b"no colon\r\n",
        b" folded: 1\r\n",
    ],
    ids=["many", "long", "long name", "name", "zero byte", "no colon", "folded"],
)
def test_a_head_beyond_all_bounds_is_no_response(head):
    assert [type(arrival) for arrival in arrivals_of(response(head=head))] == [End]


@pytest.mark.parametrize("repeated", [b"A: 1\r\n", b"Keep-Alive: timeout=5\r\n"])
def test_a_head_of_very_many_fields_is_read(repeated):
    head = repeated * 2_000 + b"Content-Length: 2\r\n"
    arrivals = arrivals_of(response(head=head))
    assert_well_formed(arrivals)
    assert arrivals[-1].complete


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.integers(0, 1_100).map(b"%03d".__mod__) | st.binary(max_size=6),
    st.integers(-3, 2**70).map(b"%d".__mod__) | st.binary(max_size=20),
    st.integers(0, 2**70).map(b"%x".__mod__) | st.binary(max_size=20),
    st.booleans(),
)
def test_a_response_with_any_numbers_is_read_to_its_end(status, length, chunk, framed):
    head = b"Content-Length: %b\r\n" % length
    if framed:
        head = b"Transfer-Encoding: chunked\r\n"
    body = chunk + b"\r\nok\r\n0\r\n\r\n"
    assert_well_formed(arrivals_of(response(status + b" X", head, body)))


async def fetch(written: bytes, method: str = "GET") -> tuple[int, int]:
    """Return the status of a response received with curl, and the requests sent.

    The status is 599 for no response.
    """
    requests = 0

    async def endpoint(reader, writer):
        nonlocal requests
        requests += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(written)
        writer.close()

    async with await asyncio.start_server(endpoint, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        client = CurlAsyncHTTPClient(force_instance=True)
        body = b"" if method == "POST" else None
        url = f"http://{host}:{port}/"
        request = HTTPRequest(url, method, body=body, request_timeout=5.0)
        try:
            status = (await fetch_whole(client, request)).code
        except HTTPError as error:
            status = error.code
        client.close()
        return status, requests


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "target", [b"/", b"http://[::1", b"http://h:99999/", b"/ \xff"]
)
def test_a_redirect_is_not_followed(method, target):
    """The answer of another process was taken for that of the one that was asked."""

    async def test():
        head = b"Location: %b\r\nContent-Length: 2\r\n" % target
        assert await fetch(response(b"302 Found", head), method) == (302, 1)

    run(test)


@pytest.mark.parametrize("status", BAD_STATUSES, ids=lambda status: status[:8])
def test_a_status_that_does_not_exist_is_no_response_to_curl(status):
    async def test():
        found, _ = await fetch(response(status + b" X"))
        assert found == NO_RESPONSE_STATUS

    run(test)
