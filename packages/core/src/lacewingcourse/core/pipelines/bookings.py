"""Times at which refused callers were asked to return, as entries tell each other."""

from __future__ import annotations

from enum import Enum
from math import isfinite
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.suspects import ObservationScope

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Characters of a fingerprint that identify a booking in messages: few bytes, and few
#: enough bookings that two rarely share them.
KEY_LENGTH = 8
#: Bookings that are remembered at most, those of other entries included.
MAX_BOOKINGS = 4_000
#: Bookings in a message at most.
MAX_REPORTED = 12
#: Seconds after it was learned for which a booking is reported, some rounds of gossip.
REPORT_TIME = 0.7
#: Seconds to a return that are believed at most.
MAX_LEAD = 60.0
#: Seconds before its time from which a returning caller counts as keeping it.
EARLY_TOLERANCE = 0.2
#: Seconds after its time until which it counts as keeping it.
LATE_TOLERANCE = 1.0
#: Difference in seconds up to which two reports mean the same booking.
SAME_TOLERANCE = 0.5


class Arrival(Enum):
    """How a request stands to the bookings."""

    NEW = "new"
    DUE = "due"
    EARLY = "early"


@attrs.frozen
class Booking:
    """A time at which a refused caller was asked to return.

    Attributes:
        due: The time, seconds.
        learned_at: When this entry made it or learned of it, seconds.
        scope: Whether this entry, one of its zone or another one made it.
        service: Service of the request, empty if another entry made the booking.
        rank: Rank of the request, 0 if another entry made the booking.
        promised: Whether it is a place. Otherwise each place came too late for the
            caller, and one that returns before the time is early all the same.
    """

    due: float
    learned_at: float
    scope: ObservationScope
    service: str = ""
    rank: int = 0
    promised: bool = True

    def arrival(self, now: float) -> Arrival:
        """Return how a request that arrives now keeps to the booking.

        A booking from the future, or further ahead than any is made, shows that the
        clock has jumped: it holds no longer, so that no caller waits for it.
        """
        if now < self.learned_at - LATE_TOLERANCE or self.due - now > MAX_LEAD:
            return Arrival.NEW
        if now < self.due - EARLY_TOLERANCE:
            return Arrival.EARLY
        if self.promised and now <= self.due + LATE_TOLERANCE:
            return Arrival.DUE
        return Arrival.NEW


@attrs.define
class BookingTable:
    """The bookings of this entry, and those that others report.

    Attributes:
        bookings: The bookings by the first characters of the request's fingerprint,
            those learned last at the end.
        own_bookings: Those of them that this entry made.
        dropped: Bookings that were not remembered as there were too many.
    """

    bookings: dict[str, Booking] = attrs.field(factory=dict)
    own_bookings: dict[str, Booking] = attrs.field(factory=dict)
    dropped: int = 0

    def find(self, fingerprint: str, now: float) -> Booking | None:
        """Return the booking of a request that is still to come or is due."""
        booking = self.bookings.get(fingerprint[:KEY_LENGTH])
        if booking is None or booking.arrival(now) is Arrival.NEW:
            return None
        return booking

    def add(self, fingerprint: str, booking: Booking) -> bool:
        """Remember a booking of this entry; return whether there is space for it."""
        return self._store(fingerprint[:KEY_LENGTH], booking)

    def remove(self, fingerprint: str) -> None:
        """Forget the booking of a request whose caller has returned."""
        self._drop(fingerprint[:KEY_LENGTH])

    def own(self, service: str, now: float) -> Iterator[Booking]:
        """Yield the bookings of a service that this entry made and that are ahead."""
        for booking in self.own_bookings.values():
            if booking.service != service or booking.due <= now:
                continue
            if not booking.promised:
                continue
            if booking.arrival(now) is not Arrival.NEW:
                yield booking

    def reports(self, now: float, scope: ObservationScope) -> dict[str, int]:
        """Return the milliseconds until bookings are due, the newest ones first.

        Times that are no places are negative, and come after all that are.

        Args:
            now: Present time in seconds.
            scope: Widest scope of the bookings to report.
        """
        found: dict[str, int] = {}
        others: dict[str, int] = {}
        for key, booking in reversed(self.bookings.items()):
            if now - booking.learned_at > REPORT_TIME or len(found) == MAX_REPORTED:
                break
            if booking.scope > scope or booking.due <= now:
                continue
            lead = round(1000 * (booking.due - now))
            if booking.promised:
                found[key] = lead
            elif len(others) < MAX_REPORTED:
                others[key] = -lead
        for key in list(others)[: MAX_REPORTED - len(found)]:
            found[key] = others[key]
        return found

    def from_peer(
        self, reports: object, transit: float, now: float, same_zone: bool
    ) -> str:
        """Apply the bookings that another entry reports.

        Args:
            reports: The bookings as `reports` returns them, of any type if the sender
                is of another build or defective.
            transit: Seconds since the message was composed, 0 if unknown.
            now: Present time in seconds.
            same_zone: Whether an entry of this one's availability zone made them.

        Returns:
            What is wrong with the reports, empty if nothing is.
        """
        if not isinstance(reports, dict):
            return f"{type(reports).__name__} in place of bookings"
        problem = ""
        scope = ObservationScope.ZONE if same_zone else ObservationScope.ALL
        for key, lead in list(reports.items())[:MAX_REPORTED]:
            if not _is_report(key, lead):
                problem = f"booking {str(key)[:KEY_LENGTH]!r} due in {lead!r:.20} ms"
                continue
            due = now + abs(lead) / 1000 - transit
            self._learn(key, Booking(due, now, scope, promised=lead >= 0))
        return problem

    def clear(self) -> None:
        """Forget all bookings, because the clock may have stood still."""
        self.bookings.clear()
        self.own_bookings.clear()

    def expire(self, now: float) -> None:
        """Forget the bookings whose time has passed."""
        for key, booking in list(self.bookings.items()):
            if booking.arrival(now) is Arrival.NEW:
                self._drop(key)

    def _learn(self, key: str, heard: Booking) -> None:
        """Remember a booking that another entry reports.

        A caller that was refused at two entries has two bookings. The later one counts,
        so that it gains nothing by it, and its other place is free again. It is
        reported no longer than the one known before, so that reports do not circulate.
        """
        now, known = heard.learned_at, self.bookings.get(key)
        if known is None or known.arrival(now) is Arrival.NEW:
            self._store(key, heard)
        elif known.promised and not heard.promised:
            return
        elif heard.promised > known.promised or (
            heard.due > known.due + SAME_TOLERANCE
        ):
            self.bookings[key] = attrs.evolve(heard, learned_at=known.learned_at)
            self.own_bookings.pop(key, None)

    def _store(self, key: str, booking: Booking) -> bool:
        """Remember a booking as the one learned last."""
        self._drop(key)
        if len(self.bookings) >= MAX_BOOKINGS:
            self.dropped += 1
            return False
        self.bookings[key] = booking
        if booking.scope is ObservationScope.OWN:
            self.own_bookings[key] = booking
        return True

    def _drop(self, key: str) -> None:
        self.bookings.pop(key, None)
        self.own_bookings.pop(key, None)


def _is_report(key: object, lead: object) -> bool:
    """Return whether a key and milliseconds of a message can be a booking."""
    if type(key) is not str or len(key) != KEY_LENGTH:
        return False
    if type(lead) not in (int, float) or not isfinite(lead):
        return False
    return abs(lead) <= 1000 * MAX_LEAD
