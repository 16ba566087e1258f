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
    FleetSnapshot,
    GossipMessage,
    decode,
    encode,
)
from lacewingcourse.relay.ports import Unavailable
from lacewingcourse.relay.small_server import Reply, ServerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.relay.gossip import Gossip
    from lacewingcourse.relay.ports import PeerRegistry

#: Seconds between two rounds. Loads that are older mislead: in a round an entry of
#: today's deployments begins two requests.
GOSSIP_PERIOD = 0.2
#: Seconds in which another entry must answer. Well above a round trip and below what
#: makes an entry look silent.
TIMEOUT = 0.6
#: Seconds after which the same is fetched from a further entry.
HEDGE_DELAY = 0.1
#: Seconds between two looks at the registry while no other entry is heard.
REGISTRY_PERIOD = 2.0
#: Exchanges with other entries that may be under way at once.
MAX_EXCHANGES = 24
#: Level of compression of a version: the quickest. Routes are alike, so that higher
#: levels save little more.
COMPRESSION_LEVEL = 1
#: Path of news.
GOSSIP_PATH = "/peer/news"
#: Path of the configuration.
CONFIGURATION_PATH = "/peer/configuration"
#: Path of the endpoints.
FLEET_PATH = "/peer/fleet"


@attrs.frozen
class CompressedVersion:
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
            force_instance=True, max_clients=MAX_EXCHANGES
        )
    )
    active_exchanges: set[str] = attrs.field(factory=set)
    active_fetches: dict[str, dict[str, float]] = attrs.field(factory=dict)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    compressed: CompressedVersion | None = None

    @property
    def book(self) -> PeerBook:
        """The other entries."""
        return self.gossip.book

    def handlers(self) -> dict:
        """Return what answers other entries."""
        return {
            ("POST", GOSSIP_PATH): self._on_gossip,
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
            for peer in self.book.partners(now, urgent):
                self._start_exchange(peer.address, peer.name, peer.zone)
            self._try_seeds()
            try:
                async with asyncio.timeout(GOSSIP_PERIOD):
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
                await self._query_registry()
            await asyncio.sleep(REGISTRY_PERIOD)

    async def _query_registry(self) -> None:
        found = await self.registry.listed()
        if isinstance(found, Unavailable):
            return
        now = self.clock()
        for name, address in found.items():
            self.book.learn(name, address, now)

    def exchange_now(self) -> None:
        """Tell the others at once, since something changed that binds them."""
        self.wake.set()

    def _try_seeds(self) -> None:
        """Ask the seeds whose entries are not known yet."""
        known = {peer.address for peer in self.book.peers.values()}
        for seed in self.seeds:
            if seed != self.gossip.address and seed not in known:
                self._start_exchange(seed)

    def _start_exchange(self, address: str, name: str = "", zone: str = "") -> None:
        """Begin an exchange unless one with the same entry is under way."""
        if address not in self.active_exchanges:
            self.active_exchanges.add(address)
            message = encode(self.gossip.message_for(name, zone))
            asyncio.ensure_future(self._exchange(address, message))

    async def _exchange(self, address: str, message: bytes) -> None:
        try:
            body = await self.fetch(address, GOSSIP_PATH, message)
            found = self._decode(body, GossipMessage, address)
            if found is not None:
                self.receive(found)
        finally:
            self.active_exchanges.discard(address)

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

    def receive(self, message: GossipMessage) -> None:
        """Learn from another entry, and fetch what it knows better."""
        with self.gossip.routing_state.watch.section("news of a peer"):
            self.gossip.receive(message)
        transit_time = self.gossip.transit_time(message)
        self._compare_configuration(message, transit_time)
        self._compare_fleet(message, transit_time)

    def _compare_configuration(
        self, message: GossipMessage, transit_time: float
    ) -> None:
        table = self.gossip.routing_state.table
        version = table.version if table else 0
        if message.version == version and version:
            known_at = self.gossip.boot_clock() - transit_time - message.version_age
            self.gossip.configuration.freshness.confirm(known_at)
        elif message.version > version:
            self._start_fetch("configuration", message, self._fetch_configuration)

    def _compare_fleet(self, message: GossipMessage, transit_time: float) -> None:
        """Take over what another entry has read of the directory after this one."""
        if message.position > (self.gossip.directory.position or 0):
            self._start_fetch("fleet", message, self._fetch_fleet)
        elif message.position == self.gossip.directory.position:
            age = transit_time + message.position_age
            freshness = self.gossip.directory.freshness
            freshness.confirm(self.gossip.boot_clock() - age)
            self.gossip.routing_state.fleet.confirm(self.clock() - age)

    def _start_fetch(self, resource: str, message: GossipMessage, fetch) -> None:
        """Fetch from an entry unless another fetch of the same has just begun.

        One from an entry that has stopped holds up the others for a moment only.
        """
        now = self.clock()
        under_way = self.active_fetches.setdefault(resource, {})
        if message.address in under_way:
            return
        if any(now - began_at < HEDGE_DELAY for began_at in under_way.values()):
            return
        under_way[message.address] = now
        asyncio.ensure_future(self._run_fetch(resource, message, fetch))

    async def _run_fetch(self, resource: str, message: GossipMessage, fetch) -> None:
        try:
            await fetch(message)
        finally:
            del self.active_fetches[resource][message.address]

    async def _fetch_configuration(self, message: GossipMessage) -> None:
        body = await self.fetch(message.address, CONFIGURATION_PATH)
        if not body:
            return
        found = self.gossip.configuration.source.decode(body)
        if isinstance(found, Undecodable):
            self.gossip.configuration.log_unreadable(found, message.name)
        else:
            self.gossip.configuration.apply(found, message.name)

    async def _fetch_fleet(self, message: GossipMessage) -> None:
        sent_at = self.gossip.boot_clock()
        body = await self.fetch(message.address, FLEET_PATH)
        found = self._decode(body, FleetSnapshot, message.address)
        if found is not None:
            transit_time = self.gossip.boot_clock() - sent_at
            self.gossip.directory.from_peer(found, message.name, transit_time)

    def _decode(self, body: bytes | None, kind: type, origin: str):
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

    def _on_gossip(self, request: ServerRequest) -> Reply:
        message = self._decode(request.body, GossipMessage, "a caller")
        if message is None:
            return Reply(400)
        self.receive(message)
        return Reply(200, encode(self.gossip.message_for(message.name, message.zone)))

    def _on_configuration(self, request: ServerRequest) -> Reply:
        table = self.gossip.routing_state.table
        if table is None:
            return Reply(404)
        # Other entries ask together, and their links are small: a version in full holds
        # up the events of every stream on both sides.
        if self.compressed is None or self.compressed.version != table.version:
            body = gzip.compress(table.document, COMPRESSION_LEVEL)
            self.compressed = CompressedVersion(table.version, body)
        return Reply(200, self.compressed.body, encoding="gzip")

    def _on_fleet(self, request: ServerRequest) -> Reply:
        if self.gossip.directory.position is None:
            return Reply(404)
        now = self.clock()
        fleet = self.gossip.routing_state.fleet
        message = FleetSnapshot(
            position=self.gossip.directory.position,
            age=self.gossip.directory.freshness.age(self.gossip.boot_clock()),
            endpoints=list(fleet.endpoints.values()),
            lapsed={name: until - now for name, until in fleet.lapsed.items()},
        )
        return Reply(200, encode(message))
