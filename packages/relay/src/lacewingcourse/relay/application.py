"""The process of an entry: its servers, background tasks and shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from functools import partial
from typing import TYPE_CHECKING
from uuid import uuid4

from lacewingcourse.core.pipelines.admission_queue import WAIT_POLICIES
from lacewingcourse.core.pipelines.answer_memory import AnswerMemory
from lacewingcourse.core.pipelines.freshness import RETRY_DELAYS, PropagationBudget
from lacewingcourse.core.pipelines.limit_sharing import LIMIT_SHARING_POLICIES
from lacewingcourse.core.pipelines.peers import PeerTable
from lacewingcourse.core.pipelines.permits import PermitIssuer
from lacewingcourse.core.pipelines.retry_budget import (
    RETRY_SHARING_POLICIES,
    RetryBudget,
)
from lacewingcourse.core.pipelines.room_sharing import ROOM_SHARING_POLICIES
from lacewingcourse.core.pipelines.shutdown import LAST_REQUESTS
from lacewingcourse.relay.address import split_address
from lacewingcourse.relay.admission import Admission
from lacewingcourse.relay.background import BackgroundTasks
from lacewingcourse.relay.backoff_reader import BackoffReader
from lacewingcourse.relay.boot_clock import boot_time
from lacewingcourse.relay.calls import CallForwarder
from lacewingcourse.relay.client_monitor import ClientMonitor
from lacewingcourse.relay.client_stream import Clients
from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.crash_guard import CrashGuard
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
from lacewingcourse.relay.gossip import Gossip
from lacewingcourse.relay.held_answers import HeldAnswers
from lacewingcourse.relay.housekeeping import Housekeeping
from lacewingcourse.relay.ingress import Ingress
from lacewingcourse.relay.leaving_reader import LeavingReader
from lacewingcourse.relay.limit_permits import PermitExchange
from lacewingcourse.relay.limit_reader import LimitReader
from lacewingcourse.relay.loop_watch import LoopWatch
from lacewingcourse.relay.metrics import METRICS_PATH
from lacewingcourse.relay.metrics_page import MetricsPage
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.peers import PeerExchange
from lacewingcourse.relay.placement_duty import PlacementDuty
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.refusal_keeper import RefusalKeeper
from lacewingcourse.relay.retry_loans import RetryLoans
from lacewingcourse.relay.room_monitor import RoomMonitor
from lacewingcourse.relay.routing_state import RoutingState
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.settings_watch import SettingsWatch
from lacewingcourse.relay.small_server import (
    Reply,
    ServerRequest,
    small_http_server,
)
from lacewingcourse.relay.staleness import StalenessGuard
from lacewingcourse.relay.stall_watcher import StallWatcher
from lacewingcourse.relay.streams import StreamForwarder
from lacewingcourse.relay.suspicion_log import SuspicionLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httpserver import HTTPServer

    from lacewingcourse.core.pipelines.suspects import Grade
    from lacewingcourse.relay.loop_watch import Section
    from lacewingcourse.relay.platform_ports import Platform
    from lacewingcourse.relay.settings import Bounds, RelaySettings

#: Bytes of a message of another entry.
MAX_MESSAGE_BYTES = 1024 * 1024


class Application:
    """One entry.

    Attributes:
        settings: Its settings; their addresses do not change while the process runs.
        routing_state: State that routing decisions depend on.
        readiness: Whether it is ready.
        log: Decision log.
        suspicion_log: Logs suspicions of endpoints.
        background: Work that runs until the process ends.
        ended: Set when the process is to end; nothing else ends it.
    """

    def __init__(
        self,
        settings: RelaySettings,
        platform: Platform,
        read_changed: Callable[[], RelaySettings | str | None],
        front: socket.socket | None = None,
    ) -> None:
        """Make the entry.

        Args:
            settings: Its settings.
            platform: The ports of its platform.
            read_changed: Returns the settings if they have changed, None if they have
                not, or why they cannot be used.
            front: Socket that already listens for callers, None to open one.
        """
        self.settings = settings
        self._front = front
        self.platform = platform
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.boot_clock = boot_time
        self.routing_state = RoutingState()
        self.routing_state.parts.started_at = self.clock()
        self.metrics = platform.metrics
        self.log = DecisionLog(
            self.clock, self.metrics, self._version, self._version_age
        )
        platform.unreadable.log = self.log
        self.suspicion_log = SuspicionLog(self.log)
        self.routing_state.on_selection = self.suspicion_log.selected_paths
        self.readiness = Readiness(
            self.routing_state,
            settings.bounds.grace,
            LAST_REQUESTS.get(settings.last_requests),
        )
        self.pool = ConnectionPool()
        self.book = PeerTable(settings.name, settings.zone)
        self.budget = RetryBudget(
            settings.bounds.retry_ratio,
            settings.bounds.retry_window,
            settings.bounds.retry_slack,
            started_at=self.clock(),
            has_predecessor=not settings.first_start,
        )
        self.ended = asyncio.Event()
        self.reloader = SettingsWatch(read_changed, self._apply, self.log)
        self.background = BackgroundTasks(self.log, self.clock)
        self.loop.set_exception_handler(self.background.on_loop_error)
        self._compose()

    def _compose(self) -> None:
        """Create the components with their dependencies."""
        rng = random.Random(self.settings.name)
        self.caller_clients = Clients(self.settings.caller_limits(), self.clock)
        self.other_clients = Clients(self.settings.other_limits(), self.clock)
        self.watch = LoopWatch(self.clock, self.metrics.loop_lag.observe, self._on_lag)
        self.routing_state.watch = self.watch
        limits = LimitReader(
            self.routing_state.limits,
            self.log,
            self.clock,
            self.metrics.unreadable_limits.inc,
        )
        backoffs = BackoffReader(
            self.routing_state.backoffs,
            self.log,
            self.clock,
            self.metrics.unreadable_backoffs.inc,
            lambda: self.admission.room_changed(),
        )
        leaving = LeavingReader(self.routing_state.fleet, self.log)
        self.refusal_keeper = RefusalKeeper(
            self.platform.refusals,
            self.routing_state.parts,
            self.log,
            self.clock,
        )
        crash_guard = CrashGuard(
            self.routing_state,
            self.log,
            self.clock,
            self._notify_peers,
            self.refusal_keeper.on_change,
        )
        self.answers = HeldAnswers(
            AnswerMemory(self.settings.answer_limit()),
            self.metrics.given_up_answers.inc,
        )
        send_limits = self.routing_state.send_limits
        send_limits.sharing = LIMIT_SHARING_POLICIES.get(self.settings.limit_sharing)()
        self.routing_state.room.make = partial(
            ROOM_SHARING_POLICIES.get(self.settings.room_sharing), self.settings.name
        )
        sender = Sender(
            self.pool,
            self.platform.codec,
            self.clock,
            self.budget,
            send_limits,
            self.routing_state.backoffs,
            (limits.observe, backoffs.observe, leaving.observe),
            crash_guard.refusal,
            self.answers,
        )
        zone = self.settings.zone
        self.admission = Admission(
            self.clock,
            WAIT_POLICIES.get(self.settings.wait),
            self.routing_state.room.of,
            on_queued=self.log.queued,
            on_decided=self.metrics.scheduled,
        )
        calls = CallForwarder(
            self.routing_state,
            sender,
            self.budget,
            zone,
            rng,
            self.log,
            crash_guard,
            self.admission,
        )
        refuses_late = self.settings.wait != "late"
        finder = PathFinder(
            self.routing_state, rng, self.clock, self.pool, refuses_late
        )
        self.stalls = StallWatcher(
            self.platform.reports,
            self.routing_state.suspects,
            self.routing_state.speeds,
            finder,
            self.clock,
            self.log,
            self._on_suspect,
            self._on_endpoint_start,
        )
        streams = StreamForwarder(
            self.routing_state,
            finder,
            sender,
            self.budget,
            rng,
            self.admission,
            self.stalls,
            self.log,
            self._notify_peers,
            self._on_retry_denied,
            crash_guard,
        )
        budget = PropagationBudget(self.settings.bounds.configuration)
        self.ingress = Ingress(
            self.routing_state,
            self.platform.codec,
            calls,
            streams,
            self.readiness,
            self.book,
            self.log,
            self.clock,
            rng,
            StalenessGuard(self._version_age, budget.stale),
            crash_guard,
            self.caller_clients,
        )
        self.ready = small_http_server(
            {("GET", self.settings.ready_path): self._on_ready},
            self.other_clients,
            max_body_bytes=0,
        )
        self.configuration = ConfigurationFollower(
            self.platform.configuration,
            self.routing_state,
            self.log,
            self.boot_clock,
            self._reader_rank,
            self._on_configuration,
            budget,
            jitter=rng.random,
            on_read=self.metrics.configuration_read,
        )
        self.directory = DirectoryFollower(
            self.platform.directory,
            self.routing_state,
            self.log,
            self.clock,
            self._reader_rank,
            self._notify_peers,
            self.stalls.move_streams_from,
            self.metrics.unreadable_entries.inc,
            PropagationBudget(self.settings.bounds.departure),
            watch=self.watch,
            jitter=rng.random,
            boot_clock=self.boot_clock,
        )
        for follower in (self.configuration, self.directory):
            delay = RETRY_DELAYS.get(self.settings.store_retry)
            follower.freshness.retry_delay = delay
        self.holder = DutyHolder(
            self.settings.name,
            self.platform.leases,
            self.log,
            self.clock,
            self._rank,
            lambda: self.readiness.draining,
        )
        self.placement = PlacementDuty(
            self.holder,
            self.platform.orders,
            self.platform.reports,
            self.routing_state,
            self.log,
            self.clock,
            self.settings.bounds.fencing_checked,
        )
        gossip = Gossip(
            self.settings.name,
            self.settings.peers,
            self.book,
            self.routing_state,
            self.configuration,
            self.directory,
            self.holder,
            self.readiness,
            self.log,
            self.clock,
            self.ingress.restart_estimator.ends_in,
            self.boot_clock,
            crash_guard=crash_guard,
            on_receive=self.admission.room_changed,
        )
        self.peers = PeerExchange(
            gossip,
            self.settings.seeds,
            self.platform.registry,
            self.clock,
            self.metrics.unreadable_messages.inc,
        )
        self.loans = RetryLoans(
            self.budget,
            self.book,
            self.peers.fetch,
            self.clock,
            rng,
            self.log,
            self.metrics.unreadable_messages.inc,
            RETRY_SHARING_POLICIES.get(self.settings.retry_sharing),
        )
        # A later process of the same name knows nothing of the permits of this one.
        issuer = PermitIssuer(f"{self.settings.name} {uuid4()}")
        self.permits = PermitExchange(
            send_limits,
            issuer,
            self.book,
            self.peers.fetch,
            self.clock,
            rng,
            self.log,
            self.metrics.unreadable_messages.inc,
            lambda: self.readiness.draining,
        )
        send_limits.on_demand = self.permits.schedule_check
        send_limits.on_decrease = self._notify_peers
        self.housekeeper = Housekeeping(
            self.routing_state,
            self.pool,
            self.book,
            self.budget,
            issuer,
            self.clock,
            self._on_resume,
            self.refusal_keeper.on_change,
            RoomMonitor(self.routing_state.room, self.log, self.metrics).check,
        )
        self.client_monitor = ClientMonitor(
            {"callers": self.caller_clients, "others": self.other_clients},
            self.log.log_event,
            self.metrics.closed_client,
            self.clock,
        )
        page = MetricsPage(
            self.metrics,
            self.routing_state,
            self.configuration.freshness,
            self.directory.freshness,
            self.clock,
            self.boot_clock,
            self.admission,
            self.client_monitor.groups,
        )
        metrics_handlers = {("GET", METRICS_PATH): page.respond}
        handlers = self.peers.handlers() | self.loans.handlers()
        handlers |= self.permits.handlers()
        self.peer_server = small_http_server(
            handlers | metrics_handlers, self.other_clients, MAX_MESSAGE_BYTES
        )
        self.metrics_server = small_http_server(
            metrics_handlers, self.other_clients, max_body_bytes=0
        )

    async def run(self) -> None:
        """Serve until the shutdown is complete."""
        if self._front is None:
            self._listen(self.ingress.server, self.settings.front)
        else:
            self.ingress.server.add_socket(self._front)
        self._listen(self.ready, self.settings.ready)
        if self.settings.peers:
            self._listen(self.peer_server, self.settings.peers)
        if self.settings.metrics:
            self._listen(self.metrics_server, self.settings.metrics)
        self.loop.add_signal_handler(signal.SIGTERM, self._on_term)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.on_signal)
        for name, loop in self.loops().items():
            self.background.supervise(name, loop)
        self.log.log_event("started", zone=self.settings.zone)
        await self.ended.wait()
        self.log.log_event("ended", open=len(self.ingress.callers.open))

    def loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops that run until the process ends, by name."""
        found = {
            "permits": self.permits.run,
            "refusals": self.refusal_keeper.run,
            "configuration": self.configuration.run,
            "directory": self.directory.run,
            "placement": self.placement.run,
            "housekeeping": self.housekeeper.run,
            "stalls": self.stalls.run,
            "loop watch": self.watch.run,
            "settings": self.reloader.run,
            "clients": self.client_monitor.run,
        }
        if self.settings.peers:
            found["gossip"] = self.peers.run
            found["registry"] = self.peers.keep_registered
            found["retry loans"] = self.loans.run
        return found

    def _listen(self, server: HTTPServer, address: str) -> None:
        host, port = split_address(address)
        server.listen(port, host)

    def _version(self) -> int:
        table = self.routing_state.table
        return table.version if table else 0

    def _version_age(self) -> float:
        """Return the seconds since the version in force was known to be the newest."""
        return self.configuration.freshness.age(self.boot_clock())

    def _rank(self) -> int:
        return self.book.rank(self.clock())

    def _reader_rank(self) -> int:
        return self.book.reader_rank(self.clock(), self.peers.gossip.platform_reachable)

    def _on_suspect(
        self, endpoints: tuple[str, ...], reason: str, grade: Grade
    ) -> None:
        """Suspect endpoints that do not answer, and notify other entries."""
        now = self.clock()
        suspects = self.routing_state.suspects
        for endpoint in endpoints:
            suspects.suspect(endpoint, reason, now, silent=True, grade=grade)
        self.suspicion_log.suspected(endpoints, reason, grade)
        self._notify_peers()

    def _on_endpoint_start(self, name: str, born: int) -> bool:
        """Record the start of an endpoint; return whether it replaces the known one.

        Args:
            name: Name of the endpoint.
            born: Unix time of its start in milliseconds.
        """
        if not self.routing_state.fleet.record_start(name, born):
            return False
        self.log.log_event("endpoint_restarted", endpoint=name, born=born)
        return True

    def _on_retry_denied(self, service: str, request: str) -> None:
        """Request the loan of a retry from other entries."""
        self.loans.request_loan(service, request)

    def _notify_peers(self) -> None:
        """Notify other entries of a change, after which waiting requests may start."""
        self.admission.room_changed()
        self.peers.exchange_now()

    def _on_ready(self, request: ServerRequest) -> Reply:
        return Reply(200 if self.readiness.is_ready() else 503)

    def _on_configuration(self) -> None:
        """Apply the limits of a version in force, log its keys, and notify others."""
        self._notify_peers()
        table = self.routing_state.table
        self.ingress.apply_limits(table.limits)
        self.log.log_event(
            "keys",
            version=table.version,
            organisations=table.organisations,
            shared_keys=table.shared_keys,
        )

    def _on_lag(self, late: float, section: Section) -> None:
        """Log that the event loop was blocked, and by which work."""
        self.log.log_event(
            "loop_late",
            late_ms=round(late * 1000),
            work=section.name,
            took_ms=round(section.seconds * 1000),
            processor_ms=round(self.watch.processor_seconds * 1000),
        )

    def _on_resume(self, suspended_for: float) -> None:
        """Drop all state that may have become invalid while the machine was suspended.

        Args:
            suspended_for: Seconds for which it was suspended.
        """
        self.log.log_event("thawed", slept_ms=round(suspended_for * 1000))
        self.configuration.freshness.expire()
        self.directory.freshness.expire()
        self.holder.lease = None
        self.budget.drop_loans()
        self.routing_state.send_limits.sharing.clear()
        self.routing_state.room.clear()
        self.routing_state.backoffs.add_suspended_time(suspended_for)
        self.readiness.add_suspended_time(suspended_for)

    def _on_term(self) -> None:
        if self.readiness.draining:
            return
        # A blocked loop handles the signal late; the grace time counts from before it.
        self.ingress.start_drain(self.watch.previous_tick)
        self.background.start("shutdown", self._leave())
        self._notify_peers()
        self.ingress.log_drain_start()

    def _apply(self, settings: RelaySettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.settings = settings
        self.budget.ratio = settings.bounds.retry_ratio
        self.budget.window = settings.bounds.retry_window
        self.budget.slack = settings.bounds.retry_slack
        self.readiness.grace = settings.bounds.grace
        self.peers.seeds = settings.seeds
        self._apply_client_limits(settings)
        self._apply_budgets(settings.bounds)

    def _apply_client_limits(self, settings: RelaySettings) -> None:
        """Apply the bounds of clients and answers.

        Those of clients take effect at the monitor's next round.
        """
        self.answers.memory.limit = settings.answer_limit()
        self.caller_clients.memory.limits = settings.caller_limits()
        self.other_clients.memory.limits = settings.other_limits()

    def _apply_budgets(self, bounds: Bounds) -> None:
        """Apply the times within which changes must have been propagated."""
        self.configuration.budget = PropagationBudget(bounds.configuration)
        self.directory.budget = PropagationBudget(bounds.departure)
        for follower in (self.configuration, self.directory):
            follower.budget.apply(follower.freshness)
        self.ingress.gateway.guard.limit = self.configuration.budget.stale

    async def _leave(self) -> None:
        """Carry out the departure, and end the process even if it fails."""
        try:
            await self.ingress.drainer.run()
        finally:
            self.ended.set()
