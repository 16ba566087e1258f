"""The set of ports through which an entry uses its platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.relay.unreadable_records import UnreadableRecords

if TYPE_CHECKING:
    from lacewingcourse.relay.metrics import Metrics
    from lacewingcourse.relay.ports import (
        ConfigurationSource,
        EndpointDirectory,
        EngineReports,
        LeaseStore,
        Orders,
        PeerRegistry,
        RefusalStore,
        RequestCodec,
    )


@attrs.frozen
class Platform:
    """The ports of one platform.

    Attributes:
        configuration: Source of the configuration.
        directory: Directory of endpoints.
        orders: Sends orders to endpoints.
        reports: Requests the reports of engines.
        leases: Store of the lease of the placement duty.
        registry: Registry of the addresses of entries.
        refusals: Store of the refusals of prompt parts.
        codec: Encodes and decodes requests and answers.
        metrics: Metrics that the entry and the clients of the platform share.
        unreadable: Logs records of the store that cannot be read.
    """

    configuration: ConfigurationSource
    directory: EndpointDirectory
    orders: Orders
    reports: EngineReports
    leases: LeaseStore
    registry: PeerRegistry
    refusals: RefusalStore
    codec: RequestCodec
    metrics: Metrics
    unreadable: UnreadableRecords = attrs.field(factory=UnreadableRecords)
