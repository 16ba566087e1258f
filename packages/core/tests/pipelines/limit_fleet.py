"""Simulated entries that share the limit of one endpoint, on a virtual clock."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.limit_sharing import (
    LIMIT_SHARING_POLICIES,
    PermitSharing,
)
from lacewingcourse.core.pipelines.peers import PEER_SILENCE_TIMEOUT
from lacewingcourse.core.pipelines.permits import Grant, PermitIssuer, issuer_of
from lacewingcourse.core.pipelines.send_limits import SendLimits
from lacewingcourse.testing.limit_check import LimitCheck

if TYPE_CHECKING:
    from collections.abc import Callable

#: The limited endpoint.
ENDPOINT = "a"
#: Seconds that a message takes at most, and seconds to connect to the endpoint.
MAX_MESSAGE_DELAY = 0.01
CONNECT_TIME = 0.005
#: Seconds after which a waiting request is tried again.
RETRY_PERIOD = 0.03
#: Seconds within which all entries learn of a limit that the endpoint advertises.
PROPAGATION_TIME = 0.4
#: Seconds after which an entry gives up on an unanswered demand, and after which it
#: repeats it.
ANSWER_TIMEOUT = 0.6
UNANSWERED_RETRY = 0.2
#: Seconds after its start in which an entry and the others know of each other.
DISCOVERY_TIME = 0.2
#: Seconds between two removals of expired state.
EXPIRY_PERIOD = 0.25
#: When the endpoint advertises its limit, seconds.
ADVERTISED_AT = 6.0


@attrs.define
class LimitedEntry:
    """One entry.

    Attributes:
        name: Its name.
        limits: What it may send.
        issuer: Issuer of the permits that it grants.
        alive: Names of the entries that it knows to be alive, including itself.
        is_waiting: Whether it waits for the answer to a demand.
        is_up: Whether its process runs.
    """

    name: str
    limits: SendLimits
    issuer: PermitIssuer
    alive: list[str]
    is_waiting: bool = False
    is_up: bool = True


class LimitFleet:
    """Entries in front of an endpoint whose callers all use that endpoint.

    Attributes:
        now: Present time in seconds.
        entries: The entries by name.
        check: Checks the requests that the endpoint received.
        sent: Times at which requests were sent, seconds.
    """

    def __init__(
        self,
        sharing: str,
        entries: int,
        limit: float,
        seed: int,
        load: float = 3.5,
        max_wait: float = 0.0,
    ) -> None:
        """Create entries whose callers want more than the endpoint takes.

        Args:
            sharing: Name of the policy by which they share its limit.
            entries: How many there are.
            limit: Requests per second that the endpoint will advertise.
            seed: Seed of the random numbers.
            load: Offered load as a multiple of the limit.
            max_wait: Seconds for which a request waits that may not be sent at once.
        """
        self.rng = Random(seed)
        self.now = 0.0
        self.limit = limit
        self.load = load * limit
        self.max_wait = max_wait
        self.check = LimitCheck(limit, ADVERTISED_AT)
        self.sent: list[float] = []
        self.events: list = []
        self.order = count()
        names = [f"e{number:02}" for number in range(entries)]
        self.entries = {name: self.make_entry(name, sharing, names) for name in names}
        # The load differs between entries.
        self.weights = [self.rng.random() ** 2 + 0.05 for _ in names]
        self.schedule(0.0, self.generate_request)
        self.schedule(0.0, self.expire_state)
        self.schedule(ADVERTISED_AT, self.advertise)

    def make_entry(self, name: str, sharing: str, names: list[str]) -> LimitedEntry:
        """Return an entry that has just started."""
        limits = SendLimits(sharing=LIMIT_SHARING_POLICIES.get(sharing)())
        limits.sharing.entries = len(names)
        issuer = PermitIssuer(f"{name}#{self.now}")
        return LimitedEntry(name, limits, issuer, list(names))

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.order), call))

    def run_until(self, until: float) -> None:
        """Run the simulation until a time."""
        while self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def advertise(self, limit: float | None = None) -> None:
        """Make the endpoint advertise its limit, or another one."""
        named = self.limit if limit is None else limit
        observed_at = self.now
        for entry in self.entries.values():
            self.schedule(
                self.now + self.rng.uniform(0, PROPAGATION_TIME),
                lambda entry=entry: self.observe_limit(entry, named, observed_at),
            )

    def observe_limit(
        self, entry: LimitedEntry, named: float, observed_at: float
    ) -> None:
        """Make an entry observe a limit in an answer, and pass it on to a caller."""
        entry.limits.table.observe(ENDPOINT, named, observed_at + 1e-6, self.now)
        self.check.pass_on(entry.name, self.now)
        self.request_permits(entry)

    def generate_request(self) -> None:
        """Send the request of a caller to a random entry, and schedule the next one."""
        self.schedule(self.now + self.rng.expovariate(self.load), self.generate_request)
        (name,) = self.rng.choices(list(self.entries), self.weights)
        if self.entries[name].is_up:
            until = self.now + self.max_wait
            self.try_to_send(self.entries[name], object(), until)

    def try_to_send(self, entry: LimitedEntry, request: object, until: float) -> None:
        """Make an entry send a request, now or within the time it may wait."""
        if entry.limits.hold(ENDPOINT, request, self.now):
            self.schedule(self.now + CONNECT_TIME, lambda: self.send(entry, request))
        elif self.now + RETRY_PERIOD <= until:
            again = self.now + RETRY_PERIOD
            self.schedule(again, lambda: self.try_to_send(entry, request, until))
        self.request_permits(entry)

    def send(self, entry: LimitedEntry, request: object) -> None:
        """Send a request if it is still allowed."""
        if entry.is_up and entry.limits.take(ENDPOINT, request, self.now):
            self.check.arrivals.append((self.now, entry.name))
            self.sent.append(self.now)

    def request_permits(self, entry: LimitedEntry) -> None:
        """Make an entry request the permits that it is missing."""
        sharing = entry.limits.sharing
        if not isinstance(sharing, PermitSharing) or entry.is_waiting:
            return
        rate = entry.limits.table.rate(ENDPOINT, self.now)
        issuer = issuer_of(ENDPOINT, entry.alive)
        demand = sharing.demand(entry.name, ENDPOINT, issuer, rate, self.now)
        if demand is None or ENDPOINT not in entry.limits.table.members:
            return
        entry.is_waiting = True
        requested_at = self.now
        arrives = self.now + (0 if issuer == entry.name else self.delay())
        self.schedule(
            arrives, lambda: self.answer_demand(entry, issuer, demand, requested_at)
        )

    def answer_demand(self, entry, issuer, demand, requested_at) -> None:
        """Answer a demand.

        An entry that takes another one for the issuer grants nothing.
        """
        other = self.entries[issuer]
        if not other.is_up:
            nothing = Grant("", (), UNANSWERED_RETRY)
            later = self.now + ANSWER_TIMEOUT
            self.schedule(
                later, lambda: self.accept_grant(entry, nothing, issuer, requested_at)
            )
            return
        back = self.now + (0 if issuer == entry.name else self.delay())
        if issuer_of(ENDPOINT, other.alive) != issuer:
            self.schedule(back, lambda: self.finish_demand(entry))
            return
        own = issuer == entry.name and len(other.alive) > 1
        rate = entry.limits.table.rate(ENDPOINT, self.now)
        grant = other.issuer.grant(ENDPOINT, demand, rate, self.now, own)
        self.schedule(
            back, lambda: self.accept_grant(entry, grant, issuer, requested_at)
        )

    def accept_grant(self, entry, grant, issuer, requested_at) -> None:
        """Make an entry accept a grant."""
        sharing, draw = entry.limits.sharing, self.rng.random()
        sharing.accept_grant(ENDPOINT, grant, issuer, requested_at, self.now, draw)
        self.finish_demand(entry)

    def finish_demand(self, entry) -> None:
        """Allow an entry to send another demand."""
        entry.is_waiting = False

    def restart(self, name: str, downtime: float) -> None:
        """End an entry now and start it again later.

        Args:
            name: Name of the entry.
            downtime: Seconds between its end and its start.
        """
        old = self.entries[name]
        old.is_up = False
        self.check.excuse(name, self.now, self.now + downtime)
        self.schedule(
            self.now + PEER_SILENCE_TIMEOUT, lambda: self.set_known_alive(name, False)
        )
        self.schedule(self.now + downtime, lambda: self.start_again(name))

    def start_again(self, name: str) -> None:
        """Start an entry that knows no others and has no earlier state."""
        old = self.entries[name]
        sharing = "permits" if isinstance(old.limits.sharing, PermitSharing) else "even"
        entry = self.entries[name] = self.make_entry(name, sharing, [name])
        self.schedule(self.now + DISCOVERY_TIME, lambda: self.discover_peers(entry))

    def discover_peers(self, entry: LimitedEntry) -> None:
        """Make a started entry and the others know of each other."""
        entry.alive = [name for name, other in self.entries.items() if other.is_up]
        entry.limits.sharing.entries = len(self.entries)
        self.set_known_alive(entry.name, True)
        for other in self.entries.values():
            for endpoint, limit in other.limits.table.members.items():
                age = self.now - limit.observed_at
                entry.limits.table.from_peer(endpoint, limit.named, age, self.now)

    def set_known_alive(self, name: str, is_up: bool) -> None:
        """Set whether all other entries know an entry to be alive."""
        for entry in self.entries.values():
            if entry.name == name:
                continue
            known = set(entry.alive) - {name}
            entry.alive = sorted(known | {name} if is_up else known)

    def delay(self) -> float:
        """Return the seconds that a message takes."""
        return self.rng.uniform(0.0005, MAX_MESSAGE_DELAY)

    def expire_state(self) -> None:
        """Remove expired state of all entries, and schedule the next removal."""
        self.schedule(self.now + EXPIRY_PERIOD, self.expire_state)
        for entry in self.entries.values():
            entry.limits.sharing.expire(self.now)
            entry.issuer.expire(self.now)

    def utilisation(self, since: float) -> float:
        """Return the share of the limit that was used since a time."""
        sent = sum(at >= since for at in self.sent)
        return sent / (self.limit * (self.now - since))
