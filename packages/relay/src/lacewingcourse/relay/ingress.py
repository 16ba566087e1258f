"""The callers' side of the entry, from their connections to their last answers."""

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

    from lacewingcourse.core.pipelines.peers import PeerBook
    from lacewingcourse.core.pipelines.routing import Limits
    from lacewingcourse.relay.beliefs import Beliefs
    from lacewingcourse.relay.calls import CallForwarder
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.ports import RequestCodec
    from lacewingcourse.relay.readiness import Readiness
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
        beliefs: Beliefs,
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
            beliefs: What is believed of the deployment.
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
            beliefs,
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
        )
        self.callers = CallerConnections(
            self.gateway.serve, clock, lambda: readiness.draining
        )
        self.restart_estimator = RestartEstimator(
            readiness, self.callers, self.gateway, book, clock
        )
        self.server = CallerServer(self.callers, max_header_size=MAX_HEAD_BYTES)
        # Idle connections are closed by `IdleWatch`.
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
        """Apply the limits of a version that has come into force."""
        # A head may begin when the connection's time to stay idle is nearly over.
        seconds = limits.idle_timeout + limits.header_timeout
        self.callers.idle.update(seconds, self.clock())
        params = self.server.conn_params
        # A connection takes this when it begins to wait, so it leaves room for a later
        # version; the limit in force is looked at once a head has come.
        params.max_header_size = max(MAX_HEAD_BYTES, limits.header_bytes)
        self.callers.max_head_bytes = limits.header_bytes
        params.max_body_size = limits.body_bytes

    def start_drain(self, since: float) -> None:
        """Take the request to end: from now on connections are not kept.

        Args:
            since: When the grace time began at the latest, seconds.
        """
        self.readiness.start_drain(since)
        self.server.conn_params.no_keep_alive = True

    def log_drain_start(self) -> None:
        """Tell what is open and when this entry expects to have ended."""
        ends_in = self.restart_estimator.ends_in()
        self.log.belief("leaving", open=len(self.callers.open), ends_in=ends_in)
