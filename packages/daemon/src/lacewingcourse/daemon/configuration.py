"""Keeps a process's configuration up to date from other processes."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from prometheus_client import Counter, Gauge

from lacewingcourse.core.configuration_replica import ConfigurationReplica
from lacewingcourse.core.dissemination import relay_branches
from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.messages import ConfigurationExchange
from lacewingcourse.daemon.handlers import WireHandler
from lacewingcourse.daemon.process import Process
from lacewingcourse.wire import paths
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from prometheus_client import CollectorRegistry

    from lacewingcourse.core.configuration import Configuration

#: Seconds that an exchange with another process may take.
EXCHANGE_TIMEOUT = 1.5
#: Seconds between two looks for a configuration while there is none.
FIRST_INTERVAL = 0.25
#: Exchanges in a row with one process at the most.
EXCHANGE_ROUNDS = 3


class ConfigurationCounters(Protocol):
    """Counters of a process, as far as the configuration needs them.

    Attributes:
        configuration: Counters of the configuration.
    """

    configuration: ConfigurationMetrics


class ConfiguredProcess(Process, Protocol):
    """What the configuration needs of the process that it is kept for.

    Attributes:
        metrics: Counters of the process.
    """

    metrics: ConfigurationCounters


class ConfigurationMetrics:
    """Counters of the configuration.

    Attributes:
        version: Version in force.
        exchanges: Exchanges that other processes began.
        bytes: Bytes of the bodies of these exchanges, both ways.
        diverged: Peers of the same version with another lineage.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.version = Gauge(
            "lacewingcourse_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.exchanges = Counter(
            "lacewingcourse_configuration_exchanges",
            "Exchanges of the configuration that other processes began",
            registry=registry,
        )
        self.bytes = Counter(
            "lacewingcourse_configuration_exchange_bytes",
            "Bytes of the bodies of these exchanges, both ways",
            registry=registry,
        )
        self.diverged = Gauge(
            "lacewingcourse_configuration_diverged",
            "Peers of the same version with another lineage",
            registry=registry,
        )


class ConfigurationFollower:
    """Takes the configuration from other processes and passes it on.

    Variants override `sources`, `receivers`, `relayed` and `check_interval`.

    Attributes:
        daemon: The process.
        replica: The configuration as it is known here.
        metrics: Counters of the configuration.
        rng: Source of randomness for decisions.
        changed: Set and replaced whenever the version goes forward.
        check_interval: Seconds between two looks for a newer version.
    """

    check_interval = 4.0

    def __init__(self, daemon: ConfiguredProcess) -> None:
        self.daemon = daemon
        self.replica = ConfigurationReplica()
        self.metrics: ConfigurationMetrics = daemon.metrics.configuration
        self.rng = random.Random(secrets.randbits(64))
        self.changed = asyncio.Event()
        self._known: dict[str, int] = {}
        self._spreading: asyncio.Task | None = None

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.replica.state.configuration

    async def sources(self) -> Sequence[str]:
        """Return the URLs of processes that may know a newer version."""
        return ()

    def receivers(self) -> Sequence[str]:
        """Return the URLs of processes that are told directly."""
        return ()

    def relayed(self) -> Sequence[str]:
        """Return the URLs of processes that are told through each other."""
        return ()

    async def check_for_ever(self) -> None:
        """Look for a newer version among the sources for ever."""
        while True:
            sources = list(await self.sources())
            if not self.replica.usable:
                await asyncio.gather(*(self.exchange(url) for url in sources))
            elif sources:
                await self.exchange(self.rng.choice(sources))
            await asyncio.sleep(self._interval())

    def _interval(self) -> float:
        if not self.replica.usable:
            return FIRST_INTERVAL * self.rng.uniform(1, 2)
        return self.check_interval * self.rng.uniform(0.75, 1.0)

    async def exchange(self, url: str, relay: tuple[str, ...] = ()) -> bool:
        """Bring this process and another to the newer version of the two.

        Args:
            url: Base URL of the other process.
            relay: URLs of processes that it shall tell in its turn.

        Returns:
            Whether the other process answered.
        """
        for _ in range(EXCHANGE_ROUNDS):
            known = self._known.get(url, self.replica.version)
            message = self.replica.tell(self.daemon.now(), known, relay)
            reply = await self.daemon.peers.send(
                url,
                paths.CONFIGURATION,
                message,
                ConfigurationExchange,
                EXCHANGE_TIMEOUT,
            )
            if isinstance(reply, Refusal):
                self._known.pop(url, None)
                return False
            self.take(reply)
            self._known[url] = reply.version
            if reply.version >= self.replica.version or not self.replica.usable:
                return True
            relay = ()
        return True

    def take(self, exchange: ConfigurationExchange) -> None:
        """Take what another process told."""
        if self.replica.take_peer(exchange, self.daemon.now()):
            self.on_change()
        self.metrics.diverged.set(self.replica.diverged)

    def on_change(self) -> None:
        """Put a newer version in force and pass it on."""
        version = self.replica.version
        self.metrics.version.set(version)
        logger.info("configuration in force", version=version)
        self.changed.set()
        self.changed = asyncio.Event()
        if self._spreading is None or self._spreading.done():
            self._spreading = self.daemon.spawn(self._spread())

    async def _spread(self) -> None:
        """Tell others until they have been told the newest version."""
        told = -1
        while told < self.replica.version:
            told = self.replica.version
            await asyncio.gather(
                *(self.exchange(url) for url in self.receivers()),
                self.relay(self.relayed()),
            )

    async def relay(self, urls: Sequence[str]) -> None:
        """Tell processes through each other."""
        branches = relay_branches(urls)
        await asyncio.gather(
            *(self._tell_branch(branch.head, branch.rest) for branch in branches)
        )

    async def _tell_branch(self, head: str, rest: tuple[str, ...]) -> None:
        """Tell a process that tells others; do its part if it does not answer."""
        if not await self.exchange(head, rest) and rest:
            await self.relay(rest)


class ConfigurationHandler(WireHandler):
    """Takes part in an exchange that another process began."""

    def post(self) -> None:
        message = self.message(ConfigurationExchange)
        if message is None:
            return
        follower: ConfigurationFollower = self.daemon.follower
        follower.take(message)
        if message.relay:
            self.daemon.spawn(follower.relay(message.relay))
        reply = follower.replica.tell(self.daemon.now(), message.version)
        follower.metrics.exchanges.inc()
        follower.metrics.bytes.inc(len(self.request.body) + len(encode(reply)))
        self.reply(reply)


CONFIGURATION_ROUTES = [(paths.CONFIGURATION, ConfigurationHandler)]
