"""Classifies from log lines of entries why requests were late, refused or lost."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs

from lacewingcourse.core.pipelines.choice import NONE_IN_TIME
from lacewingcourse.core.pipelines.room_sharing import SHARE_REASON
from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Seconds before and after the loss of an attempt within which a suspicion of an
#: endpoint explains it. Probes are answered, and suspicions exchanged between entries,
#: within a fraction of a second.
SUSPICION_WINDOW = 1.0
#: Share of the objective above which time spent waiting for room is the cause.
WAIT_SHARE = 0.5
#: Maximum number of entries named per cause.
MAX_SHOWN_ENTRIES = 5
#: Cause of requests that were answered in time.
IN_TIME = "in time"
#: Cause of requests to which no other cause applies.
UNKNOWN = "not explained"


@attrs.define
class RequestHistory:
    """The log lines of one request.

    Attributes:
        request: Id of the request.
        sends: `sent` lines.
        losses: `lost` lines: sends without a response, or streams that broke off.
        unsound: `unsound_event` lines: runs that wrote bytes that were not forwarded.
        end: Line of its end, None if its entry logged none.
        suspicions: Times at which any entry found endpoints dead, in order, seconds.
        objective: Milliseconds in which the first event is wanted.
        pause: Milliseconds that may pass between two events. This and the objective
            come from the line of its end if that has them.
    """

    request: str
    sends: list[dict[str, Any]] = attrs.field(factory=list)
    losses: list[dict[str, Any]] = attrs.field(factory=list)
    unsound: list[dict[str, Any]] = attrs.field(factory=list)
    end: dict[str, Any] | None = None
    suspicions: list[float] = attrs.field(factory=list)
    objective: float = 0.0
    pause: float = 0.0

    @property
    def last_line_at(self) -> float:
        """Time of its last line, seconds."""
        lines = [*self.sends, *self.losses, *([self.end] if self.end else [])]
        return max(line["time"] for line in lines)

    @property
    def served(self) -> bool:
        """Whether it was answered by an endpoint."""
        return self.end is not None and self.end["event"] == "served"

    @property
    def refused_kind(self) -> str:
        """Kind of the refusal that it ended with, empty if it was not refused."""
        if self.end is None or self.end["event"] != "refused":
            return ""
        return self.end["kind"]

    @property
    def first_ms(self) -> float:
        """Milliseconds to its first event, or to its end if it had none."""
        end = self.end or {}
        first = end.get("first_ms")
        return end.get("took_ms", 0.0) if first is None else first

    @property
    def gap_ms(self) -> float:
        """Longest pause between two of its events, milliseconds."""
        return (self.end or {}).get("gap_ms") or 0.0

    @property
    def waited_ms(self) -> float:
        """Milliseconds for which it waited for room before its first send."""
        return self.sends[0].get("waited_ms", 0.0) if self.sends else 0.0

    @property
    def has_explained_loss(self) -> bool:
        """Whether an endpoint was at fault or found dead near one of its losses."""
        return any(
            line.get("fault") or self._suspected_around(line["time"])
            for line in self.losses
        )

    def _suspected_around(self, at: float) -> bool:
        """Return whether an endpoint was found dead around a time in seconds.

        The suspicions are sorted by time, so only the first one that is not too early
        has to be compared.
        """
        index = bisect_left(self.suspicions, at - SUSPICION_WINDOW)
        return (
            index < len(self.suspicions)
            and self.suspicions[index] <= at + SUSPICION_WINDOW
        )

    @property
    def entry(self) -> str:
        """Name of the entry that logged its end, or else its last loss or send."""
        return (self.end or [*self.sends, *self.losses][-1])["process"]


#: Causes in the order in which they are tested; the first one that applies counts.
CAUSES: Registry[Callable[[RequestHistory], bool]] = Registry("cause")


@CAUSES.register("lost with its entry")
def lost_with_entry(history: RequestHistory) -> bool:
    """Return whether its entry ended before it logged the end of the request."""
    return history.end is None


@CAUSES.register("caller left")
def caller_left(history: RequestHistory) -> bool:
    """Return whether the caller left before the response was complete."""
    return history.served and (
        bool(history.end.get("gone")) or not history.end.get("whole")
    )


@CAUSES.register("broken off after bytes that were not the next event")
def broken_off_unsound(history: RequestHistory) -> bool:
    """Return whether its entry ended the response as an engine's bytes were unsound."""
    return bool(history.unsound) and history.end["event"] == "broken_off"


@CAUSES.register("broken off by its entry")
def broken_off(history: RequestHistory) -> bool:
    """Return whether its entry ended the response before it was complete."""
    return history.end["event"] == "broken_off"


@CAUSES.register(IN_TIME)
def in_time(history: RequestHistory) -> bool:
    """Return whether it was answered within its objective and without a long pause."""
    return (
        history.served
        and history.first_ms <= history.objective
        and history.gap_ms <= history.pause
    )


@CAUSES.register("not allowed by the configuration")
def not_allowed(history: RequestHistory) -> bool:
    """Return whether no route or key allowed it."""
    return history.refused_kind in ("unknown_resource", "unauthenticated")


@CAUSES.register("refused while leaving")
def refused_while_leaving(history: RequestHistory) -> bool:
    """Return whether it was refused because its entry was shutting down."""
    return history.refused_kind == "draining"


@CAUSES.register("refused at the limit of an endpoint")
def refused_at_limit(history: RequestHistory) -> bool:
    """Return whether it was refused because of an endpoint's rate limit."""
    return history.refused_kind == "overloaded" and bool(history.end.get("limited"))


@CAUSES.register("refused as no path was in time")
def refused_for_time(history: RequestHistory) -> bool:
    """Return whether it would have been late on every path, or made others late."""
    reason = history.end.get("reason", "") if history.end else ""
    return history.refused_kind == "deadline_unreachable" or (
        history.refused_kind == "overloaded" and reason == NONE_IN_TIME
    )


@CAUSES.register("refused by its part of the room")
def refused_by_share(history: RequestHistory) -> bool:
    """Return whether its rank or organisation had its part of room that is short."""
    reason = history.end.get("reason", "")
    return bool(history.refused_kind) and reason.startswith(SHARE_REASON)


@CAUSES.register("refused for want of room")
def refused_for_room(history: RequestHistory) -> bool:
    """Return whether no path had memory for it in time."""
    return history.refused_kind == "overloaded"


@CAUSES.register("refused without a path")
def refused_without_path(history: RequestHistory) -> bool:
    """Return whether no path held every layer, or no endpoint served the call."""
    return history.refused_kind in ("no_route", "not_ready")


@CAUSES.register("failed at endpoints")
def failed_at_endpoints(history: RequestHistory) -> bool:
    """Return whether it was refused for any other reason, such as a failed send."""
    return bool(history.refused_kind)


@CAUSES.register("run given up for bytes that were not the next event, then late")
def given_up_unsound(history: RequestHistory) -> bool:
    """Return whether a run of a late request was given up for unsound bytes."""
    return bool(history.unsound)


@CAUSES.register("cut by a lost endpoint, then late")
def cut_by_loss(history: RequestHistory) -> bool:
    """Return whether an attempt was lost around when an endpoint was found dead."""
    return bool(history.losses) and history.has_explained_loss


@CAUSES.register("run given up though no endpoint was found dead, then late")
def given_up(history: RequestHistory) -> bool:
    """Return whether an attempt was lost while no endpoint was found dead."""
    return bool(history.losses)


@CAUSES.register("waited for room, then late")
def waited_for_room(history: RequestHistory) -> bool:
    """Return whether most of its objective passed before it was sent."""
    return history.waited_ms > WAIT_SHARE * history.objective


@CAUSES.register("slow first event")
def slow_first(history: RequestHistory) -> bool:
    """Return whether the endpoints were slow to return the first event."""
    return history.first_ms > history.objective


@CAUSES.register("long pause on one run")
def long_pause(history: RequestHistory) -> bool:
    """Return whether its endpoints paused too long between two events."""
    return history.gap_ms > history.pause


def histories_of(
    lines: Iterable[dict[str, Any]], objective: float, pause: float
) -> list[RequestHistory]:
    """Group log lines by request.

    Args:
        lines: Log lines in order of time.
        objective: Milliseconds in which a first event is wanted, unless the lines of a
            request have its own value.
        pause: Milliseconds that may pass between two events, likewise.

    Returns:
        One history per request that has log lines.
    """
    found: dict[str, RequestHistory] = {}
    suspicions: list[float] = []
    for line in lines:
        event, request = line["event"], line.get("request")
        if event == "suspected":
            suspicions.append(line["time"])
        if not request:
            continue
        history = found.get(request)
        if history is None:
            history = found[request] = RequestHistory(
                request, suspicions=suspicions, objective=objective, pause=pause
            )
        if event == "sent":
            history.sends.append(line)
        elif event == "lost":
            history.losses.append(line)
        elif event == "unsound_event":
            history.unsound.append(line)
        elif event in ("served", "refused", "broken_off"):
            history.end = line
            history.objective = line.get("objective_ms") or objective
            history.pause = line.get("pause_ms") or pause
    return list(found.values())


def cause_of(history: RequestHistory) -> str:
    """Return the first cause that applies to a request."""
    for name, applies in CAUSES.members.items():
        if applies(history):
            return name
    return UNKNOWN


@attrs.define
class CauseTally:
    """The requests of one cause.

    Attributes:
        entries: Number of requests by entry.
        first_at: Earliest time of a request's last line, seconds.
        last_at: Latest time of a request's last line, seconds.
    """

    entries: Counter[str] = attrs.field(factory=Counter)
    first_at: float = float("inf")
    last_at: float = float("-inf")

    def add(self, history: RequestHistory) -> None:
        """Count a request."""
        self.entries[history.entry] += 1
        self.first_at = min(self.first_at, history.last_line_at)
        self.last_at = max(self.last_at, history.last_line_at)

    def describe(self, since: float) -> str:
        """Return a text of the entries and of the times in seconds after `since`."""
        shown = ", ".join(
            f"{e} {n}" for e, n in self.entries.most_common(MAX_SHOWN_ENTRIES)
        )
        span = f"{self.first_at - since:.1f} to {self.last_at - since:.1f} s"
        return f"at {len(self.entries)} entries from {span}; most at {shown}"


def summary_of(histories: Iterable[RequestHistory], seconds: float) -> list[str]:
    """Return a report of the causes: counts, entries and times, as lines of text.

    Args:
        histories: The requests.
        seconds: Length of the time spans in which causes are counted.
    """
    tallies: dict[str, CauseTally] = defaultdict(CauseTally)
    spans: dict[int, Counter[str]] = defaultdict(Counter)
    for history in histories:
        cause = cause_of(history)
        tallies[cause].add(history)
        spans[int(history.last_line_at // seconds)][cause] += 1
    count = sum(tally.entries.total() for tally in tallies.values())
    since = min(spans, default=0) * seconds
    ordered = sorted(tallies.items(), key=lambda each: -each[1].entries.total())
    lines = [f"{count} requests"]
    for cause, tally in ordered:
        number = tally.entries.total()
        lines.append(f"{number:7} {number / count:7.1%}  {cause}")
        if cause != IN_TIME:
            lines.append(f"{'':17}{tally.describe(since)}")
    for span in sorted(spans):
        causes = [f"{c} {n}" for c, n in spans[span].most_common() if c != IN_TIME]
        if causes:
            lines.append(f"{span * seconds - since:+8.0f} s  {', '.join(causes)}")
    return lines
