"""Takes the configuration from entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.backing.instances import InstanceRole, InstanceState
from lacewingcourse.core.dissemination import home_entries
from lacewingcourse.core.errors import Refusal
from lacewingcourse.daemon.configuration import ConfigurationFollower

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewingcourse.backing.instances import InstanceListClient
    from lacewingcourse.daemon.daemon import Daemon


class AgentConfigurationFollower(ConfigurationFollower):
    """Is told of new versions by entries, and now and then looks for one itself.

    Attributes:
        instance_list: Client of the instance list, read only while no home is known.
        homes: URLs of the entries to look at.
    """

    check_interval = 10.0

    def __init__(self, daemon: Daemon, instance_list: InstanceListClient) -> None:
        super().__init__(daemon)
        self.instance_list = instance_list
        self.homes: list[str] = []

    async def sources(self) -> Sequence[str]:
        if not self.homes:
            await self._find_homes()
        return self.homes

    async def _find_homes(self) -> None:
        listing = await self.instance_list.read()
        if isinstance(listing, Refusal):
            return
        entries = {
            instance.id: instance.url
            for instance in listing.instances
            if instance.role is InstanceRole.ENTRY
            and instance.state is not InstanceState.GONE
        }
        names = home_entries(self.daemon.settings.instance_id, entries)
        self.homes = [entries[name] for name in names]

    async def exchange(self, url: str, relay: tuple[str, ...] = ()) -> bool:
        answered = await super().exchange(url, relay)
        if not answered and url in self.homes:
            self.homes = []
        return answered
