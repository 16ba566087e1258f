"""Scheduler of the requests that compete for the room of one service at an entry."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.pipelines.rank_queue import (
    MAX_CREDIT,
    MIN_COLLECT_PAUSE,
    RankQueue,
    turn_of,
)
from lacewingcourse.core.pipelines.room_rate import RoomRate
from lacewingcourse.core.pipelines.scheduling import (
    QueuedRequest,
    RefusalCause,
    Refused,
    Started,
    UnlimitedShare,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewingcourse.core.pipelines.scheduling import (
        Decision,
        RoomShare,
        RoomSource,
    )

#: Kinds of refusals after which there may be room a moment later. An entry that has
#: just started knows no route until it has read the directory.
TRANSIENT_KINDS = frozenset({ErrorKind.OVERLOADED, ErrorKind.NO_ROUTE})
#: Longest time in seconds between two passes over the queue. Permits, retries and links
#: become free without an event.
MAX_WAKE_INTERVAL = 0.03
#: Share of its time after which a request that is first in order collects room.
COLLECTS_AFTER = 0.25
#: Seconds for which a request may collect room, so that none is idle for long.
MAX_COLLECT_TIME = 0.5
#: Least share of the tokens of more urgent ranks that a rank gets while it waits, so
#: that it does not starve.
LOWER_RANK_SHARE = 1 / 32
#: Ratio of the predicted wait to the time left from which a request of the most urgent
#: rank counts as late. The rate is observed over few starts; requests of other ranks
#: are delayed by later arrivals too, so they count as late from 1 on.
LATE_TOLERANCE = 1.25
#: Maximum number of requests that wait.
MAX_QUEUED = 1024
#: A newcomer that may not pass those that wait is refused with this reason.
OTHERS_WAIT = Refusal(ErrorKind.OVERLOADED, "others wait for room")
#: Why a request waits while entries have more urgent ones.
NO_PRECEDENCE = Refusal(
    ErrorKind.OVERLOADED, "a more urgent request waits at another entry"
)


@attrs.define
class RequestScheduler:
    """Decides which requests start on room that is free, and which are refused.

    Resumed answers go first, then the ranks in order; `RankQueue` orders a rank. A
    request that is smaller than those before it may pass them where they do not fit,
    but not one that collects room.

    Attributes:
        source: Finds and takes room.
        share: What this entry may take of the room that entries share.
        resumed: Waiting requests whose answers their callers already read.
        ranks: Waiting requests by rank.
        rate: Rate at which room becomes free.
        credits: Tokens that a rank may take before more urgent ones, by rank.
        size: Number of requests that wait.
        shortage: Whether a request has lacked room at the last pass.
    """

    source: RoomSource
    share: RoomShare = attrs.field(factory=UnlimitedShare)
    resumed: list[QueuedRequest] = attrs.field(factory=list)
    ranks: dict[int, RankQueue] = attrs.field(factory=dict)
    rate: RoomRate = attrs.field(factory=RoomRate)
    credits: dict[int, float] = attrs.field(factory=dict)
    size: int = 0
    shortage: bool = False

    def arrive(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Decide on a request that arrives, and on those that it makes late.

        Args:
            request: The request.
            now: Present time in seconds.

        Returns:
            The decisions; the request waits if none is about it.
        """
        self.share.record_arrival(request, now)
        if not request.resumed and not self.share.may_take(request, now):
            return [
                Refused(request, self._over_share(request, now), RefusalCause.SHARE)
            ]
        if not self.size:
            decision = self._try(request, now)
            if decision is not None:
                return [decision]
            self.rate.advance(now, False)
            self._push(request)
            return []
        self.rate.advance(now, self.shortage)
        if self.size >= MAX_QUEUED and not request.resumed:
            full = Refusal(ErrorKind.OVERLOADED, f"{self.size} requests wait for room")
            return [Refused(request, full, RefusalCause.QUEUE_FULL)]
        self._push(request)
        if self._may_pass(request, now):
            decision = self._try(request, now)
            if decision is not None:
                self._discard(request)
                return [decision]
        if request.latest_start <= now:
            self._discard(request)
            return [self._expired(request, now)]
        return self._refuse_late(request, now)

    def room_changed(self, now: float) -> list[Decision]:
        """Start the requests that find room, and refuse those whose time has passed.

        Args:
            now: Present time in seconds.
        """
        self.rate.advance(now, self.shortage)
        decisions = self._start_in_order(now)
        for request in [each for each in self.waiting() if each.latest_start <= now]:
            self._discard(request)
            decisions.append(self._expired(request, now))
        return decisions

    def leave(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Remove a request that no longer waits; start those that it held up."""
        if not self._discard(request):
            return []
        return self.room_changed(now)

    def next_wake(self, now: float) -> float | None:
        """Return when to call `room_changed` if nothing happens, None for never."""
        if not self.size:
            return None
        earliest = min(request.latest_start for request in self._all())
        return max(now, min(now + MAX_WAKE_INTERVAL, earliest))

    def waiting(self) -> list[QueuedRequest]:
        """Return the requests that wait."""
        return list(self._all())

    def depths(self) -> dict[int, int]:
        """Return the number of waiting requests by rank."""
        depths = {rank: len(queue) for rank, queue in self.ranks.items()}
        for request in self.resumed:
            depths[request.rank] = depths.get(request.rank, 0) + 1
        return depths

    def oldest_arrival(self) -> float | None:
        """Return when the request that waits longest arrived, None if none waits."""
        return min((request.arrived_at for request in self._all()), default=None)

    def _all(self) -> Iterator[QueuedRequest]:
        yield from self.resumed
        for queue in self.ranks.values():
            for lane in queue.lanes.values():
                yield from lane

    def _queue(self, rank: int) -> RankQueue:
        queue = self.ranks.get(rank)
        if queue is None:
            queue = self.ranks[rank] = RankQueue()
            self.ranks = dict(sorted(self.ranks.items()))
        return queue

    def _push(self, request: QueuedRequest) -> None:
        self.size += 1
        if request.resumed:
            insort(self.resumed, request, key=turn_of)
        else:
            self._queue(request.rank).push(request)

    def _discard(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it waited."""
        if request.resumed:
            found = request in self.resumed
            if found:
                self.resumed.remove(request)
        else:
            found = self._queue(request.rank).discard(request)
        self.size -= found
        if not self.size:
            self.shortage = False
        return found

    def _in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order in which they may start."""
        yield from tuple(self.resumed)
        favoured = self._favoured(now)
        if favoured is not None:
            yield favoured
        for queue in tuple(self.ranks.values()):
            for request in queue.in_order():
                if request is not favoured:
                    yield request

    def _favoured(self, now: float) -> QueuedRequest | None:
        """Return the request of a less urgent rank whose turn has come, if any.

        It is the one that has waited longest, relative to the time that it has.
        """
        waiting = [rank for rank, queue in self.ranks.items() if queue.lanes]
        found = []
        for rank in waiting[1:]:
            lanes = self.ranks[rank].lanes.values()
            longest = max(
                (lane[0] for lane in lanes), key=lambda each: each.waited_share(now)
            )
            if longest.tokens <= self.credits.get(rank, 0.0):
                found.append(longest)
        return max(found, key=lambda each: each.waited_share(now), default=None)

    def _start_in_order(self, now: float) -> list[Decision]:
        """Try the waiting requests in order; return the decisions."""
        decisions: list[Decision] = []
        shortage = False
        smallest, first_blocked = float("inf"), None
        for request in self._in_order(now):
            if _is_tried_alone(request):
                if now - request.tried_at < MAX_WAKE_INTERVAL:
                    continue
            elif request.tokens >= smallest:
                continue
            decision = self._try(request, now)
            if decision is not None:
                self._discard(request)
                decisions.append(decision)
                continue
            if _is_tried_alone(request):
                continue
            if request.found.kind is ErrorKind.NO_ROUTE:
                smallest = 0
                continue
            shortage = True
            smallest = min(smallest, request.tokens)
            if first_blocked is None:
                first_blocked = request
                if self._collects(request, now):
                    smallest, request.has_collected = 0, True
        self.shortage = shortage
        return decisions

    def _try(self, request: QueuedRequest, now: float) -> Decision | None:
        """Take room for a request; return None if it has to wait for it."""
        if request.resumed or self.share.has_precedence(request, now):
            found = self.source.take(request, now)
        else:
            found = NO_PRECEDENCE
        if not isinstance(found, Refusal):
            self._record_start(request, now)
            return Started(request, found)
        first, request.found, request.tried_at = request.found is None, found, now
        if request.lacks_room:
            self.shortage = True
            if first:
                self.share.record_shortage(request, now)
        if _may_wait(request, now):
            return None
        if found.kind in TRANSIENT_KINDS:
            return self._expired(request, now)
        return Refused(request, found, RefusalCause.NOT_ALLOWED)

    def _record_start(self, request: QueuedRequest, now: float) -> None:
        self.share.record_start(request, now)
        if request.has_collected:
            self._queue(request.rank).collect_pause = MIN_COLLECT_PAUSE
        self._queue(request.rank).charge(request)
        if not self.size:
            return
        if self.shortage:
            self.rate.record_start(request.rank, request.tokens)
        for rank, queue in self.ranks.items():
            credit = self.credits.get(rank, 0.0)
            if rank > request.rank and queue.lanes:
                credit += request.tokens * LOWER_RANK_SHARE
                self.credits[rank] = min(credit, MAX_CREDIT * queue.mean_tokens)
            elif rank == request.rank:
                self.credits[rank] = max(0.0, credit - request.tokens)

    def _may_pass(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a newcomer may take room before those that wait before it."""
        for other in self._in_order(now):
            if other is request:
                return True
            if _is_tried_alone(other):
                continue
            if other.tokens <= request.tokens or self._collects(other, now):
                return False
        return True

    def _refuse_late(self, newcomer: QueuedRequest, now: float) -> list[Decision]:
        """Refuse the requests that cannot start in time with those before them.

        The first request of each rank waits: its starts show the rate at which room
        becomes free for the rank.

        Args:
            newcomer: The request that has arrived. If it is late itself, only it is
                refused.
            now: Present time in seconds.
        """
        mean = self._queue(newcomer.rank).mean_tokens
        expected = max(newcomer.tokens, mean)
        total = self.rate.total(expected)
        if total is None or not self.shortage:
            return []
        late: list[Decision] = []
        urgent_tokens = sum(request.tokens for request in self.resumed)
        most_urgent = min(self.ranks)
        for rank, queue in self.ranks.items():
            left = self.rate.left_for(rank, expected)
            tolerance = LATE_TOLERANCE if rank == most_urgent else 1.0
            tokens = 0
            for request in queue.in_order():
                wait = urgent_tokens / total + tokens / left
                if not tokens or now + wait / tolerance <= request.latest_start:
                    tokens += request.tokens
                    continue
                decision = self._late(request, urgent_tokens + tokens, wait, now)
                if request is newcomer:
                    self._discard(newcomer)
                    return [decision]
                late.append(decision)
            urgent_tokens += tokens
        for decision in late:
            self._discard(decision.request)
        return late

    def _late(
        self, request: QueuedRequest, tokens: int, wait: float, now: float
    ) -> Refused:
        queue = self._queue(request.rank)
        own_share = queue.is_ahead(request.organisation)
        kind = ErrorKind.ORGANISATION_OVER_SHARE if own_share else ErrorKind.OVERLOADED
        left = request.latest_start - now
        reason = (
            f"{tokens} tokens wait before it: room in {wait:.3f} s, {left:.3f} s left"
        )
        return Refused(request, Refusal(kind, reason), RefusalCause.LATE)

    def _over_share(self, request: QueuedRequest, now: float) -> Refusal:
        """Return the refusal of a request outside this entry's share."""
        own_share = self._queue(request.rank).is_ahead(request.organisation)
        kind = ErrorKind.ORGANISATION_OVER_SHARE if own_share else ErrorKind.OVERLOADED
        return Refusal(kind, self.share.reason(request, now))

    def _collects(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request that lacks room keeps others from taking it."""
        if _is_tried_alone(request) or now < self._queue(request.rank).collects_from:
            return False
        window = (request.latest_start - request.arrived_at) * (1.0 - COLLECTS_AFTER)
        return now >= request.latest_start - min(window, MAX_COLLECT_TIME)

    def _expired(self, request: QueuedRequest, now: float) -> Refused:
        if request.has_collected:
            self._queue(request.rank).pause_collecting(now)
        return Refused(request, request.found or OTHERS_WAIT, RefusalCause.WAITED)


def _is_tried_alone(request: QueuedRequest) -> bool:
    """Return whether the result for a request says nothing of other requests."""
    found = request.found
    if request.restricted or found is NO_PRECEDENCE:
        return True
    if found is None or found.kind is ErrorKind.NO_ROUTE:
        return False
    return not request.lacks_room


def _may_wait(request: QueuedRequest, now: float) -> bool:
    """Return whether a request that was tried may find room in time.

    Only a request whose caller cannot send it again waits for a retry; any other caller
    sends a new request, which needs none.
    """
    found, left = request.found, request.latest_start - now
    if left <= 0.0:
        return False
    # The pass after that time may come a whole interval later.
    if found.retry_after and found.retry_after + MAX_WAKE_INTERVAL >= left:
        return False
    if found.kind is ErrorKind.RETRIES_EXHAUSTED:
        return not request.caller_may_retry
    return found.kind in TRANSIENT_KINDS
