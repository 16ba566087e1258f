"""A caller of the OpenAI-compatible interface."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.wire.client import fetch

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import AsyncHTTPClient

#: Seconds that an answer may take.
ANSWER_TIMEOUT = 120.0


@attrs.define
class CallerResult:
    """What a caller got.

    Attributes:
        status: HTTP status.
        text: Text of the answer.
        finish_reason: Why the answer ended, or empty if it did not.
        error: Problem document of a refusal or of a broken answer.
        token_count: Events with text.
        done: Whether the stream ended as it should.
    """

    status: int = 0
    text: str = ""
    finish_reason: str = ""
    error: dict = attrs.field(factory=dict)
    token_count: int = 0
    done: bool = False

    @property
    def whole(self) -> bool:
        """Whether the answer is whole."""
        return self.done and bool(self.finish_reason) and not self.error


@attrs.define
class EventReader:
    """Reads server-sent events from pieces of any size."""

    result: CallerResult
    on_text: Callable[[CallerResult], None] | None = None
    rest: bytes = b""

    def feed(self, piece: bytes) -> None:
        """Take the next piece of the body."""
        self.rest += piece
        while b"\n\n" in self.rest:
            event, self.rest = self.rest.split(b"\n\n", 1)
            if event.startswith(b"data: "):
                self._take(event[len(b"data: ") :])

    def _take(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.result.done = True
            return
        document = json.loads(data)
        if "error" in document:
            self.result.error = document["error"]
            return
        for choice in document["choices"]:
            self._take_choice(choice)

    def _take_choice(self, choice: dict) -> None:
        text = choice["text"] if "text" in choice else choice["delta"].get("content")
        if text:
            self.result.text += text
            self.result.token_count += 1
            if self.on_text is not None:
                self.on_text(self.result)
        self.result.finish_reason = choice.get("finish_reason") or ""


async def complete(
    http: AsyncHTTPClient,
    entry_url: str,
    key: str,
    model: str,
    prompt: str,
    max_tokens: int,
    on_text: Callable[[CallerResult], None] | None = None,
    headers: dict[str, str] | None = None,
) -> CallerResult:
    """Ask for a streamed completion and read it to its end."""
    result = CallerResult()
    reader = EventReader(result, on_text)
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    request = HTTPRequest(
        entry_url + "/v1/completions",
        method="POST",
        body=json.dumps(body),
        headers={
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            **(headers or {}),
        },
        request_timeout=ANSWER_TIMEOUT,
        streaming_callback=reader.feed,
    )
    response = await fetch(http, request)
    result.status = response.code
    if response.code != 200:
        result.error = parse_problem(reader.rest)
    return result


def parse_problem(body: bytes) -> dict:
    """Return the problem document of a refusal."""
    try:
        return json.loads(body)
    except ValueError:
        return {"kind": "unreadable", "outcome": "unknown"}
