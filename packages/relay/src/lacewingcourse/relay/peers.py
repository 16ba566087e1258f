"""Speaking with other entries: loads, suspicions, configuration and endpoints."""

from __future__ import annotations

import asyncio
import gzip
from typing import TYPE_CHECKING

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.peer_messages import (
    FleetNews,
    PeerNews,
    decode,
    encode,
)
from lacewingcourse.relay.ports import Unavailable
from lacewingcourse.relay.small_server import Question, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.relay.gossip import Gossip
    from lacewingcourse.relay.ports import PeerRegistry

#: Seconds between two rounds. Loads that are older mislead: in a round an entry of
#: today's deployments begins two requests.
PERIOD = 0.2
#: Seconds in which another entry must answer. Well above a round trip and below what
#: makes an entry look silent.
TIMEOUT = 0.6
#: Seconds after which the same is fetched from a further entry.
HEDGE_DELAY = 0.1
#: Seconds between two looks at the registry while no other entry is heard.
REGISTRY_PERIOD = 2.0
#: Exchanges with other entries that may be under way at once.
MOST_EXCHANGES = 24
#: Level of compression of a version: the quickest. Routes are alike, so that higher
#: levels save little more.
COMPRESSION = 1
#: Path of news.
NEWS_PATH = "/peer/news"
#: Path of the configuration.
CONFIGURATION_PATH = "/peer/configuration"
#: Path of the endpoints.
FLEET_PATH = "/peer/fleet"


@attrs.frozen
class PackedVersion:
    """A version of the configuration as other entries get it.

    Attributes:
        version: Its number.
        body: Its document, compressed.
    """

    version: int
    body: bytes


@attrs.define
class PeerExchange:
    """Tells other entries what this one knows, and learns from them.

    Attributes:
        gossip: What is told and learned.
        seeds: Addresses of entries that may be asked before any is known.
        registry: Where entries leave their addresses.
        clock: Returns the present time in seconds.
        on_unreadable: Called for each message that cannot be read.
        client: HTTP client.
        fetching: Addresses of entries with which an exchange is under way.
        fetches: When fetches that are under way began, by what is fetched and the
            address of the entry.
        wake: Set when something must be told at once.
        packed: The version that was asked for last, compressed, None before it.
    """

    gossip: Gossip
    seeds: tuple[str, ...]
    registry: PeerRegistry
    clock: Callable[[], float]
    on_unreadable: Callable[[], None]
    client: CurlAsyncHTTPClient = attrs.field(
        factory=lambda: CurlAsyncHTTPClient(
            force_instance=True, max_clients=MOST_EXCHANGES
        )
    )
    fetching: set[str] = attrs.field(factory=set)
    fetches: dict[str, dict[str, float]] = attrs.field(factory=dict)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    packed: PackedVersion | None = None

    @property
    def book(self) -> PeerTable:
        """The other entries."""
        return self.gossip.book

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
            self.gossip.stamps.keep_only(set(self.book.peers))
            urgent = self.wake.is_set()
            self.wake.clear()
            for peer in self.book.gossip_targets(now, urgent):
                self._begin(peer.address, peer.name, peer.zone)
            self._try_seeds()
            try:
                async with asyncio.timeout(PERIOD):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def keep_registered(self) -> None:
        """Leave this entry's address, and look for others while none is heard.

        Seeds may be stale, and an entry that hears nobody would take every duty.
        """
        announced = False
        while True:
            if not announced:
                failed = await self.registry.announce(
                    self.gossip.name, self.gossip.address
                )
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
            self.book.set_address(name, address, now)

    def tell_now(self) -> None:
        """Tell the others at once, since something changed that binds them."""
        self.wake.set()

    def _try_seeds(self) -> None:
        """Ask the seeds whose entries are not known yet."""
        known = {peer.address for peer in self.book.peers.values()}
        for seed in self.seeds:
            if seed != self.gossip.address and seed not in known:
                self._begin(seed)

    def _begin(self, address: str, name: str = "", zone: str = "") -> None:
        """Begin an exchange unless one with the same entry is under way."""
        if address not in self.fetching:
            self.fetching.add(address)
            news = encode(self.gossip.news_for(name, zone))
            asyncio.ensure_future(self._exchange(address, news))

    async def _exchange(self, address: str, news: bytes) -> None:
        try:
            body = await self.fetch(address, NEWS_PATH, news)
            found = self._read(body, PeerNews, address)
            if found is not None:
                self.take(found)
        finally:
            self.fetching.discard(address)

    async def fetch(
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

    def take(self, news: PeerNews) -> None:
        """Learn from another entry, and fetch what it knows better."""
        with self.gossip.beliefs.watch.section("news of a peer"):
            self.gossip.take(news)
        time_on_way = self.gossip.time_on_way(news)
        self._compare_configuration(news, time_on_way)
        self._compare_fleet(news, time_on_way)

    def _compare_configuration(self, news: PeerNews, time_on_way: float) -> None:
        table = self.gossip.beliefs.table
        version = table.version if table else 0
        if news.version == version and version:
            known_at = self.gossip.boot_clock() - time_on_way - news.version_age
            self.gossip.configuration.freshness.confirm(known_at)
        elif news.version > version:
            self._begin_fetch("configuration", news, self._fetch_configuration)

    def _compare_fleet(self, news: PeerNews, time_on_way: float) -> None:
        """Take over what another entry has read of the directory after this one."""
        if news.position > (self.gossip.directory.position or 0):
            self._begin_fetch("fleet", news, self._fetch_fleet)
        elif news.position == self.gossip.directory.position:
            age = time_on_way + news.position_age
            freshness = self.gossip.directory.freshness
            freshness.confirm(self.gossip.boot_clock() - age)
            self.gossip.beliefs.fleet.confirm(self.clock() - age)

    def _begin_fetch(self, what: str, news: PeerNews, fetch) -> None:
        """Fetch from an entry unless another fetch of the same has just begun.

        One from an entry that has stopped holds up the others for a moment only.
        """
        now = self.clock()
        under_way = self.fetches.setdefault(what, {})
        if news.address in under_way:
            return
        if any(now - began_at < HEDGE_DELAY for began_at in under_way.values()):
            return
        under_way[news.address] = now
        asyncio.ensure_future(self._fetching(what, news, fetch))

    async def _fetching(self, what: str, news: PeerNews, fetch) -> None:
        try:
            await fetch(news)
        finally:
            del self.fetches[what][news.address]

    async def _fetch_configuration(self, news: PeerNews) -> None:
        body = await self.fetch(news.address, CONFIGURATION_PATH)
        if not body:
            return
        found = self.gossip.configuration.source.decode(body)
        if isinstance(found, Undecodable):
            self.gossip.configuration.refuse(found, news.name)
        else:
            self.gossip.configuration.take(found, news.name)

    async def _fetch_fleet(self, news: PeerNews) -> None:
        sent_at = self.gossip.boot_clock()
        body = await self.fetch(news.address, FLEET_PATH)
        found = self._read(body, FleetNews, news.address)
        if found is not None:
            time_on_way = self.gossip.boot_clock() - sent_at
            self.gossip.directory.from_peer(found, news.name, time_on_way)

    def _read(self, body: bytes | None, kind: type, origin: str):
        """Return the message that a body holds, None if there is none."""
        if not body:
            return None
        found = decode(body, kind)
        if isinstance(found, Undecodable):
            self.on_unreadable()
            self.gossip.log.belief(
                "message_unreadable", reason=found.reason, origin=origin
            )
            return None
        return found

    def _on_news(self, question: Question) -> Reply:
        news = self._read(question.body, PeerNews, "a caller")
        if news is None:
            return Reply(400)
        self.take(news)
        return Reply(200, encode(self.gossip.news_for(news.name, news.zone)))

    def _on_configuration(self, question: Question) -> Reply:
        table = self.gossip.beliefs.table
        if table is None:
            return Reply(404)
        # Other entries ask together, and their links are small: a version in full holds
        # up the events of every stream on both sides.
        if self.packed is None or self.packed.version != table.version:
            body = gzip.compress(table.document, COMPRESSION)
            self.packed = PackedVersion(table.version, body)
        return Reply(200, self.packed.body, encoding="gzip")

    def _on_fleet(self, question: Question) -> Reply:
        if self.gossip.directory.position is None:
            return Reply(404)
        now = self.clock()
        fleet = self.gossip.beliefs.fleet
        news = FleetNews(
            position=self.gossip.directory.position,
            age=self.gossip.directory.freshness.age(self.gossip.boot_clock()),
            endpoints=list(fleet.endpoints.values()),
            lapsed={name: until - now for name, until in fleet.lapsed.items()},
        )
        return Reply(200, encode(news))
