"""What a caller of a streamed answer asked for, where it stands, whom it reached."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.messages import Sampling, StageAddress


class Phase(Enum):
    """Where a stream stands."""

    CHOOSING = "choosing"
    OPENING = "opening"
    RUNNING = "running"
    REVOKING = "revoking"
    ENDED = "ended"


@attrs.frozen
class StreamRequest:
    """What a caller asked for.

    Attributes:
        stream: Name of the stream, unique for all time.
        organisation: Whose request it is.
        work_class: Class of work.
        model: Name of the model.
        prompt: The caller's prompt.
        sampling: How tokens are chosen.
        priority: Lower runs sooner.
        entry_url: Where agents reach this entry.
        pace: Seconds between tokens that the class asks for, 0.0 for none.
    """

    stream: str
    organisation: str
    work_class: str
    model: str
    prompt: str
    sampling: Sampling
    priority: float
    entry_url: str
    pace: float = 0.0


def same_agent(one: StageAddress, other: StageAddress) -> bool:
    """Tell whether two stages are run by the same incarnation of an agent."""
    return (one.endpoint, one.incarnation) == (other.endpoint, other.incarnation)


def distinct(stages: Iterable[StageAddress]) -> list[StageAddress]:
    """Return one address of each agent's incarnation."""
    found = {(stage.endpoint, stage.incarnation): stage for stage in stages}
    return list(found.values())
