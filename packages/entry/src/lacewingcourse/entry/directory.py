"""What the entry knows of the endpoints: does the I/O of the membership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from lacewingcourse.backing.instances import InstanceRole, InstanceState
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.membership import ListedEndpoint, Membership, MemberState
from lacewingcourse.core.messages import Status, StatusRequest
from lacewingcourse.core.routes import Fleet
from lacewingcourse.core.subsets import Watchable, choose_subset, silence_allowed
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.backing.instances import Instance, InstanceListClient
    from lacewingcourse.core.messages import CallReply, ClaimReply
    from lacewingcourse.entry.host import Host

#: Seconds between two reads of the instance list.
LIST_INTERVAL = 1.0
#: Seconds between two looks whom to ask.
ASK_INTERVAL = 0.1
#: Seconds between two looks at the share of joining endpoints.
RAMP_INTERVAL = 1.0


class Directory:
    """Endpoints by name, from the instance list and from their agents' own word.

    Attributes:
        entry: The entry's daemon.
        client: Client of the instance list.
        instances: Endpoint instances that the list last showed, by name.
        entries: Entry instances that the list last showed, by name.
        membership: What is believed of the endpoints.
        contents: What each endpoint held when it was last heard, by name.
        watched: Names of the endpoints that this entry watches.
        chosen_from: What the watched endpoints were last chosen from.
        listed: All instances that the list last showed and that are not gone.
        gone: Endpoint instances that the list says have ended.
        endpoints: Watched endpoints whose agents have answered, by name.
    """

    def __init__(self, entry: Host, client: InstanceListClient) -> None:
        self.entry = entry
        self.client = client
        self.instances: dict[str, Instance] = {}
        self.entries: dict[str, Instance] = {}
        self.membership = Membership()
        self.contents: dict[str, tuple] = {}
        self.watched: set[str] = set()
        self.chosen_from: tuple[list[Watchable], dict[str, int]] = ([], {})
        self.listed: tuple[Instance, ...] = ()
        self.gone: frozenset[str] = frozenset()
        self.endpoints = Fleet()

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries that the list shows."""
        return [instance.url for instance in self.entries.values()]

    async def follow_list(self) -> None:
        """Read the instance list for ever."""
        while True:
            listing = await self.client.read()
            if not isinstance(listing, Refusal):
                self._take_list(listing.instances)
            await asyncio.sleep(LIST_INTERVAL)

    def _take_list(self, instances: tuple[Instance, ...]) -> None:
        """Take what the list shows."""
        by_role = {role: {} for role in InstanceRole}
        gone = set()
        for instance in instances:
            if instance.state is InstanceState.GONE:
                gone.add(instance.id)
            else:
                by_role[instance.role][instance.id] = instance
        self.gone = frozenset(gone)
        self.listed = tuple(each for each in instances if each.id not in gone)
        kept = {
            name: instance
            for name, instance in self.instances.items()
            if name in self.membership.members and name not in gone
        }
        self.instances = {**kept, **by_role[InstanceRole.ENDPOINT]}
        self.entries = by_role[InstanceRole.ENTRY] or self.entries
        listed = [
            ListedEndpoint(
                id=each.id,
                url=each.url,
                leaving=each.state is InstanceState.LEAVING,
                gone=each.state is InstanceState.GONE,
            )
            for each in instances
            if each.role is InstanceRole.ENDPOINT
        ]
        self._watch(listed)

    def _watch(self, listed: list[ListedEndpoint]) -> None:
        """Choose whom to watch, and tell the membership what the list says."""
        endpoints = [
            Watchable(each.id, each.availability_zone, self.contents.get(each.id))
            for each in self.instances.values()
        ]
        wanted = self._wanted()
        if (endpoints, wanted) != self.chosen_from:
            watcher = self.entry.settings.instance_id
            self.watched = set(choose_subset(watcher, endpoints, wanted))
            self.chosen_from = (endpoints, wanted)
        members = self.membership.members
        for name in [each for each in members if each in self.instances]:
            if name not in self.watched:
                del members[name]
                self.endpoints.pop(name, None)
        listed = [each for each in listed if each.id in self.watched or each.gone]
        for name in self.membership.on_list(listed, self.entry.now()):
            self.endpoints.pop(name, None)
            self.instances.pop(name, None)
        for name in members:
            self._refresh_leaving(name)
        for forgotten in set(self.contents) - set(self.instances):
            del self.contents[forgotten]

    def _wanted(self) -> dict[str, int]:
        """Return the layers of each model, and 1 for each plain service."""
        configuration = self.entry.configuration
        wanted = {name: 1 for name in configuration.services}
        for name, model in configuration.models.items():
            wanted[name] = model.layer_count
        return wanted

    def _refresh_leaving(self, name: str) -> None:
        """Show what the list newly says of an endpoint's leaving."""
        known = self.endpoints.get(name)
        listed = self.membership.members[name].listed
        if known is None:
            return
        ends = listed.leaving or listed.gone
        if ends != known.leaving or listed.url != known.agent_url:
            self._show(name)

    async def follow_agents(self) -> None:
        """Ask silent agents for their state for ever."""
        ramped_at = self.entry.now()
        while True:
            now = self.entry.now()
            silence = silence_allowed(len(self.membership.members))
            for name in self.membership.questions(silence, now):
                self.entry.spawn(self._ask(name))
            if now >= ramped_at + RAMP_INTERVAL:
                ramped_at = now
                for name in self.membership.ramping(now):
                    self._show(name)
            await asyncio.sleep(ASK_INTERVAL)

    async def _ask(self, name: str) -> None:
        """Ask one agent for its state."""
        member = self.membership.members[name]
        request = StatusRequest(self.entry.settings.advertised_url)
        timeout = self.entry.settings.message_timeout
        reply = await self.entry.peers.send(
            member.listed.url, paths.STATUS, request, Status, timeout
        )
        if isinstance(reply, Refusal):
            self.mark_lost(name)
            return
        self.take_status(reply)

    def take_status(self, status: Status) -> None:
        """Take an agent's word, asked for, pushed, or sent along with an answer."""
        if self.membership.on_status(status, self.entry.now()):
            held = (status.model or status.service, status.layers)
            self.contents[status.endpoint] = held
            self._show(status.endpoint)

    def _show(self, name: str) -> None:
        """Let the route policies see what is known of a member."""
        state = self.membership.endpoint_state(name, self.entry.now())
        if state is not None:
            self.endpoints[name] = state

    def mark_seen(self, endpoint: str, incarnation: str) -> None:
        """Note that a message came from an endpoint."""
        member = self.membership.members.get(endpoint)
        if member is None:
            return
        suspected = member.state is not MemberState.LIVE
        self.membership.on_seen(endpoint, incarnation, self.entry.now())
        if suspected and member.state is MemberState.LIVE:
            self._show(endpoint)

    def mark_lost(self, endpoint: str, incarnation: str = "") -> None:
        """Send nothing to an endpoint until its agent answers again."""
        if self.membership.on_failure(endpoint, incarnation, self.entry.now()):
            logger.info("endpoint suspected", endpoint=endpoint)
            self._show(endpoint)

    def note_reply(self, url: str, reply: CallReply | ClaimReply | Refusal) -> None:
        """Suspect the endpoint behind a URL if its agent failed or has restarted."""
        failed = isinstance(reply, Refusal)
        if not failed and reply.kind is not ErrorKind.STALE_INCARNATION:
            return
        for name, member in self.membership.members.items():
            if member.listed.url == url:
                self.mark_lost(name)
