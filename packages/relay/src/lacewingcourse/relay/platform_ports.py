"""The ports of one platform, as an entry is given them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.relay.metrics import Metrics
    from lacewingcourse.relay.ports import (
        ConfigurationSource,
        EndpointDirectory,
        EngineReports,
        LeaseStore,
        Orders,
        PeerRegistry,
        RequestCodec,
    )


@attrs.frozen
class Platform:
    """The ports of one platform.

    Attributes:
        configuration: Where configuration comes from.
        directory: Where endpoints are listed.
        orders: Orders to endpoints.
        reports: What engines tell of themselves.
        leases: Where the holder of the duty of placing is agreed on.
        registry: Where entries leave their addresses.
        codec: How requests look.
        metrics: Where the entry and the clients of the platform count.
    """

    configuration: ConfigurationSource
    directory: EndpointDirectory
    orders: Orders
    reports: EngineReports
    leases: LeaseStore
    registry: PeerRegistry
    codec: RequestCodec
    metrics: Metrics
