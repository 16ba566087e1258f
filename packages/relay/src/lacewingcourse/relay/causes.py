"""Why requests came late, were refused or lost, from the entries' log lines."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Seconds around the loss of a run in which a suspicion of an endpoint explains it.
#: Questions are answered, and suspicions told, within a fraction of a second.
SUSPICION_WINDOW = 1.0
#: Share of the objective spent waiting for room from which that is the cause.
WAIT_SHARE = 0.5
#: Entries that are named for each cause.
MAX_SHOWN_ENTRIES = 5
#: Cause of a request that came in time.
IN_TIME = "in time"
#: Cause of one that nothing explains.
UNKNOWN = "not explained"


@attrs.define
class RequestHistory:
    """What the log lines tell of one request.

    Attributes:
        request: Its identifier.
        sends: Lines of its sends.
        losses: Lines of sends that brought nothing, or of streams that broke off.
        end: Line of its end, None if its entry told none.
        suspicions: Times at which endpoints were found dead, over all entries.
        objective: Milliseconds in which its first event is wanted.
        pause: Milliseconds that may pass between two events, where its lines do not
            tell these two.
    """

    request: str
    sends: list[dict[str, Any]] = attrs.field(factory=list)
    losses: list[dict[str, Any]] = attrs.field(factory=list)
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
        """Whether an endpoint's answer reached the caller."""
        return self.end is not None and self.end["event"] == "served"

    @property
    def refused_kind(self) -> str:
        """Kind of the refusal it ended with, empty if it did not."""
        if self.end is None or self.end["event"] != "refused":
            return ""
        return self.end["kind"]

    @property
    def first_ms(self) -> float:
        """Milliseconds to its first event, or to its whole answer."""
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
        """Whether an endpoint was found dead around the loss of one of its runs."""
        return any(
            line.get("fault") or self._suspected_around(line["time"])
            for line in self.losses
        )

    def _suspected_around(self, at: float) -> bool:
        """Tell whether an endpoint was found dead around some time.

        The times are in order, so the first one that is not too early decides.
        """
        index = bisect_left(self.suspicions, at - SUSPICION_WINDOW)
        return (
            index < len(self.suspicions)
            and self.suspicions[index] <= at + SUSPICION_WINDOW
        )

    @property
    def entry(self) -> str:
        """Name of the entry that served it, of the last one if there were several."""
        return (self.end or [*self.sends, *self.losses][-1])["process"]


#: Causes in the order in which they are asked; the first that applies counts.
CAUSES: Registry[Callable[[RequestHistory], bool]] = Registry("cause")


@CAUSES.register("lost with its entry")
def lost_with_entry(history: RequestHistory) -> bool:
    """Tell whether its entry ended before it told the request's end."""
    return history.end is None


@CAUSES.register("caller left")
def caller_left(history: RequestHistory) -> bool:
    """Tell whether the caller closed before the answer was whole."""
    return history.served and (
        bool(history.end.get("gone")) or not history.end.get("whole")
    )


@CAUSES.register("broken off by its entry")
def broken_off(history: RequestHistory) -> bool:
    """Tell whether its entry ended the answer before it was whole."""
    return history.end["event"] == "broken_off"


@CAUSES.register(IN_TIME)
def in_time(history: RequestHistory) -> bool:
    """Tell whether it was answered within its objective and without a long pause."""
    return (
        history.served
        and history.first_ms <= history.objective
        and history.gap_ms <= history.pause
    )


@CAUSES.register("not allowed by the configuration")
def not_allowed(history: RequestHistory) -> bool:
    """Tell whether no route or key allowed it."""
    return history.refused_kind in ("unknown_resource", "unauthenticated")


@CAUSES.register("refused while leaving")
def refused_while_leaving(history: RequestHistory) -> bool:
    """Tell whether its entry was about to end."""
    return history.refused_kind == "draining"


@CAUSES.register("refused at the limit of an endpoint")
def refused_at_limit(history: RequestHistory) -> bool:
    """Tell whether it was kept from an endpoint by the limit that this names."""
    return history.refused_kind == "overloaded" and bool(history.end.get("limited"))


@CAUSES.register("refused for want of room")
def refused_for_room(history: RequestHistory) -> bool:
    """Tell whether no path had memory for it in time."""
    return history.refused_kind == "overloaded"


@CAUSES.register("refused without a path")
def refused_without_path(history: RequestHistory) -> bool:
    """Tell whether no endpoints held every layer, or none served the call."""
    return history.refused_kind in ("no_route", "not_ready")


@CAUSES.register("failed at endpoints")
def failed_at_endpoints(history: RequestHistory) -> bool:
    """Tell whether it ended without an answer after it had been sent."""
    return bool(history.refused_kind)


@CAUSES.register("cut by a lost endpoint, then late")
def cut_by_loss(history: RequestHistory) -> bool:
    """Tell whether a run was lost when an endpoint was found dead."""
    return bool(history.losses) and history.has_explained_loss


@CAUSES.register("run given up though no endpoint was found dead, then late")
def given_up(history: RequestHistory) -> bool:
    """Tell whether a run was lost without any suspicion."""
    return bool(history.losses)


@CAUSES.register("waited for room, then late")
def waited_for_room(history: RequestHistory) -> bool:
    """Tell whether most of its objective passed before it was sent."""
    return history.waited_ms > WAIT_SHARE * history.objective


@CAUSES.register("slow first event")
def slow_first(history: RequestHistory) -> bool:
    """Tell whether the endpoints took long for its first event."""
    return history.first_ms > history.objective


@CAUSES.register("long pause on one run")
def long_pause(history: RequestHistory) -> bool:
    """Tell whether its endpoints paused for long."""
    return history.gap_ms > history.pause


def histories_of(
    lines: Iterable[dict[str, Any]], objective: float, pause: float
) -> list[RequestHistory]:
    """Return what became of every request that log lines tell of.

    Args:
        lines: Log lines in order of time.
        objective: Milliseconds in which a first event is wanted.
        pause: Milliseconds that may pass between two events.
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
        entries: Requests by entry.
        first_at: Time of the first one's last line, seconds.
        last_at: Time of the last one's.
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
        """Return at which entries and when, in seconds after some time."""
        shown = ", ".join(
            f"{e} {n}" for e, n in self.entries.most_common(MAX_SHOWN_ENTRIES)
        )
        span = f"{self.first_at - since:.1f} to {self.last_at - since:.1f} s"
        return f"at {len(self.entries)} entries from {span}; most at {shown}"


def summary_of(histories: Iterable[RequestHistory], seconds: float) -> list[str]:
    """Return how many requests each cause has, where and when, as lines.

    Args:
        fates: What became of the requests.
        seconds: Length of the spans of time.
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
