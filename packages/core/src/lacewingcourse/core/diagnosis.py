"""Finds the stage at which a silent stream stands still, from the stages' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewingcourse.core.messages import StageAddress, StageReport

#: Seconds that a hop may wait for its receipt before its link is taken for lost.
HOP_PATIENCE = 1.0


@attrs.frozen
class Finding:
    """Where a stream stands still.

    Attributes:
        endpoints: Endpoints at fault.
        kind: What went wrong.
        reason: What went wrong, for a person.
    """

    endpoints: tuple[str, ...]
    kind: ErrorKind
    reason: str


def diagnose(
    attempt: int,
    stages: Sequence[StageAddress],
    reports: Sequence[StageReport | None],
) -> Finding | None:
    """Return where an attempt stands still, or None if it is only slow.

    Args:
        attempt: Number of the attempt.
        stages: Its stages in order.
        reports: What each stage's agent said, None if it did not answer.
    """
    checks = (_silent, _forgotten, _stuck_engine, _lost_entry_link, _lost_link)
    for check in checks:
        finding = check(attempt, stages, reports)
        if finding is not None:
            return finding
    return None


def standstill(reports: Sequence[StageReport]) -> tuple[int, ...] | None:
    """Return the stages' positions if each has run all that it got, else None."""
    if reports[0].done == 0:
        return None
    if any(report.accepted != report.done for report in reports):
        return None
    return tuple(report.done for report in reports)


def _silent(attempt, stages, reports) -> Finding | None:
    """Find agents that do not answer."""
    lost = _names(stages, reports, lambda report: report is None)
    return _finding(lost, ErrorKind.STAGE_LOST, "its agent does not answer")


def _forgotten(attempt, stages, reports) -> Finding | None:
    """Find agents that do not hold the attempt."""
    lost = _names(stages, reports, lambda report: report.attempt != attempt)
    return _finding(lost, ErrorKind.STAGE_LOST, "its agent lost the attempt")


def _stuck_engine(attempt, stages, reports) -> Finding | None:
    """Find engines that have not finished a step for too long."""
    lost = _names(stages, reports, lambda report: report.engine_late)
    return _finding(lost, ErrorKind.ENDPOINT_FAILED, "its engine does not answer")


def _lost_entry_link(attempt, stages, reports) -> Finding | None:
    """Find a last stage whose tokens do not reach the entry."""
    lost = _names(stages, reports, lambda report: report.token_wait > HOP_PATIENCE)
    return _finding(lost, ErrorKind.STAGE_LOST, "its tokens do not arrive")


def _lost_link(attempt, stages, reports) -> Finding | None:
    """Find the receiver of the hop that waits longest for its receipt."""
    waits = [(report.hop_wait, index) for index, report in enumerate(reports)]
    wait, index = max(waits)
    if wait <= HOP_PATIENCE:
        return None
    receiver = stages[(index + 1) % len(stages)]
    return _finding((receiver.endpoint,), ErrorKind.STAGE_LOST, "hops do not reach it")


def _names(stages, reports, condition) -> tuple[str, ...]:
    """Return the endpoints whose reports meet a condition."""
    pairs = zip(stages, reports, strict=True)
    return tuple(stage.endpoint for stage, report in pairs if condition(report))


def _finding(endpoints, kind: ErrorKind, reason: str) -> Finding | None:
    return Finding(endpoints, kind, reason) if endpoints else None
