"""The components that serve callers, from their connections to graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.relay.caller import MAX_HEAD_BYTES, CallerConnections
from lacewingcourse.relay.caller_server import CallerServer
from lacewingcourse.relay.drain import Drainer
from lacewingcourse.relay.gateway import Gateway
from lacewingcourse.relay.restart_estimate import RestartEstimator

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from lacewingcourse.core.pipelines.peers import PeerTable
    from lacewingcourse.core.pipelines.routing import Limits
    from lacewingcourse.relay.calls import CallForwarder
    from lacewingcourse.relay.client_stream import Clients
    from lacewingcourse.relay.crash_guard import CrashGuard
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import RequestCodec
    from lacewingcourse.relay.readiness import Readiness
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.staleness import StalenessGuard
    from lacewingcourse.relay.streams import StreamForwarder


class Ingress:
    """The components that serve callers.

    Attributes:
        gateway: Routes, forwards and answers requests.
        callers: Connections of callers.
        server: HTTP server that callers connect to.
        restart_estimator: Estimates the end of this entry, and when the first one is
            back.
        drainer: Ends the entry once no request is open.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        codec: RequestCodec,
        calls: CallForwarder,
        streams: StreamForwarder,
        readiness: Readiness,
        book: PeerTable,
        log: DecisionLog,
        clock: Callable[[], float],
        rng: Random,
        guard: StalenessGuard,
        crash_guard: CrashGuard,
        clients: Clients,
    ) -> None:
        """Initialize the components.

        Args:
            routing_state: Local view of the deployment.
            codec: Decodes and encodes requests and answers of the platform.
            calls: Forwards calls to plain services.
            streams: Forwards streams.
            readiness: State of this entry's drain.
            book: Known peers.
            log: Decision log.
            clock: Returns the present time in seconds.
            rng: Source of random numbers.
            guard: Decides whether refusals for unknown routes and keys can be trusted.
            crash_guard: Refuses requests that crash endpoints.
            clients: Connections of callers.
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
            lambda: self.restart_estimator.ready_in(),
            rng,
            waits_for=lambda: self.restart_estimator.waits_for(),
            guard=guard,
            crash_guard=crash_guard,
        )
        self.callers = CallerConnections(
            self.gateway.serve, clock, lambda: readiness.draining
        )
        self.callers.on_departure = self.gateway.log_departure
        self.callers.policy.body_timeout = self.gateway.body_timeout
        self.callers.policy.reject = self.gateway.reject_unread
        self.restart_estimator = RestartEstimator(
            readiness, self.callers, self.gateway, book, clock
        )
        self.server = CallerServer(
            self.callers, clients=clients, max_header_size=MAX_HEAD_BYTES
        )
        # Idle connections are closed by `IdleTimer`.
        self.server.conn_params.header_timeout = None
        self.drainer = Drainer(
            readiness,
            self.callers,
            self.gateway,
            clock,
            self.server.stop_listening,
            self.server.close_idle,
        )

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of a configuration that has come into force."""
        # A head may start to arrive just before the idle timeout expires.
        seconds = limits.idle_timeout + limits.header_timeout
        self.callers.idle.update(seconds, self.clock())
        params = self.server.conn_params
        # A connection reads this limit when it starts to wait for a head, so it leaves
        # room for a later version; the limit in force is checked once a head arrived.
        params.max_header_size = max(MAX_HEAD_BYTES, limits.header_bytes)
        self.callers.max_head_bytes = limits.header_bytes
        self.server.clients.max_head_bytes = limits.header_bytes
        params.max_body_size = limits.body_bytes

    def start_drain(self, since: float) -> None:
        """Start the drain: from now on connections are not kept alive.

        Args:
            since: Time from which the grace time is counted, seconds.
        """
        self.readiness.start_drain(since)
        self.server.conn_params.no_keep_alive = True

    def log_drain_start(self) -> None:
        """Log the number of open requests and when this entry expects to have ended."""
        ends_in = self.restart_estimator.ends_in()
        self.log.log_event("leaving", open=len(self.callers.open), ends_in=ends_in)
