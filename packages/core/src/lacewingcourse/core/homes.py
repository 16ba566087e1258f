"""Which agent is the home of each shard of keys: a fold over the log.

Each record holds the whole table of one target, so that the newest valid record is
enough. A record is valid if it names the newest valid one as its base; the first of
several with the same base wins.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.keys import SHARD_COUNT

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from lacewingcourse.core.endpoints import EndpointState


@attrs.frozen
class HomeSettings:
    """Limits that all processes of a deployment share, in seconds.

    Attributes:
        tenure: How far beyond the present a home may be given keys.
        key_skew: How far a caller's clock may be ahead.
        instance_skew: How far the clocks of two instances may differ.
        retention: How long keys are remembered.
    """

    tenure: float = 21600.0
    key_skew: float = 5.0
    instance_skew: float = 1.0
    retention: float = 82800.0


@attrs.frozen
class Tenancy:
    """The time in which one incarnation of an agent is a shard's home.

    Attributes:
        endpoint: Name of the endpoint instance.
        incarnation: Incarnation of its agent.
        agent_url: Base URL of its agent.
        since: When it began, seconds since the epoch.
        until: It takes no key made after this time, seconds since the epoch.
        exact: Whether it ended with its whole journal in the log.
        ended_at: When it was seen to have ended, or None.
    """

    endpoint: str
    incarnation: str
    agent_url: str
    since: float
    until: float
    exact: bool = False
    ended_at: float | None = None


@attrs.frozen
class Shard:
    """One shard of the keys of a target.

    Attributes:
        epoch: Epoch of the table in which the home last changed.
        home: The present tenancy, or None.
        past: Tenancies that ended within the retention.
    """

    epoch: int = 0
    home: Tenancy | None = None
    past: tuple[Tenancy, ...] = ()


@attrs.frozen
class HomesTable:
    """The homes of all shards of one target.

    Attributes:
        target: The service or model.
        epoch: Number of this table.
        shards: The shards in order.
    """

    target: str
    epoch: int
    shards: tuple[Shard, ...]

    def held_by(self, incarnation: str) -> frozenset[int]:
        """Return the shards whose home an incarnation is."""
        return frozenset(
            number
            for number, shard in enumerate(self.shards)
            if shard.home is not None and shard.home.incarnation == incarnation
        )

    def all_held(self) -> bool:
        """Tell whether every shard has a home."""
        return all(shard.home is not None for shard in self.shards)


@attrs.frozen
class HomesRecord:
    """A table as it stands in the log.

    Attributes:
        record_id: Name of the record, unique for all time.
        base_id: Record that this one follows, or empty for a target's first.
        table: The table.
    """

    record_id: str
    base_id: str
    table: HomesTable


class HomesFold:
    """The tables in force, by target.

    Attributes:
        records: The newest valid record of each target.
        whole: Whether the log was read from its very first record.
        proven: Targets whose newest record is known to be valid.
    """

    def __init__(self) -> None:
        self.records: dict[str, HomesRecord] = {}
        self.whole = True
        self.proven: set[str] = set()

    def table(self, target: str) -> HomesTable | None:
        """Return the table in force of a target."""
        record = self.records.get(target)
        return record.table if record else None

    def restart(self) -> None:
        """Forget all, because records were lost between two reads."""
        self.records = {}
        self.proven = set()
        self.whole = False

    def take(self, record: HomesRecord) -> bool:
        """Take the next record of the log; tell whether it is valid.

        The first record that a late reader sees may be the loser of a race. Its
        successor tells: nobody builds on a loser.
        """
        target = record.table.target
        current = self.records.get(target)
        if current is None:
            valid = not self.whole or not record.base_id
        elif record.table.epoch != current.table.epoch + 1:
            valid = False
        else:
            valid = record.base_id == current.record_id or target not in self.proven
        if not valid:
            return False
        if current is not None or self.whole:
            self.proven.add(target)
        self.records[target] = record
        return True


def propose(
    table: HomesTable | None,
    target: str,
    endpoints: Iterable[EndpointState],
    gone: Collection[str],
    now: float,
    settings: HomeSettings,
) -> HomesTable | None:
    """Return the next table of a target, or None if nothing has to change.

    Args:
        table: The table in force.
        target: The service or model.
        endpoints: Endpoints of the target that are known.
        gone: Instances that the platform says have ended.
        now: Seconds since the epoch.
        settings: Limits of the deployment.
    """
    known = {endpoint.id: endpoint for endpoint in endpoints}
    candidates = [each for each in known.values() if each.takes_new_work()]
    if table is None:
        table = HomesTable(target, 0, (Shard(),) * SHARD_COUNT)
    epoch = table.epoch + 1
    shards = []
    for number, shard in enumerate(table.shards):
        shard = _ended(shard, known, gone, now, settings)
        if shard.home is None and candidates:
            shard = _assigned(shard, target, number, candidates, now, settings)
            shard = attrs.evolve(shard, epoch=epoch)
        shards.append(_renewed(shard, known, now, settings))
    if tuple(shards) == table.shards:
        return None
    return HomesTable(target, epoch, tuple(shards))


def release(table: HomesTable, incarnation: str, now: float) -> HomesTable:
    """Return the table without an incarnation whose journal is in the log."""
    shards = []
    for shard in table.shards:
        home = shard.home
        if home is not None and home.incarnation == incarnation:
            ended = attrs.evolve(home, exact=True, ended_at=now)
            shard = Shard(table.epoch + 1, None, (*shard.past, ended))
        shards.append(shard)
    return HomesTable(table.target, table.epoch + 1, tuple(shards))


def _ended(
    shard: Shard,
    known: dict[str, EndpointState],
    gone: Collection[str],
    now: float,
    settings: HomeSettings,
) -> Shard:
    """Return the shard without its home if the home has surely ended.

    Incarnations of one instance grow, so a smaller one is only an old report.
    """
    home = shard.home
    if home is None:
        return shard
    seen = known.get(home.endpoint)
    replaced = seen is not None and seen.incarnation > home.incarnation
    alive = seen is not None and seen.incarnation == home.incarnation and seen.ready
    expired = now > home.until + settings.instance_skew and not alive
    if not (replaced or expired or home.endpoint in gone):
        return shard
    ended_at = now if replaced or home.endpoint in gone else None
    ended = attrs.evolve(home, ended_at=ended_at)
    oldest = now - settings.retention
    kept = [each for each in shard.past if (each.ended_at or each.until) > oldest]
    return Shard(shard.epoch, None, (*kept, ended))


def _assigned(
    shard: Shard,
    target: str,
    number: int,
    candidates: list[EndpointState],
    now: float,
    settings: HomeSettings,
) -> Shard:
    """Return the shard with the home that rendezvous hashing chooses."""

    def weight(endpoint: EndpointState) -> bytes:
        return hashlib.sha256(f"{target}/{number}/{endpoint.id}".encode()).digest()

    chosen = max(candidates, key=weight)
    home = Tenancy(
        endpoint=chosen.id,
        incarnation=chosen.incarnation,
        agent_url=chosen.agent_url,
        since=now,
        until=now + settings.tenure,
    )
    return attrs.evolve(shard, home=home)


def _renewed(
    shard: Shard,
    known: dict[str, EndpointState],
    now: float,
    settings: HomeSettings,
) -> Shard:
    """Return the shard with a longer tenure if a quarter is spent."""
    home = shard.home
    if home is None or home.until - now > settings.tenure * 0.75:
        return shard
    seen = known.get(home.endpoint)
    if seen is None or not seen.ready or seen.incarnation != home.incarnation:
        return shard
    return attrs.evolve(shard, home=attrs.evolve(home, until=now + settings.tenure))
