"""The entry's daemon: callers on one side, agents on the other."""

from __future__ import annotations

import asyncio
import hashlib
import random
import secrets
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from lacewingcourse.backing.instances import InstanceListClient
from lacewingcourse.backing.log import LogClient
from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import Credit
from lacewingcourse.core.stream_request import Phase
from lacewingcourse.daemon.configuration import CONFIGURATION_ROUTES
from lacewingcourse.daemon.daemon import Daemon, Readiness
from lacewingcourse.entry.admin_api import ADMIN_ROUTES
from lacewingcourse.entry.admission import AdmissionControl
from lacewingcourse.entry.answers import AnswerDriver
from lacewingcourse.entry.api import API_ROUTES
from lacewingcourse.entry.burn_log import BurnLog
from lacewingcourse.entry.call_sender import CallSender
from lacewingcourse.entry.directory import Directory
from lacewingcourse.entry.dispatcher import Dispatcher
from lacewingcourse.entry.follower import EntryConfigurationFollower
from lacewingcourse.entry.home_keeper import HomeKeeper
from lacewingcourse.entry.keyed import KeyedAnswers
from lacewingcourse.entry.lease_holder import HeldLease, LeaseHolder
from lacewingcourse.entry.metrics import EntryMetrics
from lacewingcourse.entry.outcomes import Outcomes
from lacewingcourse.entry.poison_guard import PoisonGuard
from lacewingcourse.entry.publisher import Publisher
from lacewingcourse.entry.recovery import Recovery
from lacewingcourse.entry.report_api import REPORT_ROUTES
from lacewingcourse.entry.rollout import RolloutWatcher
from lacewingcourse.entry.service_api import SERVICE_ROUTES
from lacewingcourse.entry.state_api import STATE_ROUTES
from lacewingcourse.entry.wire_api import WIRE_ROUTES

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import Configuration
    from lacewingcourse.core.messages import AliveRequest, StageAddress, TokenBatch
    from lacewingcourse.core.routes import Route
    from lacewingcourse.core.stream_request import StreamRequest
    from lacewingcourse.entry.settings import EntrySettings

#: Seconds between two looks for attempts that stand still.
PROGRESS_INTERVAL = 0.1
#: Seconds between two looks whether everything has ended.
DRAIN_INTERVAL = 0.05
#: Seconds for the last word to callers of a drain that took too long.
LAST_WORD_TIMEOUT = 5.0


@attrs.frozen
class EntryState:
    """State of an entry as its state page shows it.

    Attributes:
        instance: Name of the instance.
        readiness: Whether it takes new work.
        streams: Answers in flight.
        endpoints: What it knows of the endpoints.
        leases: Leases as the log has them.
        homes_complete: Whether every key has a home.
    """

    instance: str
    readiness: Readiness
    streams: int
    endpoints: tuple[EndpointState, ...]
    homes_complete: bool
    leases: tuple[HeldLease, ...] = ()


class Entry(Daemon):
    """One entry instance.

    Attributes:
        directory: What is known of the endpoints.
        follower: Follows the configuration.
        publisher: Publishes changes of the configuration.
        rollouts: Finds out which instances have a version in force.
        answers: Answers in flight by stream.
        dispatcher: Chooses routes and counts what runs on them.
        rng: Source of randomness for decisions.
        poison: Knows the requests that crash their endpoints.
        recovery: Judges lost attempts and the endpoints that failed them.
        admission: Lets requests start, wait or be refused.
        calls_running: Plain calls in flight.
        leases: Its part in the leases of all duties.
        outcomes: Counts how requests end.
        burn_log: Keeps summaries of the counts in the log.
        homes: Which agents are homes of keys.
        calls: Sends plain calls.
        keyed: Answers of requests with a key.
    """

    metrics_class = EntryMetrics

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings)
        instance_list = InstanceListClient(settings.instance_list_url)
        self.directory = Directory(self, instance_list)
        self.follower = EntryConfigurationFollower(
            self, LogClient(settings.log_url), lambda: self.directory.listed
        )
        self.publisher = Publisher(self.follower)
        self.rollouts = RolloutWatcher(self)
        self.answers: dict[str, AnswerDriver] = {}
        self.dispatcher = Dispatcher(self, settings.route_policy)
        self.rng = random.Random(secrets.randbits(64))
        self.poison = PoisonGuard(self, self.follower.log)
        self.recovery = Recovery(self)
        self.admission = AdmissionControl(self)
        self.calls_running = 0
        self.leases = LeaseHolder(self, LogClient(settings.log_url))
        run = secrets.token_hex(8)
        self.outcomes = Outcomes(settings.instance_id, run, self.metrics)
        self.burn_log = BurnLog(
            self.follower.log,
            self.outcomes.writer,
            settings.burn_summary_interval,
            self.rng,
        )
        self.follower.log.observe = self.metrics.on_log
        self.metrics.watch(self)
        self.homes = HomeKeeper(self)
        self.calls = CallSender(self)
        self.keyed = KeyedAnswers(self)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.follower.configuration

    def routes(self) -> list[tuple]:
        routes = API_ROUTES + SERVICE_ROUTES + WIRE_ROUTES + REPORT_ROUTES
        routes += CONFIGURATION_ROUTES + ADMIN_ROUTES
        routes += STATE_ROUTES
        return [(path, handler, {"daemon": self}) for path, handler in routes]

    def readiness(self) -> Readiness:
        version = self.configuration.version
        if self.stopping.is_set():
            return Readiness(False, "leaving", version)
        if not self.follower.replica.usable:
            return Readiness(False, "no configuration yet", version)
        return Readiness(True, configuration_version=version)

    def state(self) -> EntryState:
        return EntryState(
            instance=self.settings.instance_id,
            readiness=self.readiness(),
            streams=len(self.answers),
            endpoints=tuple(self.directory.endpoints.values()),
            leases=self.leases.shown(),
            homes_complete=self.homes.complete(),
        )

    async def start_tasks(self) -> None:
        self.supervise(self.follower.follow_log)
        self.supervise(self.follower.check_for_ever)
        self.leases.start()
        self.homes.start()
        self.supervise(self.directory.follow_list)
        self.supervise(self.directory.follow_agents)
        self.supervise(self._check_progress_for_ever)
        self.supervise(self.admission.review_for_ever)
        self.supervise(self.recovery.review_for_ever)
        self.supervise(self.poison.follow)
        self.supervise(self.burn_log.append_for_ever)

    async def _check_progress_for_ever(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            for answer in list(self.answers.values()):
                answer.check_progress(self.now())

    async def _wait_until_idle(self, timeout: float) -> None:
        """Wait until nothing is in flight, for some seconds at the most."""
        deadline = self.now() + timeout
        while (self.answers or self.calls_running) and self.now() < deadline:
            await asyncio.sleep(DRAIN_INTERVAL)

    async def drain(self) -> None:
        self.metrics.drains.inc()
        await self.leases.release()
        await self._wait_until_idle(self.settings.drain_timeout)
        refusal = Refusal(ErrorKind.DRAINING, "the entry has to end", retry_after=1.0)
        for answer in list(self.answers.values()):
            answer.end(refusal)
        await self._wait_until_idle(LAST_WORD_TIMEOUT)
        await self.burn_log.close()

    def authenticate(self, header: str) -> str | Refusal:
        """Return the organisation of an `Authorization` header."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Refusal(ErrorKind.UNAUTHENTICATED, "no bearer key was sent")
        key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
        for organisation in self.configuration.organisations.values():
            if key_hash in organisation.key_hashes:
                return organisation.name
        return Refusal(ErrorKind.UNAUTHENTICATED, "the key is not known")

    def choose_route(
        self,
        request: StreamRequest,
        excluded: frozenset[str],
        stages: tuple[StageAddress, ...] = (),
    ) -> Route | Refusal:
        """Return a route for a request and count it as dispatched."""
        return self.dispatcher.choose(request, excluded, stages)

    def answer(self, request: StreamRequest) -> AnswerDriver:
        """Start a streamed answer."""
        driver = AnswerDriver(self, request)
        self.answers[request.stream] = driver
        driver.start()
        return driver

    def forget(self, driver: AnswerDriver) -> None:
        """End a streamed answer."""
        driver.abandon()
        self.free(driver)
        self.answers.pop(driver.stream, None)

    def free(self, driver: AnswerDriver) -> None:
        """Give free what a streamed answer that has ended occupied."""
        endpoints = self.dispatcher.release(driver.stream)
        failure = driver.state.cancellation.failure
        whole = failure is None
        if failure is not None and failure.kind is ErrorKind.CALLER_GONE:
            whole = None
        self.recovery.on_end(driver.stream, whole is True, endpoints)
        self.admission.on_end(driver.stream, whole)

    def ended_of(self, request: AliveRequest) -> tuple[Credit, ...]:
        """Return a credit of 0 for each attempt that nobody waits for."""
        ended = []
        for name in request.attempts:
            answer = self.answers.get(name.stream)
            if answer is None or answer.state.attempt > name.attempt:
                ended.append(Credit(name.stream, name.attempt, 0))
        return tuple(ended)

    def take_tokens(self, batch: TokenBatch) -> tuple[Credit, ...]:
        """Hand tokens to their answers; end attempts that nobody waits for."""
        credits = []
        for token in batch.tokens:
            answer = self.answers.get(token.stream)
            if answer is None or answer.state.phase is Phase.ENDED:
                credits.append(Credit(token.stream, token.attempt, 0))
                continue
            answer.on_token(token)
        return tuple(credits)


async def serve(settings: EntrySettings) -> None:
    """Run an entry until it is asked to end."""
    entry = Entry(settings)
    logger.info("entry", instance=settings.instance_id)
    await entry.run()
