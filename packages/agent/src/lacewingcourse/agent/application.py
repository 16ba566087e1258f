"""The agent's daemon: one beside each endpoint."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from loguru import logger

from lacewingcourse.agent.call_runner import CallRunner
from lacewingcourse.agent.follower import AgentConfigurationFollower
from lacewingcourse.agent.handlers import AGENT_ROUTES
from lacewingcourse.agent.journal import Journal
from lacewingcourse.agent.metrics import AgentMetrics
from lacewingcourse.agent.orders import OrderDesk
from lacewingcourse.agent.stage_runner import StageRunner
from lacewingcourse.agent.watchers import Watchers
from lacewingcourse.backing.instances import InstanceListClient
from lacewingcourse.core.keys import model_target, service_target
from lacewingcourse.core.messages import Status
from lacewingcourse.daemon.configuration import CONFIGURATION_ROUTES
from lacewingcourse.daemon.daemon import Daemon, Readiness
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.agent.settings import AgentSettings

#: Paths that only an agent beside a model engine serves.
STAGE_PATHS = frozenset(
    {paths.OPEN_STAGE, paths.START_STAGE, paths.HOPS, paths.REVOKE, paths.CREDIT}
)
#: Paths that only an agent beside a plain service serves.
CALL_PATHS = frozenset({paths.CALL})
#: Seconds between two looks at the endpoint.
PROBE_INTERVAL = 0.5
#: Random bytes of a fresh incarnation.
INCARNATION_BYTES = 4
#: Seconds between two looks whether all work has ended.
DRAIN_INTERVAL = 0.05
#: Seconds in which entries take over the streams of a drain that took too long.
HANDOVER_TIMEOUT = 5.0


class Agent(Daemon):
    """One agent beside one endpoint.

    Attributes:
        incarnation: Name of this start of the agent.
        stages: Runs stages of a model, or None beside a plain service.
        calls: Runs calls of a plain service, or None beside an engine.
        journal: Keys whose home this is; None until the endpoint is known.
        leaving: Whether the instance is leaving for good.
        orders: Takes orders for the endpoint.
        watchers: Tells entries the state.
        statuses: Statuses made so far.
        follower: Follows the configuration.
    """

    metrics_class = AgentMetrics

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.incarnation = new_incarnation()
        self.journal: Journal | None = None
        self.stages: StageRunner | None = None
        self.calls: CallRunner | None = None
        self.leaving = False
        self.orders = OrderDesk(self)
        self.watchers = Watchers(self)
        self.statuses = 0
        self.follower = AgentConfigurationFollower(
            self, InstanceListClient(settings.instance_list_url)
        )
        if settings.service:
            self.calls = CallRunner(self)
        else:
            self.stages = StageRunner(self)
        self.metrics.watch(self)

    def routes(self) -> list[tuple]:
        absent = CALL_PATHS if self.calls is None else STAGE_PATHS
        return [
            (path, handler, {"daemon": self})
            for path, handler in AGENT_ROUTES + CONFIGURATION_ROUTES
            if path not in absent
        ]

    def readiness(self) -> Readiness:
        version = self.follower.replica.version
        if self.stopping.is_set():
            return Readiness(False, "leaving", version)
        if not self.endpoint_ready():
            return Readiness(False, "the endpoint does not answer", version)
        return Readiness(True, configuration_version=version)

    def endpoint_ready(self) -> bool:
        """Tell whether the endpoint answers."""
        if self.calls is not None:
            return self.calls.ready
        return self.stages.work.state is not None and not self.stages.work.late

    def running(self) -> int:
        """Return how many streams and calls run here."""
        if self.calls is not None:
            return self.calls.running
        return len(self.stages.gate.stages)

    def status(self) -> Status:
        """Return the state of the agent and its endpoint."""
        settings = self.settings
        self.statuses += 1
        status = Status(
            endpoint=settings.instance_id,
            incarnation=self.incarnation,
            availability_zone=settings.availability_zone,
            service=settings.service,
            leaving=self.leaving or self.orders.draining,
            ready=self.endpoint_ready(),
            running=self.running(),
            sequence=self.statuses,
            configuration_version=self.follower.replica.version,
        )
        return status if self.stages is None else self.stages.complete_status(status)

    def state(self) -> Status:
        return self.status()

    async def start_tasks(self) -> None:
        await self.probe()
        self.supervise(self._probe_for_ever)
        self.supervise(self.orders.learn)
        self.supervise(self.follower.check_for_ever)
        if self.stages is not None:
            self.supervise(self.stages.work.watch)
            self.supervise(self.stages.reap_orphans)

    async def _probe_for_ever(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            await self.probe()
            if self.stages is not None:
                self.stages.gate.forget(self.now())
                self.stages.courier.forget_idle()

    async def probe(self) -> None:
        """Look whether the endpoint answers."""
        before = self.endpoint_ready()
        await (self.calls or self.stages).probe()
        if self.journal is None:
            self._start_journal()
        if self.endpoint_ready() != before:
            logger.info("endpoint answers", ready=self.endpoint_ready())
        self.watchers.push_change()

    def set_draining(self) -> None:
        """Let the gate refuse new streams while leaving or before an order."""
        if self.stages is not None:
            self.stages.gate.leaving = self.leaving or self.orders.draining
        self.watchers.push_change()

    def _start_journal(self) -> None:
        """Begin to be a home of keys once it is known what runs here."""
        if self.calls is not None:
            target = service_target(self.settings.service)
        elif self.stages.work.state is not None:
            target = model_target(self.stages.work.state.model)
        else:
            return
        self.journal = Journal(self, target)
        self.journal.start()

    def _idle(self) -> bool:
        """Tell whether nothing runs here and everything has been sent."""
        if self.running():
            return False
        return self.stages is None or self.stages.courier.idle

    async def _wait_until_idle(self, timeout: float) -> None:
        """Wait until nothing runs here, for some seconds at the most."""
        deadline = self.now() + timeout
        while not self._idle() and self.now() < deadline:
            await asyncio.sleep(DRAIN_INTERVAL)

    async def drain(self) -> None:
        self.leaving = True
        self.metrics.drains.inc()
        self.set_draining()
        if self.stages is not None:
            self.spawn(
                self.stages.courier.tell_leaving(
                    list(self.stages.entry_urls), self.status()
                )
            )
        deadline = self.now() + self.settings.drain_timeout
        await self._wait_until_idle(self.settings.drain_timeout)
        if self.stages is not None:
            self.stages.close_all()
            await self._wait_until_idle(HANDOVER_TIMEOUT)
        await self._hand_keys_over(deadline)

    async def _hand_keys_over(self, deadline: float) -> None:
        """Wait until the keys have moved; not for long while the log is down."""
        patience = self.now() + self.settings.handover_timeout
        while self.journal is not None and self.journal.book.held():
            given_up = self.now() > patience and not self.journal.book.log_answers
            if given_up or self.now() > deadline:
                logger.warning("keys not handed over")
                return
            await asyncio.sleep(DRAIN_INTERVAL)


def new_incarnation() -> str:
    """Return the name of a start; of two starts the later has the greater name."""
    return f"{time.time_ns():016x}{secrets.token_hex(INCARNATION_BYTES)}"


async def serve(settings: AgentSettings) -> None:
    """Run an agent until it is asked to end."""
    agent = Agent(settings)
    logger.info("agent", instance=settings.instance_id, incarnation=agent.incarnation)
    await agent.run()
