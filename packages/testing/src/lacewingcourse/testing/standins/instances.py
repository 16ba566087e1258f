"""Stand-in for the platform's instance list."""

from __future__ import annotations

import asyncio
import time

import attrs

from lacewingcourse.backing.instances import Instance, InstanceListing
from lacewingcourse.testing.standins.server import StandinHandler


@attrs.frozen
class InstanceListFaults:
    """Faults of the instance list.

    Attributes:
        lag: Seconds by which the list is behind.
        delay: Seconds before each answer.
        down: Whether every read is refused.
    """

    lag: float = 0.0
    delay: float = 0.0
    down: bool = False


@attrs.frozen
class DatedInstance:
    """An instance's state from a moment on."""

    since: float
    instance: Instance


@attrs.define
class InstanceList:
    """State of the instance list.

    Attributes:
        faults: Faults in force.
        history: Every state of every instance, by instance.
    """

    faults: InstanceListFaults = attrs.field(factory=InstanceListFaults)
    history: dict[str, list[DatedInstance]] = attrs.field(factory=dict)

    def put(self, instance: Instance) -> None:
        """Note an instance's new state."""
        states = self.history.setdefault(instance.id, [])
        states.append(DatedInstance(time.time(), instance))

    def listing(self) -> InstanceListing:
        """Return the list as it was the lag ago."""
        seen_until = time.time() - self.faults.lag
        shown = []
        for states in self.history.values():
            known = [state for state in states if state.since <= seen_until]
            if known:
                shown.append(known[-1].instance)
        return InstanceListing(tuple(shown))


class InstancesHandler(StandinHandler):
    """Lists instances."""

    async def get(self) -> None:
        await asyncio.sleep(self.standin.faults.delay)
        if self.standin.faults.down:
            self.set_status(503)
            self.finish()
            return
        self.reply(self.standin.listing())


class InstanceHandler(StandinHandler):
    """Takes an instance's new state."""

    def put(self, name: str) -> None:
        instance = self.message(Instance)
        if instance is None:
            return
        self.standin.put(instance)
        self.reply({})


INSTANCE_LIST_ROUTES = [
    (r"/instances", InstancesHandler),
    (r"/instances/([A-Za-z0-9._-]+)", InstanceHandler),
]
