"""Sharing of the room of a service between entries while it is short."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Protocol
from zlib import crc32

import attrs

from lacewingcourse.core.pipelines.load import PEER_LOADS_TTL
from lacewingcourse.core.pipelines.room_demand import (
    DemandMeter,
    RoomDemand,
    RoomReport,
    demand_of,
    level_of,
    report_of,
    sum_of,
)
from lacewingcourse.core.pipelines.room_division import WHOLE, RankPortion, divide
from lacewingcourse.core.pipelines.scheduling import RoomShare, UnlimitedShare
from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.scheduling import QueuedRequest

#: How the reason of a refusal begins that follows from the division of the room.
SHARE_REASON = "room is short"
#: Seconds after the last shortage anywhere for which room counts as short.
SHORTAGE_TTL = 1.5
#: Seconds of shortage before requests are refused for it: until then the queues of the
#: entries take it up.
ONSET_TIME = 0.25
#: Ratio of the demand that may start to what was started lately: requests that wait
#: keep the room full.
MIN_HEADROOM = 1.1
#: Seconds without a shortage after which the headroom grows, above the delay of gossip.
GROWTH_DELAY = 0.4
#: Seconds in which the headroom then doubles.
GROWTH_TIME = 0.3
#: Share of the highest start rate that counts as room at least, so that a service that
#: was away for a moment is not started slowly.
MIN_PEAK_SHARE = 0.5
#: Seconds in which the highest start rate is forgotten by half.
PEAK_HALF_LIFE = 30.0
#: Starts in succession without a shortage at this entry after which it may go on as it
#: does: what the others lack then is not what this entry uses.
MIN_STARTS_IN_ROW = 12
#: Seconds for which a division of the room is used.
PLAN_TTL = 0.05
#: Share of its waiting time for which a request is held back for more urgent ones of
#: other entries, and the most seconds.
MAX_HOLD_SHARE = 0.5
MAX_HOLD = 0.25
#: Pairs of rank and organisation whose admissions are counted.
MAX_CREDITS = 1024


@attrs.define
class RoomPlan:
    """How the room of a service is divided at present.

    Attributes:
        demand: Demand of all entries.
        parts: Demand of each peer that is contained in it.
        own: Demand of this entry that is contained in it.
        is_short: Whether an entry found no room lately.
        room: Tokens per second that can be started, infinity while room is not short.
        portions: What may start of each rank.
        own_portions: What may start of each rank by the demand and starts of this entry
            alone, empty unless it finds room for all that it starts.
        made_at: When this was computed, seconds.
    """

    demand: RoomDemand = attrs.field(factory=RoomDemand)
    parts: dict[str, RoomDemand] = attrs.field(factory=dict)
    own: RoomDemand = attrs.field(factory=RoomDemand)
    is_short: bool = False
    room: float = inf
    portions: dict[int, RankPortion] = attrs.field(factory=dict)
    own_portions: dict[int, RankPortion] = attrs.field(factory=dict)
    made_at: float = -inf

    def fraction(self, rank: int, organisation: str) -> float:
        """Return the fraction of an organisation's requests that may start.

        Args:
            rank: Rank of the requests.
            organisation: Name of the organisation.
        """
        rank = level_of(rank)
        fraction = self.portions.get(rank, WHOLE).fraction_of(organisation)
        if rank not in self.own_portions:
            return fraction
        return max(fraction, self.own_portions[rank].fraction_of(organisation))


class SharingPolicy(RoomShare, Protocol):
    """A room share of one service that other entries may contribute to."""

    def plan(self, now: float) -> RoomPlan:
        """Return how the room is divided at present."""

    def from_peer(self, peer: str, report: RoomReport, now: float) -> bool:
        """Replace the demand of a peer; return whether the report was usable."""

    def forget(self, peer: str) -> None:
        """Remove the demand of a peer."""

    def peer_names(self) -> list[str]:
        """Return the peers whose demand is known."""

    def report(self, included: Callable[[str], bool], now: float) -> RoomReport | None:
        """Return the demand of this entry and some peers, None if there is none."""

    def expire(self, now: float) -> None:
        """Remove expired state."""

    def take_refused(self) -> dict[int, int]:
        """Return the requests by rank that were not admitted since the last call."""


#: Policies by which entries share the room of a service, each made with the entry's
#: name.
ROOM_SHARING_POLICIES: Registry[Callable[[str], SharingPolicy]] = Registry(
    "sharing of room"
)


@ROOM_SHARING_POLICIES.register("own")
@attrs.define
class OwnRoomShare(UnlimitedShare):
    """Lets each entry start whatever finds room, without regard to the others.

    Attributes:
        entry: Name of this entry.
    """

    entry: str = ""

    def plan(self, now: float) -> RoomPlan:
        """Return how the room is divided at present."""
        return RoomPlan(made_at=now)

    def from_peer(self, peer: str, report: RoomReport, now: float) -> bool:
        """Replace the demand of a peer; return whether the report was usable."""
        return True

    def forget(self, peer: str) -> None:
        """Remove the demand of a peer."""

    def peer_names(self) -> list[str]:
        """Return the peers whose demand is known."""
        return []

    def report(self, included: Callable[[str], bool], now: float) -> RoomReport | None:
        """Return the demand of this entry and some peers, None if there is none."""
        return None

    def expire(self, now: float) -> None:
        """Remove expired state."""

    def take_refused(self) -> dict[int, int]:
        """Return the requests by rank that were not admitted since the last call."""
        return {}


@ROOM_SHARING_POLICIES.register("deployment")
@attrs.define
class DeploymentRoomShare:
    """Divides the room over the demand of all entries while one of them is short of it.

    What can be started together is estimated from what was started lately, with some
    headroom that grows once nobody is short of room. It is given to the ranks in their
    order, and within the rank where it runs out equally to the organisations. Each
    entry admits the resulting fraction of its own arrivals.

    Attributes:
        entry: Name of this entry.
        own: Demand at this entry.
        peers: Time of arrival and demand of each peer's last report.
        credits: Fractions of requests that were not admitted yet, by rank and
            organisation.
        current: The division in use.
        peak: Highest start rate of late in tokens per second, and when it was computed.
        short_since: When the present shortage was first seen, seconds, infinity while
            room is not short.
        starts_in_row: Starts at this entry since it last found no room.
        refused: Requests by rank that were not admitted since this was last read.
    """

    entry: str = ""
    own: DemandMeter = attrs.field(factory=DemandMeter)
    peers: dict[str, tuple[float, RoomDemand]] = attrs.field(factory=dict)
    credits: dict[tuple[int, str], float] = attrs.field(factory=dict)
    current: RoomPlan = attrs.field(factory=RoomPlan)
    peak: tuple[float, float] = (0.0, 0.0)
    short_since: float = inf
    starts_in_row: int = 0
    refused: dict[int, int] = attrs.field(factory=dict)

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Count the demand of a request that has arrived."""
        self.own.record_arrival(request, now)

    def may_take(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request belongs to what this entry may start.

        The answer is given once for each request, on its arrival. Requests count alike
        whatever their size, so large ones are admitted as often as small ones.
        """
        if request.due or request.resumed:
            return True
        fraction = self.plan(now).fraction(request.rank, request.organisation)
        if fraction >= 1.0:
            return True
        key = (level_of(request.rank), request.organisation)
        credit = self.credits.get(key)
        if credit is None:
            if len(self.credits) >= MAX_CREDITS:
                self.credits.clear()
            credit = self._first_credit(key)
        credit += fraction
        is_admitted = credit >= 1.0
        self.credits[key] = credit - is_admitted
        if not is_admitted:
            self.refused[key[0]] = self.refused.get(key[0], 0) + 1
        return is_admitted

    def record_start(self, request: QueuedRequest, now: float) -> None:
        """Count the room that a request has taken."""
        self.own.record_start(request, now)
        self.starts_in_row += 1

    def record_shortage(self, request: QueuedRequest, now: float) -> None:
        """Record that a request that may take room has found none."""
        self.own.record_shortage(request, now)
        self.starts_in_row = 0

    def has_precedence(self, request: QueuedRequest, now: float) -> bool:
        """Return whether no more urgent request waits at another entry.

        A request is held back for a part of its waiting time at most, so that it still
        starts if the other entry cannot use the room.
        """
        limit = min(
            MAX_HOLD, MAX_HOLD_SHARE * (request.latest_start - request.arrived_at)
        )
        if request.resumed or not 0.0 <= now - request.arrived_at < limit:
            return True
        rank = level_of(request.rank)
        return not any(
            demand.waiting > 0
            for received_at, peer in self.peers.values()
            if 0.0 <= now - received_at <= PEER_LOADS_TTL
            for other, demand in peer.ranks.items()
            if other < rank
        )

    def plan(self, now: float) -> RoomPlan:
        """Return how the room is divided at present."""
        if not 0.0 <= now - self.current.made_at < PLAN_TTL:
            self.current = self._make_plan(now)
        return self.current

    def reason(self, request: QueuedRequest, now: float) -> str:
        """Return why a request does not belong to what this entry may start."""
        plan = self.plan(now)
        portion = plan.portions.get(level_of(request.rank), WHOLE)
        fraction = plan.fraction(request.rank, request.organisation)
        return (
            f"{SHARE_REASON}: rank {request.rank} may start {portion.fraction:.2f} of "
            f"its demand, {request.organisation} {fraction:.2f}"
        )

    def from_peer(self, peer: str, report: RoomReport, now: float) -> bool:
        """Replace the demand of a peer; return whether the report was usable."""
        demand = demand_of(report, now)
        if demand is None:
            return False
        self.peers[peer] = (now, demand)
        return True

    def forget(self, peer: str) -> None:
        """Remove the demand of a peer."""
        self.peers.pop(peer, None)

    def peer_names(self) -> list[str]:
        """Return the peers whose demand is known."""
        return list(self.peers)

    def report(self, included: Callable[[str], bool], now: float) -> RoomReport | None:
        """Return the demand of this entry and some peers, None if there is none."""
        plan = self.plan(now)
        counted = [part for peer, part in plan.parts.items() if included(peer)]
        if not counted:
            demand = self.own.read(now)
        elif 2 * len(counted) < len(plan.parts):
            demand = sum_of([plan.own, *counted])
        else:
            # A hub sends each entry of its zone the sum of all but that entry.
            excluded = [part for peer, part in plan.parts.items() if not included(peer)]
            short_at = max(part.short_at for part in (plan.own, *counted))
            demand = plan.demand.without(excluded, short_at)
        found = report_of(demand, SHORTAGE_TTL, now)
        return found if found.ranks else None

    def expire(self, now: float) -> None:
        """Remove expired state."""
        self.own.expire(now)
        fresh = {peer for peer, _ in self._fresh(now)}
        for peer in set(self.peers) - fresh:
            del self.peers[peer]
        if not self.plan(now).is_short:
            self.credits.clear()

    def take_refused(self) -> dict[int, int]:
        """Return the requests by rank that were not admitted since the last call."""
        refused, self.refused = self.refused, {}
        return refused

    def _fresh(self, now: float) -> list[tuple[str, RoomDemand]]:
        """Return the peers whose last report still counts, with their demand."""
        return [
            (peer, demand)
            for peer, (received_at, demand) in self.peers.items()
            if 0.0 <= now - received_at <= PEER_LOADS_TTL
        ]

    def _first_credit(self, key: tuple[int, str]) -> float:
        """Return a number from 0 to 1 that differs between entries.

        Otherwise all entries would admit the first request of an organisation, or none.
        """
        return crc32(f"{self.entry} {key}".encode()) / 2**32

    def _make_plan(self, now: float) -> RoomPlan:
        parts, own = dict(self._fresh(now)), self.own.read(now)
        total = sum_of([own, *parts.values()])
        plan = RoomPlan(total, parts, own, made_at=now)
        peak = self._recent_peak(total.started, now)
        idle_for = max(0.0, now - total.short_at)
        if idle_for > SHORTAGE_TTL:
            self.short_since = inf
            return plan
        plan.is_short = True
        self.short_since = min(self.short_since, now)
        if now - self.short_since < ONSET_TIME:
            return plan
        growth = 2.0 ** (max(0.0, idle_for - GROWTH_DELAY) / GROWTH_TIME)
        plan.room = max(MIN_HEADROOM * total.started, MIN_PEAK_SHARE * peak) * growth
        plan.portions = divide(plan.room, total)
        if self.starts_in_row >= MIN_STARTS_IN_ROW:
            plan.own_portions = divide(MIN_HEADROOM * own.started, own)
        return plan

    def _recent_peak(self, started: float, now: float) -> float:
        """Return the highest start rate of late, and remember it."""
        peak, at = self.peak
        peak = max(started, peak * 0.5 ** (max(0.0, now - at) / PEAK_HALF_LIFE))
        self.peak = (peak, now)
        return peak
