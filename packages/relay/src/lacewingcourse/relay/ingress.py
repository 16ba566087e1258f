"""The callers' side of the entry, from their connections to their last answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.relay.caller import MOST_HEAD, CallerConnections
from lacewingcourse.relay.endings import Endings
from lacewingcourse.relay.front import Front
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.leaving import Departure

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.core.pipelines.routing import Limits
    from lacewingcourse.relay.calls import CallForwarder
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import RequestCodec
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.staleness import StalenessGuard
    from lacewingcourse.relay.streams import StreamForwarder


class Ingress:
    """The callers' side of the entry.

    Attributes:
        gateway: Routes, forwards and answers requests.
        callers: The connections of callers.
        front: The server that they connect to.
        endings: Expects the end of this entry, and the return of the first.
        departure: Ends the entry when callers need it no more.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        codec: RequestCodec,
        calls: CallForwarder,
        streams: StreamForwarder,
        readiness: Readiness,
        book: PeerBook,
        log: DecisionLog,
        clock: Callable[[], float],
        rng: Random,
        guard: StalenessGuard,
    ) -> None:
        """Make the callers' side.

        Args:
            routing_state: What is believed of the deployment.
            codec: How requests look on the platform.
            calls: Forwards calls to plain services.
            streams: Forwards streams.
            readiness: Whether this entry is ending.
            book: The other entries.
            log: Log of decisions.
            clock: Returns the present time in seconds.
            rng: Source of draws.
            guard: Tells whether refusals for unknown routes and keys can be trusted.
        """
        self.log = log
        self.clock = clock
        self.readiness = readiness
        self.gateway = Gateway(
            routing_state,
            codec,
            calls,
            streams,
            readiness,
            log,
            clock,
            lambda: self.endings.ready_in(),
            rng,
            waits_for=lambda: self.endings.waits_for(),
            guard=guard,
        )
        self.callers = CallerConnections(
            self.gateway.serve, clock, lambda: readiness.leaving
        )
        self.endings = Endings(readiness, self.callers, self.gateway, book, clock)
        self.front = Front(self.callers, max_header_size=MOST_HEAD)
        # Idle connections are closed by `IdleWatch`.
        self.front.conn_params.header_timeout = None
        self.departure = Departure(
            readiness,
            self.callers,
            self.gateway,
            clock,
            self.front.stop_listening,
            self.front.close_idle,
        )

    def put_in_force(self, limits: Limits) -> None:
        """Apply the limits of a version that has come into force."""
        # A head may begin when the connection's time to stay idle is nearly over.
        seconds = limits.idle_timeout + limits.header_timeout
        self.callers.idle.put_in_force(seconds, self.clock())
        params = self.front.conn_params
        # A connection takes this when it begins to wait, so it leaves room for a later
        # version; the limit in force is looked at once a head has come.
        params.max_header_size = max(MOST_HEAD, limits.header_bytes)
        self.callers.longest_head = limits.header_bytes
        params.max_body_size = limits.body_bytes

    def leave(self, since: float) -> None:
        """Take the request to end: from now on connections are not kept.

        Args:
            since: When the grace time began at the latest, seconds.
        """
        self.readiness.leave(since)
        self.front.conn_params.no_keep_alive = True

    def tell_leaving(self) -> None:
        """Tell what is open and when this entry expects to have ended."""
        ends_in = self.endings.ends_in()
        self.log.log_event("leaving", open=len(self.callers.open), ends_in=ends_in)
