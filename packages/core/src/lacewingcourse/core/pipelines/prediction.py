"""Prediction of the times of a stream on a path, and of its effect on others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.choice import Demand
    from lacewingcourse.core.pipelines.path import Path


@attrs.frozen
class StreamPrediction:
    """Predicted times of a stream that starts now.

    Attributes:
        first_event: Seconds to its first event.
        pause: Seconds between its events.
        others_pause: Longest pause in seconds of the streams that share an endpoint
            with it, once it runs.
    """

    first_event: float
    pause: float
    others_pause: float


class Predictor(Protocol):
    """Predicts streams, and learns from those that have run."""

    def predict(self, path: Path, demand: Demand, now: float) -> StreamPrediction:
        """Return the predicted times of a stream that starts on a path now."""

    def record_first_event(
        self, service: str, predicted: StreamPrediction, seen: float, now: float
    ) -> None:
        """Learn from the seconds to the first event of a stream."""

    def record_pauses(
        self, service: str, predicted: StreamPrediction, seen: float, now: float
    ) -> None:
        """Learn from the mean seconds between the events of a stream."""
