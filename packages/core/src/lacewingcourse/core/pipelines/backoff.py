"""Endpoints that asked for a delay before the next request of this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

#: Longest delay in seconds that is believed. An endpoint that names a wrong value would
#: otherwise get no request until it restarts.
MAX_DELAY = 300.0
#: Requests without an answer that an endpoint gets when its delay has passed.
INITIAL_WINDOW = 1
#: Requests accepted after the delay from which an endpoint has recovered.
RECOVERED_AFTER = 32
#: Seconds after the delay from which an endpoint has recovered in any case.
RECOVERY_TIME = 5.0
#: Seconds after which a request without an answer leaves the window.
ANSWER_TIMEOUT = 1.0
#: Time over which the returns of refused callers are spread, in lengths of the delay.
#: Returns then add half as much to the load as newcomers.
RETRY_SPREAD_DELAYS = 2.0
#: Bounds of that time in seconds.
MIN_RETRY_SPREAD = 1.0
MAX_RETRY_SPREAD = 6.0


@attrs.define
class Backoff:
    """The delay that an endpoint asked for, and its recovery after it.

    Attributes:
        until: When the delay ends, seconds.
        delay: Length of the delay, seconds.
        window: Requests without an answer that the endpoint may have after the delay.
        accepted: Requests that it accepted after the delay.
        pending: Send times of requests without an answer after the delay, seconds.
    """

    until: float
    delay: float
    window: int = INITIAL_WINDOW
    accepted: int = 0
    pending: list[float] = attrs.field(factory=list)

    def allows(self, now: float) -> bool:
        """Tell whether the endpoint may be sent a request."""
        if now < self.until:
            return False
        if self.has_recovered(now):
            return True
        return sum(now - at < ANSWER_TIMEOUT for at in self.pending) < self.window

    def has_recovered(self, now: float) -> bool:
        """Tell whether the endpoint takes requests as before the delay."""
        return (
            self.accepted >= RECOVERED_AFTER or now >= self.until + RECOVERY_TIME
        ) and now >= self.until

    def record_send(self, now: float) -> None:
        """Record that the endpoint was sent a request."""
        self.pending = [at for at in self.pending if now - at < ANSWER_TIMEOUT]
        self.pending.append(now)

    def record_answer(self, accepted: bool, sent_at: float) -> None:
        """Record whether the endpoint accepted a request.

        Args:
            accepted: Whether it did.
            sent_at: When the request was sent, seconds.
        """
        if sent_at < self.until:
            return
        if self.pending:
            self.pending.pop(0)
        if accepted:
            self.accepted += 1
            self.window += 1
        else:
            self.window = max(INITIAL_WINDOW, self.window // 2)


@attrs.define
class BackoffTable:
    """Delays that endpoints asked this entry for.

    Attributes:
        members: Delays by id of the endpoint's incarnation.
    """

    members: dict[str, Backoff] = attrs.field(factory=dict)

    def record(self, endpoint: str, delay: float, now: float) -> float:
        """Record the delay that an endpoint asked for.

        Args:
            endpoint: The endpoint.
            delay: The delay, seconds.
            now: Present time in seconds.

        Returns:
            The seconds of the delay that remain; an earlier answer may have asked for
            a later time.
        """
        delay = min(delay, MAX_DELAY)
        known = self.members.get(endpoint)
        if known is None or now + delay > known.until:
            self.members[endpoint] = Backoff(now + delay, delay)
        return self.members[endpoint].until - now

    def record_send(self, endpoints: Iterable[str], now: float) -> None:
        """Record that a request was sent to an endpoint, or along a path of several."""
        if not self.members:
            return
        for endpoint in endpoints:
            if endpoint in self.members:
                self.members[endpoint].record_send(now)

    def record_answer(
        self, endpoints: Iterable[str], accepted: bool, sent_at: float
    ) -> bool:
        """Record whether a request was accepted; tell whether that concerns a delay.

        Args:
            endpoints: The endpoints that it was sent to.
            accepted: Whether they accepted it.
            sent_at: When it was sent, seconds.
        """
        known = [self.members[e] for e in endpoints if e in self.members]
        for backoff in known:
            backoff.record_answer(accepted, sent_at)
        return bool(known)

    def allows(self, endpoints: Iterable[str], now: float) -> bool:
        """Tell whether a request may be sent to an endpoint, or along a path."""
        return not self.members or all(
            self.members[endpoint].allows(now)
            for endpoint in endpoints
            if endpoint in self.members
        )

    def concerns(self, endpoints: Iterable[str]) -> bool:
        """Tell whether one of some endpoints is in a delay or recovers from one."""
        return any(endpoint in self.members for endpoint in endpoints)

    def remaining(self, endpoint: str, now: float) -> float:
        """Return the seconds of an endpoint's delay that remain, 0 for none."""
        known = self.members.get(endpoint)
        return max(0.0, known.until - now) if known is not None else 0.0

    def next_in(self, choices: Iterable[Collection[str]], now: float) -> float:
        """Return the seconds until one of some choices may be free.

        It is 0 if that is unknown, because an endpoint recovers.

        Args:
            choices: The endpoints of each choice, at least one choice.
            now: Present time in seconds.
        """
        return min(
            max(self.remaining(endpoint, now) for endpoint in endpoints)
            for endpoints in choices
        )

    def retry_spread(self, endpoints: Iterable[str]) -> float:
        """Return the seconds over which the returns of refused callers are spread.

        Callers refused throughout a delay would otherwise return together at its end.

        Args:
            endpoints: Endpoints that the callers wait for.
        """
        delays = [self.members[e].delay for e in endpoints if e in self.members]
        spread = RETRY_SPREAD_DELAYS * max(delays, default=0.0)
        return min(max(spread, MIN_RETRY_SPREAD), MAX_RETRY_SPREAD)

    def active(self, now: float) -> set[str]:
        """Return the endpoints whose delay has not passed."""
        return {name for name, known in self.members.items() if known.until > now}

    def add_suspended_time(self, seconds: float) -> None:
        """Shorten all delays by a time for which the clock stood still."""
        for known in self.members.values():
            known.until -= seconds

    def expire(self, now: float) -> None:
        """Remove the delays of endpoints that have recovered."""
        for name, known in list(self.members.items()):
            if known.has_recovered(now):
                del self.members[name]
