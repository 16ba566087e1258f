"""The burn report: of this entry for other entries, of all entries for operators."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from lacewingcourse.backing.instances import InstanceRole, InstanceState
from lacewingcourse.core.burn_fleet import FleetBurn, FleetMerge, Unreachable
from lacewingcourse.core.burn_report import EntryBurn, Selection
from lacewingcourse.core.errors import Refusal
from lacewingcourse.daemon.handlers import BaseHandler, WireHandler
from lacewingcourse.entry.admin_base import identify
from lacewingcourse.entry.host import Host
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.backing.instances import Instance
    from lacewingcourse.entry.burn_log import BurnLog
    from lacewingcourse.entry.directory import Directory
    from lacewingcourse.entry.outcomes import Outcomes

#: Entries that are asked at one time.
ASKED_AT_ONCE = 16


class ReportHost(Host, Protocol):
    """What the burn report needs of the entry.

    Attributes:
        directory: What is known of the endpoints.
        outcomes: Counts how requests end.
        burn_log: Keeps summaries of the counts in the log.
    """

    directory: Directory
    outcomes: Outcomes
    burn_log: BurnLog


@attrs.frozen
class BurnRequest:
    """Entry to entry: ask for its counts."""


class EntryBurnHandler(WireHandler):
    """Gives this entry's counts to another entry."""

    async def post(self) -> None:
        if self.message(BurnRequest) is not None:
            self.reply(await self.daemon.outcomes.burn())


class OperatorHandler(BaseHandler):
    """Admits operators of any role, also while there is no configuration.

    Attributes:
        daemon: The entry.
    """

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon

    def prepare(self) -> None:
        operator = identify(self.daemon, self.request.headers.get("Authorization", ""))
        if isinstance(operator, Refusal):
            self.set_header("WWW-Authenticate", "Bearer")
            self.refuse(operator)


class BurnReportHandler(OperatorHandler):
    """Gives operators the burn of all entries."""

    async def get(self) -> None:
        chosen = Selection(
            self.get_query_argument("class", None),
            self.get_query_argument("organisation", None),
        )
        self.reply(await fleet_burn(self.daemon, chosen))


async def fleet_burn(entry: ReportHost, chosen: Selection) -> FleetBurn:
    """Return the burn of all entries, as far as they or the log can be reached.

    Args:
        entry: The entry that is asked.
        chosen: Which lines are wanted.
    """
    merge = FleetMerge(time.time())
    merge.add(await entry.outcomes.burn())
    listing = await entry.directory.client.read()
    list_problem = ""
    if isinstance(listing, Refusal):
        list_problem = listing.reason
    else:
        others = [each for each in listing.instances if is_other_entry(entry, each)]
        slots = asyncio.Semaphore(ASKED_AT_ONCE)
        asked = (ask(entry, each, merge, slots) for each in others)
        await asyncio.gather(*asked)
    log_problem = await entry.burn_log.recover(merge)
    return merge.report(list_problem, log_problem, chosen)


def is_other_entry(entry: ReportHost, instance: Instance) -> bool:
    """Tell whether an instance is an entry other than this, and not known as gone."""
    return (
        instance.role is InstanceRole.ENTRY
        and instance.id != entry.settings.instance_id
        and instance.state is not InstanceState.GONE
    )


async def ask(
    entry: ReportHost, instance: Instance, merge: FleetMerge, slots: asyncio.Semaphore
) -> None:
    """Add another entry's counts to a report."""
    async with slots:
        burn = await entry.peers.send(
            instance.url,
            paths.BURN,
            BurnRequest(),
            EntryBurn,
            entry.settings.message_timeout,
        )
    if isinstance(burn, Refusal):
        merge.unreachable.append(Unreachable(instance.id, burn.reason))
    else:
        merge.add(burn)


REPORT_ROUTES = [
    (paths.BURN, EntryBurnHandler),
    (r"/admin/v1/report/burn", BurnReportHandler),
]
