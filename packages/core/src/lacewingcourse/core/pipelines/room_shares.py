"""The room shares of all services at one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.room_sharing import DeploymentRoomShare

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.room_demand import RoomReport
    from lacewingcourse.core.pipelines.room_sharing import SharingPolicy

#: Services whose reports are kept.
MAX_SERVICES = 32


@attrs.define
class RoomShares:
    """The room shares of all services at this entry.

    Attributes:
        make: Makes the share of a service.
        services: Shares by service.
    """

    make: Callable[[], SharingPolicy] = DeploymentRoomShare
    services: dict[str, SharingPolicy] = attrs.field(factory=dict)

    def of(self, service: str) -> SharingPolicy:
        """Return the share of a service."""
        share = self.services.get(service)
        if share is None:
            share = self.services[service] = self.make()
        return share

    def from_peer(
        self, peer: str, reports: dict[str, RoomReport], now: float
    ) -> list[str]:
        """Replace the demand of a peer; return the services with unusable reports."""
        self.forget(peer)
        unusable = []
        for service, report in reports.items():
            is_kept = service in self.services or len(self.services) < MAX_SERVICES
            if not is_kept or not self.of(service).from_peer(peer, report, now):
                unusable.append(service)
        return unusable

    def forget(self, peer: str) -> None:
        """Remove the demand of a peer."""
        for share in self.services.values():
            share.forget(peer)

    def reports(
        self, included: Callable[[str], bool], now: float
    ) -> dict[str, RoomReport]:
        """Return the demand of this entry and some peers by service.

        Args:
            included: Returns whether the demand of a peer counts, given the name under
                which it is stored.
            now: Present time in seconds.
        """
        found = {
            service: share.report(included, now)
            for service, share in self.services.items()
        }
        return {service: report for service, report in found.items() if report}

    def clear(self) -> None:
        """Remove the demand of all peers, because the clock may have stood still."""
        for share in self.services.values():
            for peer in share.peer_names():
                share.forget(peer)

    def expire(self, now: float) -> None:
        """Remove expired state."""
        for share in self.services.values():
            share.expire(now)
