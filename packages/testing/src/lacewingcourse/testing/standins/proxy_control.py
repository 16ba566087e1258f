"""Control of the fault proxy over HTTP."""

from __future__ import annotations

import attrs

from lacewingcourse.core.errors import Refusal
from lacewingcourse.testing.standins.proxy import Link
from lacewingcourse.testing.standins.proxy_faults import LinkFaults
from lacewingcourse.testing.standins.server import (
    NoFaults,
    StandinHandler,
    changed_faults,
)


@attrs.frozen
class NewLink:
    """A link to open.

    Attributes:
        port: TCP port to listen on.
        target: Base URL of the target.
    """

    port: int
    target: str


@attrs.frozen
class LinkState:
    """What a link does at present.

    Attributes:
        target: Base URL of the target.
        connections: Open connections.
        held: Requests and copies that are kept back.
        faults: Faults in force.
    """

    target: str
    connections: int
    held: int
    faults: LinkFaults


@attrs.define
class FaultProxy:
    """State of the fault proxy.

    Attributes:
        address: IP number to listen on.
        faults: Faults of the control interface itself: none.
        links: Links by name.
    """

    address: str
    faults: NoFaults = attrs.field(factory=NoFaults)
    links: dict[str, Link] = attrs.field(factory=dict)


class LinkHandler(StandinHandler):
    """Opens, shows and changes links."""

    def prepare(self) -> None:
        name = self.path_args[0]
        if self.request.method != "PUT" and name not in self.standin.links:
            self.set_status(404)
            self.reply({"error": f"no link {name!r}"})

    def put(self, name: str) -> None:
        message = self.message(NewLink)
        if message is None:
            return
        link = Link(name, message.target)
        link.listen(self.standin.address, message.port)
        self.standin.links[name] = link
        self.reply({})

    def get(self, name: str) -> None:
        link = self.standin.links[name]
        self.reply(
            LinkState(link.target, len(link.connections), len(link.held), link.faults)
        )

    def patch(self, name: str) -> None:
        link = self.standin.links[name]
        changed = changed_faults(link.faults, self.request.body)
        if isinstance(changed, Refusal):
            self.set_status(400)
            self.reply({"error": changed.reason})
            return
        link.set_faults(changed)
        self.reply(changed)


class LinkActionHandler(StandinHandler):
    """Resets connections and releases what is held."""

    async def post(self, name: str, action: str) -> None:
        link = self.standin.links[name]
        if action == "reset":
            link.reset_connections()
            self.reply({})
            return
        released = await link.release(action == "release-newest-first")
        self.reply({"released": released})


PROXY_ROUTES = [
    (r"/links/([A-Za-z0-9._-]+)", LinkHandler),
    (
        r"/links/([A-Za-z0-9._-]+)/(reset|release|release-newest-first)",
        LinkActionHandler,
    ),
]
