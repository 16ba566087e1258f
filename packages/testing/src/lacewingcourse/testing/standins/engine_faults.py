"""Faults of the engine stand-in."""

from __future__ import annotations

import attrs


@attrs.frozen
class EngineFaults:
    """Faults of an engine.

    Attributes:
        crash_word: A prompt with this word ends the process.
        hang: Whether steps never end.
        fail: Whether steps fail at once.
        slowdown: Factor on the time of a step.
        load_lag: Seconds for which a load report stays as it was.
        event_delay: Seconds by which cache events are published late.
        event_gap: Every so many cache events one is never published; 0 is none.
        refuse_transfers: Whether forks, exports and imports are refused.
    """

    crash_word: str = ""
    hang: bool = False
    fail: bool = False
    slowdown: float = 1.0
    load_lag: float = 0.0
    event_delay: float = 0.0
    event_gap: int = 0
    refuse_transfers: bool = False
