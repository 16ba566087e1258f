"""Counts what an endpoint that names a limit gets from entries that know of it."""

from __future__ import annotations

import attrs

#: Seconds over which requests are counted.
WINDOW = 4.0
#: Times the limit that an endpoint may get in a window, and requests besides.
TOLERANCE = 1.5
ALLOWANCE = 5
#: Seconds after it passed a limit on from which an entry must keep it.
REACTION_TIME = 0.5
#: Seconds after a limit was first named from which it must be kept.
SETTLING_TIME = 3.0


@attrs.frozen
class Breach:
    """A window in which an endpoint got too much.

    Attributes:
        end: When it ended, seconds.
        got: Requests that it got from entries that know of its limit.
        allowed: Requests that it may get.
    """

    end: float
    got: int
    allowed: float


@attrs.define
class LimitCheck:
    """Tells whether entries together keep the limit of an endpoint.

    All of an entry's requests in a window count once it has passed the limit on,
    also those from before.

    Attributes:
        limit: Requests a second that the endpoint names.
        named_at: When it first named it, seconds.
        told: When each entry first passed it on, seconds.
        arrivals: When requests arrived, seconds, with the entry that sent each.
        excused: Entries with the times since when and until when their requests do not
            count, since they were restarted, frozen or cut off.
    """

    limit: float
    named_at: float
    told: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    excused: list[tuple[str, float, float]] = attrs.field(factory=list)

    @property
    def allowed(self) -> float:
        """Requests that the endpoint may get in a window."""
        return TOLERANCE * WINDOW * self.limit + ALLOWANCE

    def pass_on(self, entry: str, at: float) -> None:
        """Note that an entry passed on an answer that names the limit."""
        self.told[entry] = min(at, self.told.get(entry, at))

    def excuse(self, entry: str, since: float, until: float) -> None:
        """Note that an entry was restarted, frozen or cut off for some time.

        Args:
            entry: Its name.
            since: When that began, seconds.
            until: When it was over, seconds; it settles after that.
        """
        self.excused.append((entry, since, until + SETTLING_TIME))

    def got(self, end: float) -> int:
        """Return the requests that count in the window that ends at a time."""
        return sum(
            end - WINDOW < at <= end
            and self._is_bound(entry, end)
            and not self._is_excused(entry, at)
            for at, entry in self.arrivals
        )

    def breaches(self) -> list[Breach]:
        """Return the windows in which the endpoint got too much, one for each end."""
        from_time = self.named_at + SETTLING_TIME
        ends = sorted(at for at, _ in self.arrivals if at >= from_time)
        found = [Breach(end, self.got(end), self.allowed) for end in ends]
        return [breach for breach in found if breach.got > breach.allowed]

    def _is_bound(self, entry: str, end: float) -> bool:
        told = self.told.get(entry)
        return told is not None and told + REACTION_TIME <= end

    def _is_excused(self, entry: str, at: float) -> bool:
        return any(
            name == entry and since <= at < until for name, since, until in self.excused
        )
