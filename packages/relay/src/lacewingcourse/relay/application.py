"""The entry as one process: its servers, its loops and its end."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from typing import TYPE_CHECKING
from uuid import uuid4

from tornado.httpserver import HTTPServer

from lacewingcourse.core.pipelines.admission_queue import WAITS
from lacewingcourse.core.pipelines.freshness import RETRY_DELAYS, PropagationBudget
from lacewingcourse.core.pipelines.limit_sharing import LIMIT_SHARINGS
from lacewingcourse.core.pipelines.peers import PeerBook
from lacewingcourse.core.pipelines.permits import PermitIssuer
from lacewingcourse.core.pipelines.retry_budget import RETRY_SHARINGS, RetryBudget
from lacewingcourse.core.pipelines.shutdown import LAST_REQUESTS
from lacewingcourse.relay.address import split_address
from lacewingcourse.relay.admission import Admission
from lacewingcourse.relay.beliefs import Beliefs
from lacewingcourse.relay.boot_clock import boot_time
from lacewingcourse.relay.calls import CallForwarder
from lacewingcourse.relay.connections import ConnectionPool
from lacewingcourse.relay.decisions import DecisionLog
from lacewingcourse.relay.duty_holder import DutyHolder
from lacewingcourse.relay.followers import ConfigurationFollower, DirectoryFollower
from lacewingcourse.relay.gossip import Gossip
from lacewingcourse.relay.housekeeping import Housekeeping
from lacewingcourse.relay.ingress import Ingress
from lacewingcourse.relay.limit_permits import PermitExchange
from lacewingcourse.relay.limit_reader import LimitReader
from lacewingcourse.relay.loop_watch import LoopWatch
from lacewingcourse.relay.metrics import METRICS_PATH
from lacewingcourse.relay.metrics_page import MetricsPage
from lacewingcourse.relay.path_finder import PathFinder
from lacewingcourse.relay.peers import PeerExchange
from lacewingcourse.relay.placement_duty import PlacementDuty
from lacewingcourse.relay.readiness import Readiness
from lacewingcourse.relay.retry_loans import RetryLoans
from lacewingcourse.relay.sending import Sender
from lacewingcourse.relay.settings_watch import SettingsWatch
from lacewingcourse.relay.small_server import Question, Reply, SmallServer
from lacewingcourse.relay.staleness import StalenessGuard
from lacewingcourse.relay.stall_watcher import StallWatcher
from lacewingcourse.relay.streams import StreamForwarder

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lacewingcourse.relay.loop_watch import Section
    from lacewingcourse.relay.platform_ports import Platform
    from lacewingcourse.relay.settings import Bounds, RelaySettings


class Application:
    """One entry.

    Attributes:
        settings: Its settings; their addresses hold for its life.
        beliefs: What it believes.
        readiness: Whether it is ready.
        log: Log of decisions.
    """

    def __init__(
        self,
        settings: RelaySettings,
        platform: Platform,
        changed: Callable[[], RelaySettings | str | None],
        front: socket.socket | None = None,
    ) -> None:
        """Make the entry.

        Args:
            settings: Its settings.
            platform: The ports of its platform.
            changed: Returns the settings if they have changed, or why they cannot be
                used.
            front: Socket that listens for callers already, None if none does.
        """
        self.settings = settings
        self._front = front
        self.platform = platform
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.boot_clock = boot_time
        self.beliefs = Beliefs()
        self.metrics = platform.metrics
        self.log = DecisionLog(
            self.clock, self.metrics, self._version, self._version_age
        )
        self.readiness = Readiness(
            self.beliefs,
            settings.bounds.grace,
            LAST_REQUESTS.get(settings.last_requests),
        )
        self.pool = ConnectionPool()
        self.book = PeerBook(settings.name, settings.zone)
        self.budget = RetryBudget(
            settings.bounds.retry_ratio,
            settings.bounds.retry_window,
            settings.bounds.retry_slack,
            started_at=self.clock(),
            has_predecessor=not settings.first_start,
        )
        self.ended = asyncio.Event()
        self.reloading = SettingsWatch(changed, self._apply, self.log)
        self._tasks: list[asyncio.Task] = []
        self._compose()

    def _compose(self) -> None:
        """Make the parts and give each what it needs."""
        rng = random.Random(self.settings.name)
        self.watch = LoopWatch(self.clock, self.metrics.loop_lag.observe, self._on_lag)
        self.beliefs.watch = self.watch
        limits = LimitReader(
            self.beliefs.limits,
            self.log,
            self.clock,
            self.metrics.unreadable_limits.inc,
        )
        send_limits = self.beliefs.send_limits
        send_limits.sharing = LIMIT_SHARINGS.get(self.settings.limit_sharing)()
        sender = Sender(
            self.pool,
            self.platform.codec,
            self.clock,
            self.budget,
            send_limits,
            limits.take,
        )
        zone = self.settings.zone
        calls = CallForwarder(self.beliefs, sender, self.budget, zone, rng, self.log)
        self.admission = Admission(self.clock, WAITS.get(self.settings.wait))
        finder = PathFinder(self.beliefs, rng, self.clock, self.pool)
        self.stalls = StallWatcher(
            self.platform.reports,
            self.beliefs.suspects,
            self.beliefs.speeds,
            finder,
            self.clock,
            self.log,
            self._on_suspect,
            self._on_start,
        )
        streams = StreamForwarder(
            self.beliefs,
            finder,
            sender,
            self.budget,
            rng,
            self.admission,
            self.stalls,
            self.log,
            self._tell_peers,
            self._on_denied,
        )
        budget = PropagationBudget(self.settings.bounds.configuration)
        self.ingress = Ingress(
            self.beliefs,
            self.platform.codec,
            calls,
            streams,
            self.readiness,
            self.book,
            self.log,
            self.clock,
            rng,
            StalenessGuard(self._version_age, budget.stale),
        )
        self.ready = HTTPServer(
            SmallServer({("GET", self.settings.ready_path): self._on_ready})
        )
        self.configuration = ConfigurationFollower(
            self.platform.configuration,
            self.beliefs,
            self.log,
            self.boot_clock,
            self._reader_rank,
            self._on_configuration,
            budget,
            draw=rng.random,
            on_read=self.metrics.configuration_read,
        )
        self.directory = DirectoryFollower(
            self.platform.directory,
            self.beliefs,
            self.log,
            self.clock,
            self._reader_rank,
            self._tell_peers,
            self.stalls.restarted,
            self.metrics.unreadable_entries.inc,
            PropagationBudget(self.settings.bounds.departure),
            watch=self.watch,
            draw=rng.random,
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
            lambda: self.readiness.leaving,
        )
        self.placement = PlacementDuty(
            self.holder,
            self.platform.orders,
            self.platform.reports,
            self.beliefs,
            self.log,
            self.clock,
            self.settings.bounds.fencing_checked,
        )
        gossip = Gossip(
            self.settings.name,
            self.settings.peers,
            self.book,
            self.beliefs,
            self.configuration,
            self.directory,
            self.holder,
            self.readiness,
            self.log,
            self.clock,
            self.ingress.endings.ends_in,
            self.boot_clock,
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
            RETRY_SHARINGS.get(self.settings.retry_sharing),
        )
        # A later process of the same name counts anew.
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
            lambda: self.readiness.leaving,
        )
        send_limits.on_want = self.permits.check
        send_limits.on_fall = self._tell_peers
        self.house = Housekeeping(
            self.beliefs,
            self.pool,
            self.book,
            self.budget,
            issuer,
            self.clock,
            self._on_thaw,
        )
        page = MetricsPage(
            self.metrics,
            self.beliefs,
            self.configuration.freshness,
            self.directory.freshness,
            self.clock,
            self.boot_clock,
        )
        shown = {("GET", METRICS_PATH): page.answer}
        handlers = self.peers.handlers() | self.loans.handlers()
        handlers |= self.permits.handlers()
        self.peer_server = HTTPServer(SmallServer(handlers | shown))
        self.metrics_server = HTTPServer(SmallServer(shown))

    async def run(self) -> None:
        """Serve until the request to end has been carried out."""
        if self._front is None:
            self._listen(self.ingress.front, self.settings.front)
        else:
            self.ingress.front.add_socket(self._front)
        self._listen(self.ready, self.settings.ready)
        if self.settings.peers:
            self._listen(self.peer_server, self.settings.peers)
            self._start(self.peers.run())
            self._start(self.peers.keep_registered())
            self._start(self.loans.run())
        self._start(self.permits.run())
        if self.settings.metrics:
            self._listen(self.metrics_server, self.settings.metrics)
        self.loop.add_signal_handler(signal.SIGTERM, self._on_term)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloading.on_signal)
        self._start(self.configuration.run())
        self._start(self.directory.run())
        self._start(self.placement.run())
        self._start(self.house.run())
        self._start(self.stalls.run())
        self._start(self.watch.run())
        self._start(self.reloading.run())
        self.log.belief("started", zone=self.settings.zone)
        await self.ended.wait()
        self.log.belief("ended", open=len(self.ingress.callers.open))

    def _listen(self, server: HTTPServer, address: str) -> None:
        host, port = split_address(address)
        server.listen(port, host)

    def _start(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Tell of a loop that ended, which none should."""
        if not task.cancelled() and task.exception() is not None:
            self.log.failed(task.exception())

    def _version(self) -> int:
        table = self.beliefs.table
        return table.version if table else 0

    def _version_age(self) -> float:
        """Return the seconds since the version in force was known to be the newest."""
        return self.configuration.freshness.age(self.boot_clock())

    def _rank(self) -> int:
        return self.book.rank(self.clock())

    def _reader_rank(self) -> int:
        return self.book.reader_rank(self.clock(), self.peers.gossip.reads)

    def _on_suspect(self, endpoints: tuple[str, ...], reason: str) -> None:
        """Leave out endpoints that were found to be dead, and tell it."""
        now = self.clock()
        for endpoint in endpoints:
            self.beliefs.suspects.suspect(endpoint, reason, now, silent=True)
        self.log.belief("suspected", endpoints=list(endpoints), reason=reason)
        self._tell_peers()

    def _on_start(self, name: str, born: int) -> bool:
        """Take from an endpoint when it started; tell whether that is new."""
        if not self.beliefs.fleet.record_start(name, born):
            return False
        self.log.belief("endpoint_restarted", endpoint=name, born=born)
        return True

    def _on_denied(self, service: str, request: str) -> None:
        """Ask other entries for a retry."""
        self.loans.want(service, request)

    def _tell_peers(self) -> None:
        self.peers.tell_now()

    def _on_ready(self, question: Question) -> Reply:
        return Reply(200 if self.readiness.is_ready() else 503)

    def _on_configuration(self) -> None:
        """Apply the limits of a version that has come into force, and tell it."""
        self._tell_peers()
        self.ingress.put_in_force(self.beliefs.table.limits)

    def _on_lag(self, late: float, section: Section) -> None:
        """Tell that the loop stood still, and what ran meanwhile."""
        self.log.belief(
            "loop_late",
            late_ms=round(late * 1000),
            work=section.name,
            took_ms=round(section.seconds * 1000),
        )

    def _on_thaw(self, slept: float) -> None:
        """Trust nothing that was learned before this process was frozen."""
        self.log.belief("thawed", slept_ms=round(slept * 1000))
        self.configuration.freshness.expire()
        self.directory.freshness.expire()
        self.holder.lease = None
        self.budget.drop_loans()
        self.beliefs.send_limits.sharing.clear()
        self.readiness.suspended(slept)

    def _on_term(self) -> None:
        if self.readiness.leaving:
            return
        # The grace time runs while a loop that is held up has not noticed the signal.
        self.ingress.leave(self.watch.previous_look)
        self._start(self._leave())
        self._tell_peers()
        self.ingress.tell_leaving()

    def _apply(self, settings: RelaySettings) -> None:
        """Put in force what may change in the life of a process."""
        self.settings = settings
        self.budget.ratio = settings.bounds.retry_ratio
        self.budget.window = settings.bounds.retry_window
        self.budget.slack = settings.bounds.retry_slack
        self.readiness.grace = settings.bounds.grace
        self.peers.seeds = settings.seeds
        self._put_budgets(settings.bounds)

    def _put_budgets(self, bounds: Bounds) -> None:
        """Put in force how soon changes must be known."""
        self.configuration.budget = PropagationBudget(bounds.configuration)
        self.directory.budget = PropagationBudget(bounds.departure)
        for follower in (self.configuration, self.directory):
            follower.budget.apply(follower.freshness)
        self.ingress.gateway.guard.limit = self.configuration.budget.stale

    async def _leave(self) -> None:
        """End when the callers' requests have their ends, or cannot get them."""
        try:
            await self.ingress.departure.carry_out()
        finally:
            self.ended.set()
