"""Property-based tests of streams whose engines write any bytes and end in any way."""

from __future__ import annotations

import re
from itertools import pairwise

import attrs
from hypothesis import HealthCheck, given, settings, strategies as st

from lacewingcourse.core.pipelines.event_form import read_event
from lacewingcourse.relay.upstream import End
from lacewingcourse.testing.virtual_time import run_virtual

from .stream_scenario import EVENT_COUNT, Engine, StreamScenario, event, whole_answer

#: Ends of a run by name; None for a run that falls silent.
ENDS = {
    "whole": End(True),
    "closed": End(True, by_close=True),
    "reset": End(False, "reset"),
    "silent": None,
}
#: Bytes that get into a run from elsewhere.
FOREIGN = [
    b"\n",
    b"\r\n\r\n",
    b"id: 7\n",
    b"data: other\n\n",
    b"id: 3\ndata: other 3\n\n",
    event(1),
    event(6),
    "id: ²\ndata: x\n\n".encode("latin1"),
    b"id: " + b"9" * 5_000 + b"\ndata: x\n\n",
]
EVENT_BYTES = len(event(1))
MAX_POSITION = len(whole_answer())
#: Any byte of a response, or one near the end of an event.
positions = st.integers(0, MAX_POSITION) | st.builds(
    lambda number, offset: max(0, number * EVENT_BYTES + offset),
    st.integers(0, EVENT_COUNT),
    st.integers(-6, 6),
)


@attrs.frozen
class Change:
    """A change of the bytes of a run.

    Attributes:
        kind: Name of the change.
        at: Position of the first byte.
        size: Number of bytes.
        bytes: Bytes that are written there.
    """

    kind: str
    at: int
    size: int
    bytes: bytes

    def apply(self, sound: bytes) -> bytes:
        """Return the changed bytes."""
        at = min(self.at, len(sound))
        end = at + self.size
        if self.kind == "drop":
            return sound[:at] + sound[end:]
        if self.kind == "double":
            return sound[:end] + sound[at:]
        if self.kind == "spoil":
            return sound[:at] + self.bytes[:1] + sound[at + 1 :]
        return sound[:at] + self.bytes + sound[at:]


changes = st.builds(
    Change,
    st.sampled_from(["spoil", "drop", "double", "insert"]),
    positions,
    st.integers(1, 8) | st.sampled_from([EVENT_BYTES, 2 * EVENT_BYTES]),
    st.sampled_from(FOREIGN) | st.binary(min_size=1, max_size=6),
)


@attrs.define
class Run:
    """What an engine writes.

    Attributes:
        changes: Changes of the sound bytes.
        cut: Byte after which it ends, None for its last one.
        end: Name of its end.
        chunk: Bytes that it writes at a time.
        ignores_position: Whether it begins with the first event, whatever is asked.
        written: All that it writes, None before it was sent.
    """

    changes: list[Change]
    cut: int | None
    end: str
    chunk: int
    ignores_position: bool = False
    written: bytes | None = None

    @property
    def is_sound(self) -> bool:
        """Whether it writes sound bytes until it ends or breaks off."""
        is_whole = self.cut is None or self.end in ("reset", "silent")
        return not self.changes and not self.ignores_position and is_whole

    @property
    def ends_complete(self) -> bool:
        """Whether it ends complete by its framing."""
        end = ENDS[self.end]
        return end is not None and end.complete

    def chunks(self, after: str) -> list[bytes]:
        """Return what it writes after the event that it was given."""
        first = 1 if self.ignores_position else int(after or 0) + 1
        written = b"".join(event(n) for n in range(first, EVENT_COUNT + 1))
        for change in self.changes:
            written = change.apply(written)
        self.written = written[: self.cut]
        starts = range(0, len(self.written), self.chunk)
        return [self.written[start : start + self.chunk] for start in starts]


runs = st.builds(
    Run,
    st.lists(changes, max_size=2),
    st.none() | positions,
    st.sampled_from(sorted(ENDS)),
    st.sampled_from([5, 22, 23, 60, 1_000]),
    st.sampled_from([False, False, False, True]),
)


def split(body: bytes) -> list[bytes]:
    """Return the events of a body, and the line ends that may follow them."""
    return re.findall(rb".*?\n\r?\n|[\r\n]+$", body, re.DOTALL)


def is_numbered(events: list[bytes], first: int) -> bool:
    """Return whether events have the positions from the first one on."""
    found = [read_event(one) for one in events]
    return found == list(range(first, first + len(events)))


def without_line_ends(events: list[bytes]) -> list[bytes]:
    """Return events without the line ends that stand between them."""
    return [one for one in events if one.strip(b"\r\n")]


def is_one_run(body: bytes, run: Run) -> bool:
    """Return whether a body is all of a run that ended complete, its ids rising.

    Comments between its events belong to it.
    """
    if run.written is None or not run.ends_complete or body != run.written:
        return False
    found = [read_event(one) for one in without_line_ends(split(body))]
    events = [one for one in found if one is not None]
    are_events = all(isinstance(one, int) for one in events)
    return are_events and all(one < other for one, other in pairwise(events))


def is_two_runs(body: bytes, first: Run, second: Run) -> bool:
    """Return whether a body is events of two runs, each the next one."""
    if first.written is None or second.written is None or not second.ends_complete:
        return False
    events = split(body)
    for count in range(1, len(events) + 1):
        kept = b"".join(events[:count])
        rest = body[len(kept) :]
        before = split(second.written.removesuffix(rest)) if rest else []
        if not first.written.startswith(kept) or not second.written.endswith(rest):
            continue
        if not rest and second.written:
            before = split(second.written)
        had, before = without_line_ends(events[:count]), without_line_ends(before)
        repeats = not before or before[-1:] == had[-1:]
        new = without_line_ends(events[count:])
        if (
            repeats
            and is_numbered(had, 1)
            and is_numbered(new, len(had) + 1)
            and is_numbered(before, len(had) + 1 - len(before))
        ):
            return True
    return False


@settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(runs, runs)
def test_a_complete_answer_is_one_run_or_two_runs_of_which_each_event_is_the_next(
    shape, first, second
):
    """Wrong bytes hid events, doubled them, or joined runs, and nothing told it."""
    engines = {
        "a": Engine(chunks=first.chunks, end=ENDS[first.end]),
        "c": Engine(chunks=second.chunks, end=ENDS[second.end]),
    }
    scenario = StreamScenario(shape, engines)
    refusal = run_virtual(scenario.serve())
    caller = scenario.caller
    assert (refusal is None) == caller.response_complete
    if caller.response_complete:
        assert (
            is_one_run(caller.body, first)
            or is_one_run(caller.body, second)
            or is_two_runs(caller.body, first, second)
        )
    if first.is_sound and second.is_sound and second.end == "whole":
        assert caller.response_complete
        assert caller.body == whole_answer()
