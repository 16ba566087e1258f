"""Speaking with other entries: loads, suspicions, configuration and endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from lacewingcourse.relay.peer_messages import (
    FleetNews,
    PeerNews,
    decode,
    encode,
    loads_of,
)
from lacewingcourse.relay.ports import Unavailable
from lacewingcourse.relay.small_server import Question, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
    from lacewingcourse.relay.placement_duty import PlacementDuty
    from lacewingcourse.relay.ports import PeerRegistry
    from lacewingcourse.relay.readiness import Readiness

#: Seconds between two rounds. Loads that are older mislead: in a round an entry of
#: today's deployments begins two requests.
PERIOD = 0.2
#: Seconds in which another entry must answer. Well above a round trip and below what
#: makes an entry look silent.
TIMEOUT = 0.6
#: Seconds between two looks at the registry while no other entry is heard.
REGISTRY_PERIOD = 2.0
#: Exchanges with other entries that may be under way at once.
MOST_EXCHANGES = 24
#: Path of news.
NEWS_PATH = "/peer/news"
#: Path of the configuration.
CONFIGURATION_PATH = "/peer/configuration"
#: Path of the endpoints.
FLEET_PATH = "/peer/fleet"


@attrs.define
class PeerExchange:
    """Tells other entries what this one knows, and learns from them.

    Attributes:
        name: Name of this entry.
        address: Its address for entries.
        seeds: Addresses of entries that may be asked before any is known.
        registry: Where entries leave their addresses.
        book: The other entries.
        beliefs: What this entry believes.
        configuration: Follows the configuration.
        directory: Follows the directory.
        duty: The duty of placing.
        readiness: Whether this entry is ending.
        log: Log of decisions.
        clock: Returns the present time in seconds.
        client: HTTP client.
        fetching: What is being fetched from another entry.
        wake: Set when something must be told at once.
    """

    name: str
    address: str
    seeds: tuple[str, ...]
    registry: PeerRegistry
    book: PeerBook
    beliefs: Beliefs
    configuration: ConfigurationFollower
    directory: DirectoryFollower
    duty: PlacementDuty
    readiness: Readiness
    log: DecisionLog
    clock: Callable[[], float]
    client: CurlAsyncHTTPClient = attrs.field(
        factory=lambda: CurlAsyncHTTPClient(
            force_instance=True, max_clients=MOST_EXCHANGES
        )
    )
    fetching: set[str] = attrs.field(factory=set)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handlers(self) -> dict:
        """Return what answers other entries."""
        return {
            ("POST", NEWS_PATH): self._on_news,
            ("GET", CONFIGURATION_PATH): self._on_configuration,
            ("GET", FLEET_PATH): self._on_fleet,
        }

    async def run(self) -> None:
        """Speak to other entries for ever."""
        while True:
            now = self.clock()
            self.book.expire(now)
            for peer in self.book.partners(now):
                self._begin(peer.address)
            self._try_seeds()
            try:
                async with asyncio.timeout(PERIOD):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()

    async def keep_registered(self) -> None:
        """Leave this entry's address, and look for others while none is heard.

        Seeds may be stale, and an entry that hears nobody would take every duty.
        """
        announced = False
        while True:
            if not announced:
                failed = await self.registry.announce(self.name, self.address)
                announced = failed is None
            if len(self.book.alive(self.clock())) == 1:
                await self._look_up()
            await asyncio.sleep(REGISTRY_PERIOD)

    async def _look_up(self) -> None:
        found = await self.registry.listed()
        if isinstance(found, Unavailable):
            return
        now = self.clock()
        for name, address in found.items():
            self.book.learn(name, address, now)

    def tell_now(self) -> None:
        """Tell the others at once, since something changed that binds them."""
        self.wake.set()

    def _try_seeds(self) -> None:
        """Ask the seeds whose entries are not known yet."""
        known = {peer.address for peer in self.book.peers.values()}
        for seed in self.seeds:
            if seed != self.address and seed not in known:
                self._begin(seed)

    def _begin(self, address: str) -> None:
        """Begin an exchange unless one with the same entry is under way."""
        if address not in self.fetching:
            self.fetching.add(address)
            asyncio.ensure_future(self._exchange(address))

    async def _exchange(self, address: str) -> None:
        try:
            body = await self._fetch(address, NEWS_PATH, encode(self.news()))
            if body is not None:
                self.take(decode(body, PeerNews))
        finally:
            self.fetching.discard(address)

    async def _fetch(
        self, address: str, path: str, body: bytes | None = None
    ) -> bytes | None:
        """Return an entry's answer, None if there is none."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            connect_timeout=TIMEOUT,
            request_timeout=TIMEOUT,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return None
        return response.body if response.code == 200 else None

    def news(self) -> PeerNews:
        """Return what this entry tells the others."""
        now = self.clock()
        table, lease = self.beliefs.table, self.duty.lease
        own = self.beliefs.loads.own
        alive = {
            name: self.book.peers[name].address
            for name in self.book.alive(now)
            if name != self.name
        }
        return PeerNews(
            name=self.name,
            address=self.address,
            leaving=self.readiness.leaving,
            version=table.version if table else 0,
            version_age=self.configuration.freshness.age(now),
            revision=self.beliefs.fleet.revision,
            position=self.directory.position or 0,
            position_age=self.directory.freshness.age(now),
            loads={
                endpoint: (load.requests, load.leading, round(load.cells))
                for endpoint, load in own.items()
            },
            pipes=[
                (*pair, round(use, 3))
                for pair, use in self.beliefs.pipes.uses(now).items()
            ],
            suspects=self.beliefs.suspects.own_remaining(now),
            crashes=self.beliefs.crashes.own_losses(now),
            peers=alive,
            holder=lease.holder if lease else "",
            fencing=lease.fencing if lease else 0,
        )

    def take(self, news: PeerNews) -> None:
        """Learn from another entry."""
        now = self.clock()
        was_alive = news.name in self.book.alive(now)
        self.book.hear(news.name, news.address, news.leaving, now)
        if not was_alive and not news.leaving:
            self.log.belief("peer_heard", peer=news.name, address=news.address)
        for name, address in news.peers.items():
            if name not in self.book.peers:
                self.book.learn(name, address, now)
        self.beliefs.loads.from_peer(news.name, loads_of(news), now)
        pipes = {(first, second): use for first, second, use in news.pipes}
        self.beliefs.pipes.from_peer(news.name, pipes)
        for endpoint, remaining in news.suspects.items():
            self.beliefs.suspects.from_peer(endpoint, remaining, now)
        self.beliefs.crashes.from_peer(news.crashes, now)
        self.duty.hear(news.holder, news.fencing)
        self._compare_configuration(news, now)
        self._compare_fleet(news, now)

    def _compare_configuration(self, news: PeerNews, now: float) -> None:
        table = self.beliefs.table
        version = table.version if table else 0
        if news.version == version and version:
            self.configuration.freshness.confirm(now - news.version_age)
        elif news.version > version:
            self._begin_fetch("configuration", news, self._fetch_configuration)

    def _compare_fleet(self, news: PeerNews, now: float) -> None:
        """Take over what another entry has read of the directory after this one."""
        if news.position > (self.directory.position or 0):
            self._begin_fetch("fleet", news, self._fetch_fleet)
        elif news.position == self.directory.position:
            self.directory.freshness.confirm(now - news.position_age)
            self.beliefs.fleet.confirm(now - news.position_age)

    def _begin_fetch(self, what: str, news: PeerNews, fetch) -> None:
        if what not in self.fetching:
            self.fetching.add(what)
            asyncio.ensure_future(self._fetching(what, news, fetch))

    async def _fetching(self, what: str, news: PeerNews, fetch) -> None:
        try:
            await fetch(news)
        finally:
            self.fetching.discard(what)

    async def _fetch_configuration(self, news: PeerNews) -> None:
        body = await self._fetch(news.address, CONFIGURATION_PATH)
        if body:
            self.configuration.take(self.configuration.source.decode(body), news.name)

    async def _fetch_fleet(self, news: PeerNews) -> None:
        body = await self._fetch(news.address, FLEET_PATH)
        if body:
            self.directory.from_peer(decode(body, FleetNews), news.name)

    def _on_news(self, question: Question) -> Reply:
        self.take(decode(question.body, PeerNews))
        return Reply(200, encode(self.news()))

    def _on_configuration(self, question: Question) -> Reply:
        table = self.beliefs.table
        return Reply(404) if table is None else Reply(200, table.document)

    def _on_fleet(self, question: Question) -> Reply:
        if self.directory.position is None:
            return Reply(404)
        now = self.clock()
        fleet = self.beliefs.fleet
        news = FleetNews(
            position=self.directory.position,
            age=self.directory.freshness.age(now),
            endpoints=list(fleet.endpoints.values()),
            lapsed={name: until - now for name, until in fleet.lapsed.items()},
        )
        return Reply(200, encode(news))
