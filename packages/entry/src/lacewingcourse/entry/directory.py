"""What the entry knows of the endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.errors import Refusal
from lacewingcourse.core.messages import Status
from lacewingcourse.core.routes import Fleet
from lacewingcourse.platform.instances import InstanceRole, InstanceState
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.entry.application import Entry
    from lacewingcourse.platform.instances import Instance, InstanceListClient

#: Seconds between two reads of the instance list.
LIST_INTERVAL = 1.0
#: Seconds between two questions to each agent.
STATUS_INTERVAL = 0.5


@attrs.frozen
class StatusRequest:
    """Entry to agent: ask for the state."""


class Directory:
    """Endpoints by name, from the instance list and from their agents' own word.

    Attributes:
        entry: The entry's daemon.
        client: Client of the instance list.
        instances: Endpoint instances that the list last showed, by name.
        listed: All instances that the list last showed and that are not gone.
        gone: Endpoint instances that the list says have ended.
        endpoints: Endpoints whose agents have answered, by name.
    """

    def __init__(self, entry: Entry, client: InstanceListClient) -> None:
        self.entry = entry
        self.client = client
        self.instances: dict[str, Instance] = {}
        self.listed: tuple[Instance, ...] = ()
        self.gone: frozenset[str] = frozenset()
        self.endpoints = Fleet()
        self.entries: dict[str, Instance] = {}

    def entry_urls(self) -> list[str]:
        """Return the base URLs of all entries that the list shows."""
        return [instance.url for instance in self.entries.values()]

    async def follow_list(self) -> None:
        """Read the instance list for ever."""
        while True:
            listing = await self.client.read()
            if not isinstance(listing, Refusal):
                self.listed = tuple(
                    instance
                    for instance in listing.instances
                    if instance.state is not InstanceState.GONE
                )
                self.gone = frozenset(
                    instance.id
                    for instance in listing.instances
                    if instance.state is InstanceState.GONE
                )
                self.entries = {
                    instance.id: instance
                    for instance in listing.instances
                    if instance.role is InstanceRole.ENTRY
                    and instance.state is not InstanceState.GONE
                }
                self.instances = {
                    instance.id: instance
                    for instance in listing.instances
                    if instance.role is InstanceRole.ENDPOINT
                    and instance.state is not InstanceState.GONE
                }
            await asyncio.sleep(LIST_INTERVAL)

    async def follow_agents(self) -> None:
        """Ask all agents for their state for ever."""
        while True:
            instances = list(self.instances.values())
            await asyncio.gather(*(self.ask(instance) for instance in instances))
            known = {instance.id for instance in instances}
            for gone in set(self.endpoints) - known:
                del self.endpoints[gone]
            await asyncio.sleep(STATUS_INTERVAL)

    async def ask(self, instance: Instance) -> None:
        """Ask one agent for its state."""
        reply = await self.entry.peers.send(
            instance.url,
            paths.STATUS,
            StatusRequest(),
            Status,
            self.entry.settings.message_timeout,
        )
        if isinstance(reply, Refusal):
            self.mark_lost(instance.id)
            return
        self.endpoints[instance.id] = EndpointState(
            id=instance.id,
            incarnation=reply.incarnation,
            availability_zone=reply.availability_zone,
            agent_url=instance.url,
            model=reply.model,
            layers=reply.layers,
            service=reply.service,
            version=reply.version,
            leaving=reply.leaving or instance.state is InstanceState.LEAVING,
            ready=reply.ready,
            running=reply.running,
            queued=reply.queued,
            step_time=reply.step_time,
            reported_at=self.entry.now(),
            load=reply.load,
        )

    def mark_leaving(self, status: Status) -> None:
        """Send no new work to an endpoint whose agent says that it leaves."""
        known = self.endpoints.get(status.endpoint)
        if known is not None and known.incarnation == status.incarnation:
            self.endpoints[status.endpoint] = attrs.evolve(known, leaving=True)

    def mark_lost(self, endpoint: str) -> None:
        """Send nothing to an endpoint until its agent answers again."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            self.endpoints[endpoint] = attrs.evolve(known, ready=False)
