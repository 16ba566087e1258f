"""How far a stage of an attempt has come."""

from __future__ import annotations

import attrs


@attrs.frozen
class ReportRequest:
    """Entry to agent: say how far a stage of an attempt has come."""

    stream: str
    attempt: int


@attrs.frozen
class StageReport:
    """Agent to entry: how far a stage has come and what it waits for.

    Attributes:
        incarnation: Incarnation of the answering agent.
        attempt: Attempt that the agent holds of the stream, 0 if none.
        accepted: Positions that the stage has accepted.
        done: Positions that its engine has run.
        engine_late: Whether its engine has work and is late with it.
        hop_wait: Seconds the oldest hop to the next stage waits for its receipt.
        token_wait: Seconds the oldest token to the entry waits for its receipt.
    """

    incarnation: str
    attempt: int
    accepted: int = 0
    done: int = 0
    engine_late: bool = False
    hop_wait: float = 0.0
    token_wait: float = 0.0
