"""What entries tell one another, put together and taken in."""

from __future__ import annotations

from collections import defaultdict
from math import isfinite
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.peers import Role
from lacewingcourse.core.pipelines.stamps import StampTable
from lacewingcourse.core.pipelines.suspects import Reach
from lacewingcourse.relay.peer_messages import PeerNews, Scope, decode_limit, loads_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.duty_holder import DutyHolder
    from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
    from lacewingcourse.relay.readiness import Readiness

#: Key under which the loads of all others are kept that a hub told.
OTHERS = "others"
#: What suspicions and losses reach whom, by what the loads beside them cover.
REACH_OF_SCOPE = {
    Scope.OWN: Reach.OWN,
    Scope.ZONE: Reach.ZONE,
    Scope.OTHERS: Reach.ALL,
}


@attrs.define
class Gossip:
    """Composes the news of this entry, and learns from those of others.

    Among a few entries each tells what it did itself. Among many, hubs add up what the
    entries of their availability zone told, and tell each of these what all others
    did.

    Attributes:
        name: Name of this entry.
        address: Its address for entries.
        book: The other entries.
        beliefs: What this entry believes.
        configuration: Follows the configuration.
        directory: Follows the directory.
        holder: Who has the duty of placing.
        readiness: Whether this entry is ending.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        ends_in: Returns the seconds until this entry expects to have ended, None if it
            is not ending.
        boot_clock: Returns the present time in seconds, counting those for which the
            machine was suspended.
        stamps: When the news of others were composed.
    """

    name: str
    address: str
    book: PeerBook
    beliefs: Beliefs
    configuration: ConfigurationFollower
    directory: DirectoryFollower
    holder: DutyHolder
    readiness: Readiness
    log: DecisionLog
    clock: Callable[[], float]
    ends_in: Callable[[], float | None] = lambda: None
    boot_clock: Callable[[], float] = attrs.field()
    stamps: StampTable = attrs.field()

    @boot_clock.default
    def _loop_clock(self) -> Callable[[], float]:
        return self.clock

    @stamps.default
    def _no_stamps(self) -> StampTable:
        return StampTable(self.boot_clock())

    @property
    def reads(self) -> bool:
        """Whether the platform answers this entry."""
        return self.configuration.reachable and self.directory.reachable

    def news_for(self, receiver: str, zone: str) -> PeerNews:
        """Return what this entry tells another one.

        Args:
            receiver: Its name, empty if it is unknown.
            zone: Its availability zone, empty if it is unknown.
        """
        now, boot_now = self.clock(), self.boot_clock()
        scope = self.scope_for(receiver, zone, now)
        reach = REACH_OF_SCOPE[scope]
        covered = self._covered(scope, receiver)
        loads = self.beliefs.loads.total(covered)
        links = self.beliefs.links.total(now, covered)
        table, lease = self.beliefs.table, self.holder.lease
        return PeerNews(
            name=self.name,
            zone=self.book.zone,
            address=self.address,
            leaving=self.readiness.leaving,
            version=table.version if table else 0,
            version_age=self.configuration.freshness.age(boot_now),
            position=self.directory.position or 0,
            position_age=self.directory.freshness.age(boot_now),
            scope=scope,
            loads={
                endpoint: (
                    load.requests,
                    load.first_part_requests,
                    round(load.token_layers),
                )
                for endpoint, load in loads.items()
                if load.requests
            },
            links=[(*pair, round(use, 3)) for pair, use in links.items()],
            suspects=self.beliefs.suspects.remaining(now, reach),
            silent=sorted(self.beliefs.suspects.silent(now)),
            speeds=self.beliefs.speeds.remaining(now),
            crashes=self.beliefs.crashes.losses(now, reach),
            peers={
                peer.name: (peer.address, peer.zone, round(now - peer.heard_at, 3))
                for peer in self.book.told_to(zone, now)
            },
            counts=self._counts(scope, now),
            holder=lease.holder if lease else "",
            fencing=lease.fencing if lease else 0,
            holder_age=round(self.holder.silence(), 3) if lease else 0.0,
            released=self.holder.released,
            ends_in=self.ends_in(),
            limits=self.beliefs.limits.observations(now),
            reads=self.reads,
            stamp=boot_now,
            echo=self.stamps.echo(receiver, boot_now),
        )

    def time_on_way(self, news: PeerNews) -> float:
        """Return the seconds that have passed since news were composed, at the most.

        Returns:
            Infinity if that is not known.
        """
        now = self.boot_clock()
        composed_at = self.stamps.composed_at(news.echo, now)
        return float("inf") if composed_at is None else now - composed_at

    def scope_for(self, receiver: str, zone: str, now: float) -> Scope:
        """Return whose loads another entry is told."""
        if self.book.role(now) is not Role.HUB:
            return Scope.OWN
        if zone != self.book.zone:
            return Scope.ZONE
        is_hub = receiver in self.book.hubs(now)[self.book.zone]
        return Scope.OWN if is_hub else Scope.OTHERS

    def take(self, news: PeerNews) -> None:
        """Learn from another entry."""
        now = self.clock()
        self.stamps.receive(news.name, news.stamp, self.boot_clock())
        was_alive = news.name in self.book.alive(now)
        self.book.hear(
            news.name,
            news.address,
            news.leaving,
            now,
            news.zone,
            news.ends_in,
            news.reads,
        )
        if not was_alive and not news.leaving:
            self.log.belief("peer_heard", peer=news.name, address=news.address)
        # The first word of an entry has no echo, and must not be missed.
        on_way = self.time_on_way(news)
        on_way = on_way if isfinite(on_way) else 0.0
        for name, (address, zone, age) in news.peers.items():
            self.book.hear_of(name, address, zone, on_way + age, now)
        self._take_counts(news, now)
        self._take_loads(news, now)
        near = news.zone == self.book.zone and news.scope is Scope.OWN
        for endpoint, remaining in news.suspects.items():
            silent = endpoint in news.silent
            self.beliefs.suspects.from_peer(endpoint, remaining, now, near, silent)
        for endpoint, (factor, remaining) in news.speeds.items():
            self.beliefs.speeds.from_peer(endpoint, factor, remaining, now)
        self.beliefs.crashes.from_peer(news.crashes, now, near)
        self._take_limits(news, now, on_way)
        holder_age = on_way + news.holder_age
        self.holder.hear(news.holder, news.fencing, holder_age, news.released)

    def _take_limits(self, news: PeerNews, now: float, on_way: float) -> None:
        """Take which limits endpoints named to others."""
        limits = self.beliefs.limits
        for endpoint, (told, age) in news.limits.items():
            named, before = decode_limit(told), limits.named(endpoint)
            if limits.from_peer(endpoint, named, on_way + age, now):
                self.log.limit(endpoint, named, before, news.name)

    def _take_counts(self, news: PeerNews, now: float) -> None:
        """Take how many entries other zones have."""
        told = {zone: n for zone, n in news.counts.items() if zone != self.book.zone}
        if news.scope is Scope.OTHERS:
            self.book.counts = told
        else:
            self.book.counts.update(told)

    def _take_loads(self, news: PeerNews, now: float) -> None:
        """Take what others run, unless it is known already in another sum."""
        role = self.book.role(now)
        loads, links = self.beliefs.loads, self.beliefs.links
        uses = {(first, second): use for first, second, use in news.links}
        if role is Role.MEMBER:
            if news.scope is Scope.OTHERS:
                self._forget_but({OTHERS})
                loads.from_peer(OTHERS, loads_of(news), now)
                links.from_peer(OTHERS, uses)
            return
        key = self._key_of(news, role)
        if key:
            self._forget(OTHERS)
            loads.from_peer(key, loads_of(news), now)
            links.from_peer(key, uses)

    def _key_of(self, news: PeerNews, role: Role) -> str:
        """Return under which key loads are kept, empty for those in another sum."""
        if role is Role.EQUAL:
            return news.name if news.scope is Scope.OWN else ""
        near = news.zone == self.book.zone
        if news.scope is Scope.OWN:
            return news.name if near else ""
        return f"zone {news.zone}" if news.scope is Scope.ZONE and not near else ""

    def _forget_but(self, kept: set[str]) -> None:
        for key in set(self.beliefs.loads.peers) - kept:
            self._forget(key)

    def _forget(self, key: str) -> None:
        self.beliefs.loads.forget(key)
        self.beliefs.links.forget(key)

    def _covered(self, scope: Scope, receiver: str) -> Callable[[str], bool]:
        """Return which loads of others a message tells besides this entry's own."""
        if scope is Scope.OWN:
            return lambda key: False
        if scope is Scope.ZONE:
            return self._near
        return lambda key: key != receiver

    def _near(self, key: str) -> bool:
        """Tell whether loads under a key are those of an entry of this zone."""
        return key in self.book.peers

    def _counts(self, scope: Scope, now: float) -> dict[str, int]:
        """Return how many entries zones have, for those who do not hear them."""
        if self.book.role(now) is Role.MEMBER:
            return {}
        counts: dict[str, int] = defaultdict(int)
        for name in self.book.alive(now):
            if self.book.zone_of(name) == self.book.zone:
                counts[self.book.zone] += 1
        return self.book.counts | counts if scope is Scope.OTHERS else counts
