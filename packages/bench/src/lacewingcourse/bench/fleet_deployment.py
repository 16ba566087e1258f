"""A deployment of the whole fleet, with engines hosted by one process a zone."""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.bench.fleet import (
    BATCH_ITEMS,
    LARGE_MODEL,
    LAYERS,
    ORGANISATION_WEIGHTS,
    SMALL_MODEL,
    FleetEndpoint,
    work_classes,
)
from lacewingcourse.core.configuration import (
    Change,
    ConfigurationRecord,
    Model,
    Organisation,
)
from lacewingcourse.platform.log import Append
from lacewingcourse.testing.deployment import (
    START_TIMEOUT,
    Deployment,
    DeploymentOptions,
    EndpointProcesses,
    port_of,
    put_json,
)
from lacewingcourse.testing.layout import ZONES
from lacewingcourse.testing.processes import Process, free_ports, stop_all, wait_until
from lacewingcourse.wire.codec import encode

if TYPE_CHECKING:
    from lacewingcourse.bench.sections import Subject

#: Entries of the fleet.
ENTRIES = 3


@attrs.define
class HostedEngineProcess:
    """An engine in a host, with what a process of its own would offer.

    Attributes:
        host: The process that hosts it.
        url: Base URL of the engine.
    """

    host: Process
    url: str

    @property
    def pid(self) -> int:
        """Process id of the host."""
        return self.host.pid

    def kill(self) -> None:
        """Let the engine die, and only it."""
        self._order("stop")

    def start(self) -> None:
        """Let the engine come back with an empty memory."""
        self._order("start")

    def _order(self, action: str) -> None:
        if self.host.alive():
            put_json(f"{self.host.url}/engines/{port_of(self.url)}/{action}", b"")


class FleetDeployment(Deployment):
    """The fleet as real entries and agents on hosted engines.

    Attributes:
        fleet: What it consists of.
        subject: The version that is measured.
        scale: Factor on all times.
        hosts: Engine hosts by availability zone.
    """

    def __init__(
        self, fleet: list[FleetEndpoint], subject: Subject, scale: float
    ) -> None:
        agent_variables = {
            "LACEWINGCOURSE_BATCH_ITEMS": str(BATCH_ITEMS),
            **subject.variables(),
        }
        options = DeploymentOptions(
            entries=ENTRIES,
            endpoints=len(fleet),
            layers=LAYERS,
            services=0,
            agent_variables=agent_variables,
            entry_variables=subject.variables(),
        )
        super().__init__(options)
        self.fleet = fleet
        self.subject = subject
        self.scale = scale
        self.hosts: dict[str, Process] = {}
        self.keys = {
            f"organisation-{index + 1}": f"key-{secrets.token_hex(12)}"
            for index in range(len(ORGANISATION_WEIGHTS))
        }

    def processes(self) -> list[Process]:
        agents = [pair.agent for pair in self.endpoints]
        return [*self.entries, *agents, *self.hosts.values(), *self.platform.values()]

    def groups(self) -> dict[str, list[int]]:
        """Return the process ids by role."""
        return {
            "entries": [each.pid for each in self.entries],
            "agents": [pair.agent.pid for pair in self.endpoints],
            "engines": [host.pid for host in self.hosts.values()],
            "platform": [each.pid for each in self.platform.values()],
        }

    def _start_endpoints(self) -> None:
        ports = free_ports(len(self.fleet))
        self.fleet = [
            attrs.evolve(each, spec=attrs.evolve(each.spec, port=port))
            for each, port in zip(self.fleet, ports, strict=True)
        ]
        for zone in ZONES:
            self._start_host(zone)
        wait_until(
            lambda: all(host.ready("/healthz") for host in self.hosts.values()),
            START_TIMEOUT,
            "the engine hosts are not ready",
        )
        for each in self.fleet:
            host = self.hosts[each.plan.availability_zone]
            url = f"http://127.0.0.1:{each.spec.port}"
            engine = HostedEngineProcess(host, url)
            agent = self._agent(each.plan, engine, {})
            self.endpoints.append(EndpointProcesses(each.plan, engine, agent))

    def _start_host(self, zone: str) -> None:
        specs = [
            each.spec for each in self.fleet if each.plan.availability_zone == zone
        ]
        path = self.log_directory / f"engines-{zone}.json"
        path.write_bytes(encode(specs))
        self.hosts[zone] = self._standin(f"host-{zone}", "engines", f"--specs={path}")

    def _publish(self) -> None:
        organisations = [
            Change("organisations", name, organisation=self._organisation(name))
            for name in self.keys
        ]
        classes = [
            Change("classes", each.name, work_class=each)
            for each in work_classes(self.scale)
        ]
        models = [
            Change("models", name, model=Model(name, LAYERS))
            for name in (LARGE_MODEL, SMALL_MODEL)
        ]
        changes = (*organisations, *classes, *models)
        record = ConfigurationRecord(
            secrets.token_hex(16), 0, "bench", time.time(), changes
        )
        url = self.platform["log_service"].url
        append = Append(encode(record).decode())
        put_json(f"{url}/streams/configuration/records", append, "POST")

    def _organisation(self, name: str) -> Organisation:
        digest = hashlib.sha256(self.keys[name].encode()).hexdigest()
        return Organisation(name, (digest,))

    def use_policy(self, policy: str, admission: str) -> None:
        """Replace the entries by fresh ones with another policy."""
        stop_all(self.entries)
        self.entries = []
        variables = {
            "LACEWINGCOURSE_ROUTE_POLICY": policy,
            "LACEWINGCOURSE_ADMISSION": admission,
            **self.subject.variables(),
        }
        self.options = attrs.evolve(self.options, entry_variables=variables)
        self._start_entries()
        self._list_instances()
        wait_until(self.ready, START_TIMEOUT, "the entries are not ready")

    def kill_endpoint(self, index: int) -> None:
        """Let an endpoint's instance die."""
        pair = self.endpoints[index]
        pair.agent.kill()
        pair.engine.kill()

    def revive_endpoint(self, index: int) -> None:
        """Bring an endpoint back under its old address."""
        pair = self.endpoints[index]
        pair.engine.start()
        pair.agent.start()

    def indices_in(self, zone: str) -> list[int]:
        """Return the endpoints of an availability zone."""
        return [
            index
            for index, each in enumerate(self.fleet)
            if each.plan.availability_zone == zone
        ]

    def kill_zone(self, zone: str) -> None:
        """Let all endpoints of an availability zone die at once."""
        self.hosts[zone].kill()
        for index in self.indices_in(zone):
            self.endpoints[index].agent.kill()

    def revive_zone(self, zone: str) -> None:
        """Bring the endpoints of an availability zone back."""
        host = self.hosts[zone]
        host.start()
        wait_until(
            lambda: host.ready("/healthz"), START_TIMEOUT, "the host is not ready"
        )
        for index in self.indices_in(zone):
            self.endpoints[index].agent.start()
