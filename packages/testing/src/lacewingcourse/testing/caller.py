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
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    url = entry_url + "/v1/completions"
    return await ask(http, url, key, body, on_text, headers)


async def ask(
    http: AsyncHTTPClient,
    url: str,
    key: str,
    body: dict,
    on_text: Callable[[CallerResult], None] | None = None,
    headers: dict[str, str] | None = None,
) -> CallerResult:
    """Ask for an answer of the model, streamed or in one piece, and read it.

    Args:
        http: The HTTP client.
        url: URL of the interface, such as `http://10.0.0.1:8000/v1/completions`.
        key: Key of the organisation.
        body: The request.
        on_text: Called at each token of a streamed answer.
        headers: Further headers.
    """
    result = CallerResult()
    reader = EventReader(result, on_text)
    request = HTTPRequest(
        url,
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
    elif not body.get("stream"):
        take_whole(result, json.loads(reader.rest))
    return result


def take_whole(result: CallerResult, document: dict) -> None:
    """Take an answer that came in one piece."""
    (choice,) = document["choices"]
    result.text = choice["text"] if "text" in choice else choice["message"]["content"]
    result.finish_reason = choice["finish_reason"]
    result.token_count = document["usage"]["completion_tokens"]
    result.done = True


def parse_problem(body: bytes) -> dict:
    """Return the problem document of a refusal."""
    try:
        return json.loads(body)
    except ValueError:
        return {"kind": "unreadable", "outcome": "unknown"}
