"""Watches a stream for silence: when its stages are asked, and what that shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.diagnosis import standstill
from lacewingcourse.core.pace import Pace

if TYPE_CHECKING:
    from lacewingcourse.core.messages import StageReport

#: Seconds without a token after which the stages are asked, at the least.
MIN_SILENCE = 0.25
#: Seconds without a first token after which the stages are asked.
FIRST_SILENCE = 1.0
#: Questions that find the stages without work before the stream starts over.
STANDSTILLS = 2
#: Seconds between two questions to the stages at the most.
MAX_SILENCE = 5.0


@attrs.define
class SilenceWatch:
    """When the stages of one stream are asked how far they have come.

    Attributes:
        progress_at: When the stream last went ahead, seconds.
        pace: Learned time between two tokens.
        ask_at: When the stages are asked how far they have come, seconds.
        unanswered: Questions in a row that found no fault.
        stood_at: Positions of the stages when they last had no work, or None.
        reports: Answers of the stages that were asked, None while not asking.
    """

    progress_at: float = 0.0
    pace: Pace = attrs.field(factory=Pace)
    ask_at: float = 0.0
    unanswered: int = 0
    stood_at: tuple[int, ...] | None = None
    reports: dict[int, StageReport | None] | None = None

    def restart(self, now: float) -> None:
        """Wait for tokens of a new attempt."""
        self.ask_at = now + FIRST_SILENCE
        self.unanswered = 0
        self.reports = None

    def resume(self, now: float) -> None:
        """Wait for tokens after the caller has held the stream up."""
        self.progress_at = now
        self.ask_at = now + FIRST_SILENCE

    def note_token(self, now: float, usual: bool) -> None:
        """Put off the next question.

        Args:
            now: Present time in seconds.
            usual: Whether the time since the token before may be learned from.
        """
        if usual and self.unanswered == 0:
            self.pace.note(now - self.progress_at)
        self.unanswered = 0
        self.reports = None
        self.progress_at = now
        self.ask_at = now + self.pace.limit(MIN_SILENCE, FIRST_SILENCE)

    def due(self, now: float) -> bool:
        """Tell whether the stages should be asked now."""
        return self.reports is None and now >= self.ask_at

    def ask(self) -> None:
        """Begin to gather the answers of the stages."""
        self.reports = {}

    def gather(
        self, index: int, report: StageReport | None, count: int
    ) -> list[StageReport | None] | None:
        """Note a stage's answer; return all, in order, once `count` are there."""
        if self.reports is None:
            return None
        self.reports[index] = report
        if len(self.reports) < count:
            return None
        ordered = [self.reports[each] for each in range(count)]
        self.reports = None
        return ordered

    def stands_still(self, reports: list[StageReport | None], now: float) -> bool:
        """Tell whether stages without a fault have no work; else put off a question."""
        positions = standstill(reports)
        stuck = positions is not None and positions == self.stood_at
        self.stood_at = positions
        self.unanswered += 1
        if stuck and self.unanswered > STANDSTILLS:
            return True
        usual = self.pace.limit(MIN_SILENCE, FIRST_SILENCE)
        self.ask_at = now + min(MAX_SILENCE, usual * 2**self.unanswered)
        return False
