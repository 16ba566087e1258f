"""Streams of this entry that run, by the endpoints on their paths."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.path import Path


@attrs.define(eq=False)
class RunningStream:
    """A stream that runs.

    Attributes:
        path: Its path.
        prompt_tokens: Tokens of its prompt.
        max_event_gap: Maximum seconds between two of its events, infinite for none.
        reading: Whether its prompt is still being read.
    """

    path: Path
    prompt_tokens: int
    max_event_gap: float
    reading: bool = True


@attrs.define
class RunningStreams:
    """The streams of this entry that run.

    Attributes:
        by_endpoint: Streams by id of the endpoint, in order of their starts.
        reading_tokens: Tokens of prompts that are being read, by id of the endpoint.
    """

    by_endpoint: dict[str, dict[RunningStream, None]] = attrs.field(factory=dict)
    reading_tokens: dict[str, int] = attrs.field(factory=dict)

    def begin(
        self, path: Path, prompt_tokens: int, max_event_gap: float
    ) -> RunningStream:
        """Add a stream whose prompt is read from now on, and return it."""
        stream = RunningStream(path, prompt_tokens, max_event_gap)
        for part in path.parts:
            self.by_endpoint.setdefault(part.endpoint, {})[stream] = None
        self._add_reading(stream, prompt_tokens)
        return stream

    def record_first_event(self, stream: RunningStream) -> None:
        """Record that a stream's prompt has been read."""
        if stream.reading:
            stream.reading = False
            self._add_reading(stream, -stream.prompt_tokens)

    def end(self, stream: RunningStream) -> None:
        """Remove a stream."""
        self.record_first_event(stream)
        for part in stream.path.parts:
            streams = self.by_endpoint.get(part.endpoint, {})
            streams.pop(stream, None)
            if not streams:
                self.by_endpoint.pop(part.endpoint, None)

    def sharing(self, path: Path, count: int) -> dict[RunningStream, None]:
        """Return up to about `count` streams that share an endpoint with a path."""
        found: dict[RunningStream, None] = {}
        for part in path.parts:
            found.update(self.by_endpoint.get(part.endpoint, {}))
            if len(found) >= count:
                break
        return found

    def _add_reading(self, stream: RunningStream, tokens: int) -> None:
        for part in stream.path.parts:
            left = self.reading_tokens.get(part.endpoint, 0) + tokens
            if left:
                self.reading_tokens[part.endpoint] = left
            else:
                self.reading_tokens.pop(part.endpoint, None)
