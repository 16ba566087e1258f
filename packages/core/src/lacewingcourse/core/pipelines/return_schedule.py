"""Schedule of the returns of refused callers."""

from __future__ import annotations

from collections import defaultdict
from math import inf, sqrt
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.bookings import (
    LATE_TOLERANCE,
    Arrival,
    Booking,
    BookingTable,
)
from lacewingcourse.core.pipelines.event_rate import WINDOW, EventRate
from lacewingcourse.core.pipelines.suspects import ObservationScope

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.scheduling import QueuedRequest

#: Share of the rate at which answers end that is booked for returns. The rest is left
#: to newcomers, whose answers can still be in time.
RETURN_SHARE = 0.3
#: Share of its time left for which a caller honours Retry-After at most.
HONOURED_SHARE = 1 / 3
#: Seconds by which a return stays within that share, as the caller's time runs while
#: the refusal is on its way.
TRANSFER_MARGIN = 0.02
#: Seconds after which a caller returns at the earliest, if it has the time: the other
#: entries know of the booking by then.
MIN_RETURN = 1.0
#: Share of the time that a caller can use after which it returns at the earliest, if it
#: has little time.
MIN_RETURN_SHARE = 0.5
#: Jitter of the earliest returns, as a share of their time.
JITTER_SHARE = 0.2
#: Seconds by which the time of a place that is too late exceeds what callers honour.
BEYOND_HONOURED = 0.2
#: Ends of answers in the window from which their rate is known.
MIN_ENDS = 4
#: Share of the answers that a rank has at least beside more urgent ones; below it, its
#: places lie too far ahead to be promised.
MIN_RANK_SHARE = 0.1


@attrs.frozen
class Place:
    """A booked place among the callers that return.

    Attributes:
        seconds: Seconds after which its caller may return.
        position: Requests that wait or return before it.
        rate: Places a second that its rank has at this entry, None for a place that
            was booked before.
    """

    seconds: float
    position: int
    rate: float | None


@attrs.frozen
class NoPlace:
    """A sentinel value: every place comes later than the caller can use.

    Attributes:
        seconds: Seconds until the first place, longer than the caller would wait.
        position: Requests that wait or return before it.
        rate: Places a second that its rank has at this entry, None if this was found
            at an earlier refusal.
    """

    seconds: float
    position: int
    rate: float | None


@attrs.define
class ReturnSchedule:
    """Gives refused callers a time to return, and recognises those that keep it.

    Each entry books places at its part of the rate at which answers end. A place lies
    behind those of the same and of more urgent ranks, and a rank has the rate that more
    urgent ones leave to it, as they go on to start before it.

    Attributes:
        entries: Entries that share the rate of the deployment.
        deployment_rate: Returns the answers of a service that end a second over all
            entries, None while only this entry's own ends are known.
        urgent_demand: Returns the requests of a service that arrive a second over all
            entries and are more urgent than a rank, None while only this entry's own
            are known.
        ends: Answers of each service that ended at this entry.
        arrivals: Requests of each service that arrived at this entry, by rank.
        table: The bookings of this entry and of others.
    """

    entries: int = 1
    deployment_rate: Callable[[str, float], float | None] = lambda service, now: None
    urgent_demand: Callable[[str, int, float], float | None] = (
        lambda service, rank, now: None
    )
    ends: dict[str, EventRate] = attrs.field(factory=lambda: defaultdict(EventRate))
    arrivals: dict[str, dict[int, EventRate]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(EventRate))
    )
    table: BookingTable = attrs.field(factory=BookingTable)

    def record_end(self, service: str, fingerprint: str, now: float) -> None:
        """Record the end of an answer that has taken room."""
        self.ends[service].record(now)
        self.table.remove(fingerprint)

    def rate(self, service: str, now: float) -> float | None:
        """Return this entry's part of the answers that end a second, None if unknown.

        Args:
            service: The service.
            now: Present time in seconds.
        """
        shared = self.deployment_rate(service, now)
        if shared is not None:
            return shared / max(1, self.entries)
        ends = self.ends.get(service)
        if ends is None or ends.count(now) < MIN_ENDS:
            return None
        return ends.rate(now)

    def arrival(self, fingerprint: str, now: float) -> Arrival:
        """Return how a request that arrives now stands to its booking."""
        booking = self.table.find(fingerprint, now)
        return Arrival.NEW if booking is None else booking.arrival(now)

    def is_due(self, fingerprint: str, now: float) -> bool:
        """Return whether a request returns at the time it was given."""
        return self.arrival(fingerprint, now) is Arrival.DUE

    def is_early(self, fingerprint: str, now: float) -> bool:
        """Return whether a request returns before the time it was given."""
        return self.arrival(fingerprint, now) is Arrival.EARLY

    def record_arrival(
        self, service: str, rank: int, fingerprint: str, now: float
    ) -> Arrival:
        """Return how a request stands to its booking, and count its demand.

        A request that is due uses its booking up; one that is early is no further
        demand.

        Args:
            service: The service whose room it needs.
            rank: Its rank.
            fingerprint: Identifies the request when its caller sends it again.
            now: Present time in seconds.
        """
        arrival = self.arrival(fingerprint, now)
        if arrival is not Arrival.EARLY:
            self.arrivals[service][rank].record(now)
        if arrival is Arrival.DUE:
            self.table.remove(fingerprint)
        return arrival

    def book(
        self,
        request: QueuedRequest,
        fingerprint: str,
        time_left: float,
        now: float,
        draw: float,
        service: str = "",
        waiting: int = 0,
    ) -> Place | NoPlace | None:
        """Return the place of a refused caller among those that return.

        One that has a place and comes before its time keeps that place.

        Args:
            request: The request.
            fingerprint: Identifies the request when its caller sends it again.
            time_left: Seconds until its caller stops to wait for an answer.
            now: Present time in seconds.
            draw: A number from 0 to 1 that spreads callers over the time of a place.
            service: The service whose room it needs.
            waiting: Requests that wait for that room at this entry.

        Returns:
            None if the rate at which answers end is not known.
        """
        usable = HONOURED_SHARE * time_left - TRANSFER_MARGIN
        known = self._kept_place(fingerprint, usable, now)
        if known is not None:
            return known
        total = self.rate(service, now)
        if not total:
            return None
        position = waiting
        for booking in self.table.own(service, now):
            position += booking.rank <= request.rank
        rate = self._rank_rate(service, request.rank, total, now)
        ahead = inf
        if rate > 0:
            ahead = waiting / total + (position - waiting + draw) / rate
        if usable <= 0 or ahead > usable:
            seconds = (
                time_left if ahead == inf else max(ahead, usable + TRANSFER_MARGIN)
            )
            self._bar(fingerprint, usable, now)
            return NoPlace(max(0.0, seconds) + BEYOND_HONOURED, position, rate)
        least = min(MIN_RETURN, MIN_RETURN_SHARE * usable)
        seconds = min(usable, max(ahead, least + draw * JITTER_SHARE * least))
        booking = Booking(
            now + seconds, now, ObservationScope.OWN, service, request.rank
        )
        if not self.table.add(fingerprint, booking):
            return NoPlace(time_left, position, rate)
        return Place(seconds, position, rate)

    def _bar(self, fingerprint: str, usable: float, now: float) -> None:
        """Remember that a caller without a place gains nothing by an early return."""
        if usable > 0:
            booking = Booking(now + usable, now, ObservationScope.OWN, promised=False)
            self.table.add(fingerprint, booking)

    def _kept_place(
        self, fingerprint: str, usable: float, now: float
    ) -> Place | NoPlace | None:
        """Return what a request was given before, if its time is still ahead."""
        booking = self.table.find(fingerprint, now)
        if booking is None or booking.arrival(now) is not Arrival.EARLY:
            return None
        left = booking.due - now
        if left > usable + LATE_TOLERANCE:
            # Its caller would have left by then: the clock was set back.
            self.table.remove(fingerprint)
            return None
        if not booking.promised:
            return NoPlace(usable + TRANSFER_MARGIN + BEYOND_HONOURED, 0, None)
        before = (
            b for b in self.table.own(booking.service, now) if b.due < booking.due
        )
        return Place(min(left, usable), sum(1 for _ in before), None)

    def _rank_rate(self, service: str, rank: int, total: float, now: float) -> float:
        """Return the places a second that more urgent ranks leave to a rank.

        Args:
            service: The service.
            rank: The rank.
            total: This entry's part of the answers that end a second.
            now: Present time in seconds.
        """
        urgent, parts = self.urgent_demand(service, rank, now), max(1, self.entries)
        if urgent is None:
            urgent, parts = self._own_urgent_demand(service, rank, now), 1
        if not urgent:
            return RETURN_SHARE * total
        ends = total * parts
        # Both are counts over a window. A place that a more urgent request takes is
        # worse than none, so their usual errors are taken off.
        errors = (sqrt(urgent * WINDOW) + sqrt(ends * WINDOW)) / WINDOW
        left = ends - urgent - errors
        return RETURN_SHARE * left / parts if left >= MIN_RANK_SHARE * ends else 0.0

    def _own_urgent_demand(self, service: str, rank: int, now: float) -> float:
        """Return the more urgent requests that arrive at this entry a second."""
        ranks = self.arrivals[service].items()
        return sum(arrivals.rate(now) for other, arrivals in ranks if other < rank)
