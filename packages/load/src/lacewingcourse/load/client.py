"""Sends one streamed request and measures its answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import orjson
from tornado.httpclient import HTTPRequest

from lacewingcourse.wire.client import NO_RESPONSE_STATUS, fetch

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

    from lacewingcourse.load.mix import PlannedRequest

#: Header that names the class of work.
CLASS_HEADER = "X-Work-Class"
EVENT_START = b"data: "
EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
#: Kind of a request whose answer never came or was cut.
LOST = "connection_lost"
#: Kind of a request whose caller went away before the answer was whole.
LEFT = "caller_left"


@attrs.define
class Sample:
    """What one sent request came to; times are of one monotonic clock, seconds.

    Attributes:
        request: The request.
        due_at: When it was to be sent.
        tries: How often it was sent before, after refusals.
        first_at: When the first token came, or 0.0.
        last_at: When the latest token came.
        ended_at: When all was over.
        tokens: Tokens that came.
        finished: Whether the answer said that it is whole.
        status: HTTP status.
        kind: Kind of a refusal or of a broken answer, or empty.
        outcome: What the refusal says of the effect.
        retry_after: Seconds that the refusal asks to wait, or None.
        gaps: Seconds between consecutive tokens.
    """

    request: PlannedRequest
    due_at: float
    tries: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    finished: bool = False
    status: int = 0
    kind: str = ""
    outcome: str = ""
    retry_after: float | None = None
    gaps: list[float] = attrs.field(factory=list)

    @property
    def whole(self) -> bool:
        """Whether the caller has the whole answer."""
        return self.finished and not self.kind

    @property
    def refused(self) -> bool:
        """Whether nothing of an answer came, but a reason did."""
        return bool(self.kind) and not self.tokens and self.kind not in (LOST, LEFT)

    @property
    def left(self) -> bool:
        """Whether the caller went away before the answer was whole."""
        return self.kind == LEFT

    @property
    def cut(self) -> bool:
        """Whether the answer began, but was not made whole for a caller who waited."""
        return not self.whole and self.tokens > 0 and not self.left

    @property
    def first_token(self) -> float:
        """Seconds from the due time to the first token."""
        return self.first_at - self.due_at

    @property
    def answer(self) -> float:
        """Seconds from the due time to the end."""
        return self.ended_at - self.due_at

    @property
    def between_tokens(self) -> float:
        """Mean seconds between tokens."""
        if self.tokens < 2:
            return 0.0
        return (self.last_at - self.first_at) / (self.tokens - 1)

    @property
    def in_target(self) -> bool:
        """Whether the answer is whole and within its class target."""
        target = self.request.work_class.target
        pairs = (
            (self.first_token, target.first_token),
            (self.between_tokens, target.between_tokens),
            (self.answer, target.answer),
        )
        return self.whole and all(
            limit is None or value <= limit for value, limit in pairs
        )


@attrs.define
class EventMeter:
    """Reads server-sent events and notes when tokens came."""

    sample: Sample
    rest: bytes = b""

    def feed(self, piece: bytes) -> None:
        """Take the next piece of the body."""
        now = time.monotonic()
        *events, self.rest = (self.rest + piece).split(EVENT_END)
        for event in events:
            if event.startswith(EVENT_START) and event != DONE:
                self._take(orjson.loads(event[len(EVENT_START) :]), now)

    def _take(self, document: dict, now: float) -> None:
        if "error" in document:
            self.sample.kind = document["error"].get("kind", "unnamed")
            self.sample.outcome = document["error"].get("outcome", "")
            return
        for choice in document["choices"]:
            if choice.get("text"):
                self._take_token(now)
            if choice.get("finish_reason"):
                self.sample.finished = True

    def _take_token(self, now: float) -> None:
        sample = self.sample
        if sample.tokens:
            sample.gaps.append(now - sample.last_at)
        else:
            sample.first_at = now
        sample.tokens += 1
        sample.last_at = now


async def send(
    http: AsyncHTTPClient, url: str, model: str, sample: Sample, patience: float
) -> None:
    """Send a request and fill in what came of it.

    Args:
        http: The HTTP client.
        url: Base URL of an entry.
        model: Name of the model where the class names none.
        sample: Holds the request; gets the result.
        patience: Seconds after which the caller goes away.
    """
    planned = sample.request
    meter = EventMeter(sample)
    headers = {
        "Authorization": f"Bearer {planned.organisation.key}",
        "Content-Type": "application/json",
    }
    if planned.work_class.name:
        headers[CLASS_HEADER] = planned.work_class.name
    body = {
        "model": planned.work_class.model or model,
        "prompt": planned.prompt,
        "max_tokens": planned.max_tokens,
        "stream": True,
    }
    request = HTTPRequest(
        url + "/v1/completions",
        method="POST",
        body=orjson.dumps(body),
        headers=headers,
        connect_timeout=patience,
        request_timeout=patience,
        streaming_callback=meter.feed,
    )
    sent_at = time.monotonic()
    response = await fetch(http, request)
    sample.ended_at = time.monotonic()
    sample.status = response.code
    waited = sample.ended_at - sent_at >= patience
    read_end(sample, response, meter.rest, waited)


def read_end(sample: Sample, response, rest: bytes, waited: bool) -> None:
    """Note why an answer is not whole.

    Args:
        sample: Gets the reason.
        response: What the HTTP client returned.
        rest: Body that was not an event.
        waited: Whether the caller's patience had run out.
    """
    if sample.finished or sample.kind:
        return
    if response.code == NO_RESPONSE_STATUS and waited:
        sample.kind = LEFT
        return
    if response.code in (200, NO_RESPONSE_STATUS):
        sample.kind = LOST
        sample.outcome = "unknown"
        return
    problem = parse_problem(rest)
    sample.kind = problem.get("kind", f"http_{response.code}")
    sample.outcome = problem.get("outcome", "")
    sample.retry_after = parse_retry_after(response.headers.get("Retry-After"))


def parse_problem(body: bytes) -> dict:
    """Return the problem document of a refusal, empty if there is none."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}


def parse_retry_after(text: str | None) -> float | None:
    """Return the seconds of a `Retry-After` header, or None."""
    try:
        return float(text) if text else None
    except ValueError:
        return None
