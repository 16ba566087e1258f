"""Finds out which live instances have a version in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.backing.instances import InstanceState
from lacewingcourse.core.errors import Refusal
from lacewingcourse.daemon.daemon import Readiness
from lacewingcourse.entry.host import Host
from lacewingcourse.wire.client import NO_RESPONSE_STATUS, fetch
from lacewingcourse.wire.codec import decode

if TYPE_CHECKING:
    from lacewingcourse.backing.instances import Instance
    from lacewingcourse.entry.directory import Directory

#: Instances that are asked at a time.
PARALLEL = 50
#: Seconds between two rounds of questions.
ROUND_INTERVAL = 0.1
#: Seconds that an instance may take to answer.
ASK_TIMEOUT = 1.0


class RolloutHost(Host, Protocol):
    """What the watch of a roll-out needs of the entry.

    Attributes:
        directory: What is known of the endpoints.
    """

    directory: Directory


@attrs.frozen
class Rollout:
    """How far a version has reached.

    Attributes:
        version: The version.
        reached: Live instances that have it, or a newer one, in force.
        lagging: Names of the live instances that have not said so.
    """

    version: int
    reached: int
    lagging: tuple[str, ...]


class RolloutWatcher:
    """Asks the live instances for their versions.

    Attributes:
        entry: The entry that asks.
    """

    def __init__(self, entry: RolloutHost) -> None:
        self.entry = entry

    async def wait(self, version: int, timeout: float) -> Rollout:
        """Return when every live instance has a version, or after the timeout."""
        deadline = self.entry.now() + timeout
        reached: set[str] = set()
        while True:
            live = [each for each in self._live() if each.id not in reached]
            reached |= await self._ask_all(live, version)
            lagging = sorted(each.id for each in self._live() if each.id not in reached)
            if not lagging or self.entry.now() >= deadline:
                return Rollout(version, len(reached), tuple(lagging))
            await asyncio.sleep(ROUND_INTERVAL)

    def _live(self) -> list[Instance]:
        return [
            instance
            for instance in self.entry.directory.listed
            if instance.state is InstanceState.LIVE
        ]

    async def _ask_all(self, instances: list[Instance], version: int) -> set[str]:
        """Return the names of the instances that have the version in force."""
        limit = asyncio.Semaphore(PARALLEL)

        async def ask(instance: Instance) -> str | None:
            async with limit:
                known = await self._version(instance)
            return instance.id if known >= version else None

        answers = await asyncio.gather(*(ask(instance) for instance in instances))
        return {name for name in answers if name is not None}

    async def _version(self, instance: Instance) -> int:
        """Return the version that an instance has in force, -1 if it does not tell."""
        request = HTTPRequest(
            instance.url + "/readyz",
            connect_timeout=ASK_TIMEOUT,
            request_timeout=ASK_TIMEOUT,
        )
        response = await fetch(self.entry.peers.http, request)
        if response.code == NO_RESPONSE_STATUS:
            return -1
        readiness = decode(response.body, Readiness)
        if isinstance(readiness, Refusal):
            return -1
        return readiness.configuration_version
