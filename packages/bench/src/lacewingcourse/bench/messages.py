"""Sizes of the messages between the processes, as they are encoded."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lacewingcourse.backing.instances import Instance, InstanceRole
from lacewingcourse.bench.figures import single
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages import (
    Hop,
    HopBatch,
    OpenStage,
    Prompt,
    Revoke,
    Sampling,
    StageAddress,
    Token,
    TokenBatch,
)
from lacewingcourse.wire.auth import AUTH_HEADER, sign
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from lacewingcourse.bench.figures import Figure

#: Names as long as those in use.
STREAM = "0123456789abcdef" * 2
INCARNATION = "0123456789abcdef"
URL = "http://10.20.30.40:8000"
#: Items of a large batch.
BATCH = 8


def address(index: int) -> StageAddress:
    """Return the address of a stage."""
    layers = LayerRange(8 * index, 8 * index + 8)
    return StageAddress(f"endpoint-{index}", URL, INCARNATION, layers)


def hops(count: int) -> HopBatch:
    """Return a batch of hops of one token each."""
    hop = Hop(STREAM, 1, LayerRange(8, 16), 123, (123456789012345678,), 16)
    return HopBatch("endpoint-1", INCARNATION, (hop,) * count)


def tokens(count: int) -> TokenBatch:
    """Return a batch of tokens."""
    token = Token(STREAM, 1, 123, 4012, "banape ", 16)
    return TokenBatch("endpoint-1", INCARNATION, (token,) * count)


def opening() -> OpenStage:
    """Return the message that opens the first of three stages."""
    return OpenStage(
        stream=STREAM,
        attempt=1,
        index=0,
        stages=tuple(address(index) for index in range(3)),
        entry_url=URL,
        organisation="organisation-1",
        work_class="room-naming",
        priority=0.5,
        sampling=Sampling(),
        token_limit=256,
        prompt=Prompt("name the room on this fresh scan"),
    )


def wire_size(path: str, message: Any) -> int:
    """Return the bytes of a request with its headers."""
    body = encode(message)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: 10.20.30.40:8000\r\n"
        f"User-Agent: Mozilla/5.0 (compatible; pycurl)\r\nAccept: */*\r\n"
        f"Accept-Encoding: gzip,deflate\r\nContent-Type: application/json\r\n"
        f"{AUTH_HEADER}: {sign('x' * 32, path, body)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return len(head) + len(body)


def message_figures() -> list[Figure]:
    """Return the sizes of the messages of a stream."""
    sizes = [
        ("open a stage of three", "/wire/open", opening()),
        ("revoke", "/wire/revoke", Revoke(STREAM, 1, INCARNATION)),
        ("hop, alone", "/wire/hops", hops(1)),
        (f"hops, {BATCH} in a batch", "/wire/hops", hops(BATCH)),
        ("token, alone", "/wire/tokens", tokens(1)),
        (f"tokens, {BATCH} in a batch", "/wire/tokens", tokens(BATCH)),
    ]
    figures = [
        single(f"message: {name}", "bytes", wire_size(path, message))
        for name, path, message in sizes
    ]
    instance = Instance("endpoint-1234", InstanceRole.ENDPOINT, "kgn-hall-a", URL)
    size = len(encode(instance)) + 1
    return [*figures, single("instance list: an instance", "bytes", size)]
