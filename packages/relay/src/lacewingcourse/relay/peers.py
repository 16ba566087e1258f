"""Exchanges with other entries over HTTP: gossip, configuration and endpoints."""

from __future__ import annotations

import asyncio
import gzip
from typing import TYPE_CHECKING

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from lacewingcourse.core.pipelines.log_position import LOG_START
from lacewingcourse.relay.background import start_task
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.peer_messages import (
    FleetSnapshot,
    GossipMessage,
    decode,
    encode,
)
from lacewingcourse.relay.ports import Unavailable
from lacewingcourse.relay.small_server import Reply, ServerRequest
from lacewingcourse.relay.whole_responses import fetch_whole

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.relay.gossip import Gossip
    from lacewingcourse.relay.ports import PeerRegistry

#: Seconds between two rounds of gossip. Older loads lead to wrong choices: in a round
#: an entry of today's deployments starts two requests.
GOSSIP_PERIOD = 0.2
#: Seconds in which another entry must answer: well above a round trip, and below the
#: time after which an entry counts as silent.
TIMEOUT = 0.6
#: Seconds after which the same document is also requested from a further entry.
HEDGE_DELAY = 0.1
#: Seconds between two reads of the registry while no other entry is alive.
REGISTRY_PERIOD = 2.0
#: Maximum number of concurrent requests to other entries.
MAX_EXCHANGES = 24
#: Maximum size of a response in bytes: a list of all endpoints is the largest.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
#: gzip level for a version, the fastest one: routes are alike, so that higher levels
#: save little more.
COMPRESSION_LEVEL = 1
#: Path of gossip messages.
GOSSIP_PATH = "/peer/news"
#: Path of the configuration.
CONFIGURATION_PATH = "/peer/configuration"
#: Path of the endpoints.
FLEET_PATH = "/peer/fleet"


@attrs.frozen
class CompressedVersion:
    """A version of the configuration, compressed for other entries.

    Attributes:
        version: Its number.
        body: Its document, compressed with gzip.
    """

    version: int
    body: bytes


@attrs.define
class PeerExchange:
    """Exchanges gossip, configuration and endpoints with other entries.

    Attributes:
        gossip: Composes messages and applies received ones.
        seeds: Addresses that are contacted until their entries are known.
        registry: Registry of the addresses of entries.
        clock: Returns the present time in seconds.
        on_unreadable: Called for each message that cannot be decoded.
        client: HTTP client.
        active_exchanges: Addresses of entries with an exchange in progress.
        active_fetches: Start times of the fetches in progress, by resource and address
            of the entry.
        wake: Set when a change must be sent at once.
        compressed: The version that was requested last, None before the first request.
    """

    gossip: Gossip
    seeds: tuple[str, ...]
    registry: PeerRegistry
    clock: Callable[[], float]
    on_unreadable: Callable[[], None]
    client: CurlAsyncHTTPClient = attrs.field(
        factory=lambda: CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_EXCHANGES,
            max_body_size=MAX_RESPONSE_BYTES,
        )
    )
    active_exchanges: set[str] = attrs.field(factory=set)
    active_fetches: dict[str, dict[str, float]] = attrs.field(factory=dict)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    compressed: CompressedVersion | None = None

    @property
    def book(self) -> PeerTable:
        """The other entries."""
        return self.gossip.book

    def handlers(self) -> dict:
        """Return the handlers of requests of other entries, by method and path."""
        return {
            ("POST", GOSSIP_PATH): self._on_gossip,
            ("GET", CONFIGURATION_PATH): self._on_configuration,
            ("GET", FLEET_PATH): self._on_fleet,
        }

    async def run(self) -> None:
        """Run rounds of gossip until cancelled."""
        while True:
            now = self.clock()
            self.book.expire(now)
            self.gossip.stamps.keep_only(set(self.book.peers))
            urgent = self.wake.is_set()
            self.wake.clear()
            for peer in self.book.gossip_targets(now, urgent):
                self._start_exchange(peer.address, peer.name, peer.zone)
            self._try_seeds()
            try:
                async with asyncio.timeout(GOSSIP_PERIOD):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def keep_registered(self) -> None:
        """Register this entry's address, and look for others while none is alive.

        Seeds may be stale, and an entry that knows of no live one would take over every
        duty. The registry loses addresses when it comes back from an older copy.
        """
        announced_in: int | None = None
        while True:
            epoch = (self.gossip.directory.position or LOG_START).epoch
            if announced_in != epoch:
                failed = await self.registry.announce(
                    self.gossip.name, self.gossip.address
                )
                announced_in = epoch if failed is None else None
            if len(self.book.alive(self.clock())) == 1:
                await self._query_registry()
            await asyncio.sleep(REGISTRY_PERIOD)

    async def _query_registry(self) -> None:
        addresses = await self.registry.listed()
        if isinstance(addresses, Unavailable):
            return
        now = self.clock()
        for name, address in addresses.items():
            self.book.set_address(name, address, now)

    def exchange_now(self) -> None:
        """Start a round at once, after a change that other entries must know."""
        self.wake.set()

    def _try_seeds(self) -> None:
        """Contact the seeds whose entries are not known yet."""
        known = {peer.address for peer in self.book.peers.values()}
        for seed in self.seeds:
            if seed != self.gossip.address and seed not in known:
                self._start_exchange(seed)

    def _start_exchange(self, address: str, name: str = "", zone: str = "") -> None:
        """Start an exchange with an entry unless one is in progress."""
        if address not in self.active_exchanges:
            self.active_exchanges.add(address)
            work = self._exchange(address, name, zone)
            start_task("exchange", work, self.gossip.log)

    async def _exchange(self, address: str, name: str, zone: str) -> None:
        try:
            message = encode(self.gossip.message_for(name, zone))
            body = await self.fetch(address, GOSSIP_PATH, message)
            answer = self._decode(body, GossipMessage, address)
            if answer is not None:
                self.receive(answer)
        finally:
            self.active_exchanges.discard(address)

    async def fetch(
        self, address: str, path: str, body: bytes | None = None
    ) -> bytes | None:
        """Return the body of an entry's response, None without a successful one."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            connect_timeout=TIMEOUT,
            request_timeout=TIMEOUT,
        )
        try:
            response = await fetch_whole(self.client, request)
        except (HTTPError, OSError):
            return None
        return response.body if response.code == 200 else None

    def receive(self, message: GossipMessage) -> None:
        """Apply a message of another entry, and fetch what is newer there."""
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
        """Fetch the endpoints of an entry that has read further, or confirm the own."""
        known = self.gossip.directory.position or LOG_START
        if message.log_position > known:
            self._start_fetch("fleet", message, self._fetch_fleet)
        elif message.log_position == self.gossip.directory.position:
            age = transit_time + message.position_age
            freshness = self.gossip.directory.freshness
            freshness.confirm(self.gossip.boot_clock() - age)
            self.gossip.routing_state.fleet.confirm(self.clock() - age)

    def _start_fetch(self, resource: str, message: GossipMessage, fetch) -> None:
        """Fetch from an entry unless another fetch of the resource has just started.

        No fetch starts while one from the same entry is in progress. One from an entry
        that has stopped delays the others by `HEDGE_DELAY` only.
        """
        now = self.clock()
        in_progress = self.active_fetches.setdefault(resource, {})
        if message.address in in_progress:
            return
        if any(now - began_at < HEDGE_DELAY for began_at in in_progress.values()):
            return
        in_progress[message.address] = now
        work = self._run_fetch(resource, message, fetch)
        start_task(f"fetch of {resource}", work, self.gossip.log)

    async def _run_fetch(self, resource: str, message: GossipMessage, fetch) -> None:
        try:
            await fetch(message)
        finally:
            del self.active_fetches[resource][message.address]

    async def _fetch_configuration(self, message: GossipMessage) -> None:
        body = await self.fetch(message.address, CONFIGURATION_PATH)
        if not body:
            return
        table = self.gossip.configuration.source.decode(body)
        if isinstance(table, Undecodable):
            self.gossip.configuration.log_unreadable(table, message.name)
        else:
            self.gossip.configuration.apply(table, message.name)

    async def _fetch_fleet(self, message: GossipMessage) -> None:
        sent_at = self.gossip.boot_clock()
        body = await self.fetch(message.address, FLEET_PATH)
        snapshot = self._decode(body, FleetSnapshot, message.address)
        if snapshot is not None:
            transit_time = self.gossip.boot_clock() - sent_at
            self.gossip.directory.from_peer(snapshot, message.name, transit_time)

    def _decode(self, body: bytes | None, kind: type, origin: str):
        """Return the message in a body, None if it is empty or cannot be decoded."""
        if not body:
            return None
        message = decode(body, kind)
        if isinstance(message, Undecodable):
            self.on_unreadable()
            self.gossip.log.log_event(
                "message_unreadable", reason=message.reason, origin=origin
            )
            return None
        return message

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
        # Entries request a new version at the same time over narrow links. An
        # uncompressed one delays the events of every stream on both sides.
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
            position=self.gossip.directory.position.offset,
            epoch=self.gossip.directory.position.epoch,
            age=self.gossip.directory.freshness.age(self.gossip.boot_clock()),
            endpoints=list(fleet.endpoints.values()),
            lapsed={name: until - now for name, until in fleet.lapsed.items()},
        )
        return Reply(200, encode(message))
