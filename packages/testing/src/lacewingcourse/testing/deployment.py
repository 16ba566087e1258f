"""A whole deployment as separate processes on the loopback address."""

from __future__ import annotations

import fnmatch
import hashlib
import json
import secrets
import shutil
import tempfile
from pathlib import Path
from typing import Any
from urllib.request import urlopen

import attrs

from lacewingcourse.backing.instances import Instance, InstanceRole, InstanceState
from lacewingcourse.core.configuration import (
    Change,
    Model,
    Organisation,
    Service,
)
from lacewingcourse.testing.layout import (
    ZONES,
    EndpointPlan,
    plan_endpoints,
    plan_spares,
)
from lacewingcourse.testing.processes import (
    Process,
    WaitTimeout,
    free_ports,
    python_command,
    stop_all,
    wait_until,
)
from lacewingcourse.testing.proxies import ProxyLink
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.proxy_control import NewLink

#: Name of the model that a local deployment serves.
MODEL = "mapchat"
#: Name of the plain service.
SERVICE = "tally"
#: Organisations of a local deployment.
ORGANISATIONS = ("blue-mahoe", "regie")
#: Seconds that a leaving agent waits for the log, which may have ended before it.
HANDOVER_TIMEOUT = "1"
#: Seconds in which a local deployment must be ready.
START_TIMEOUT = 30.0


class StartError(Exception):
    """A deployment could not be started."""


@attrs.frozen
class DeploymentOptions:
    """What a local deployment consists of.

    Attributes:
        entries: Entries.
        endpoints: Endpoints of the model.
        services: Endpoints of the plain service.
        layers: Layers of the model.
        step_time: Seconds of an engine's step.
        log_retention: Seconds for which the log keeps a record.
        verbose: Whether the processes' log lines are shown.
        entry_variables: Further settings of the entries.
        agent_variables: Further settings of the agents.
        proxied: Names of processes, or patterns such as `agent-*`, that others reach
            through the fault proxy only. The names are `entry-1`,
            `agent-endpoint-1`, `engine-endpoint-1`, `agent-tally-1`,
            `service-tally`, `service-tally-2`, `log-service`, `instance-list`,
            `weight-store`.
        spares: Endpoints that hold nothing at the start.
        engine_arguments: Further arguments of engines by endpoint, `*` for all.
    """

    entries: int = 1
    endpoints: int = 4
    services: int = 1
    layers: int = 24
    step_time: float = 0.004
    log_retention: float = 86400.0
    verbose: bool = False
    entry_variables: dict[str, str] = attrs.field(factory=dict)
    agent_variables: dict[str, str] = attrs.field(factory=dict)
    proxied: frozenset[str] = frozenset()
    spares: int = 0
    engine_arguments: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def is_proxied(self, name: str) -> bool:
        """Tell whether a process stands behind the fault proxy."""
        return any(fnmatch.fnmatchcase(name, pattern) for pattern in self.proxied)


def port_of(url: str) -> str:
    """Return the port of a URL of the loopback address."""
    return url.rpartition(":")[2]


@attrs.define
class EndpointProcesses:
    """An endpoint and its agent."""

    plan: EndpointPlan
    engine: Process
    agent: Process


class Deployment:
    """Starts, describes and stops a local deployment.

    Attributes:
        options: What it consists of.
        shared_secret: Secret of its processes.
        admin_token: Token of the first administrator.
        keys: Key of each organisation.
        platform: Stand-ins of the platform by name.
        endpoints: Endpoints of the model.
        services: Endpoints of the plain service.
        entries: The entries.
        fault_proxy: The fault proxy, or None if nothing is proxied.
    """

    def __init__(self, options: DeploymentOptions) -> None:
        self.options = options
        self.shared_secret = secrets.token_hex(16)
        self.admin_token = secrets.token_hex(16)
        self.keys = {name: f"key-{secrets.token_hex(12)}" for name in ORGANISATIONS}
        self.platform: dict[str, Process] = {}
        self.endpoints: list[EndpointProcesses] = []
        self.services: list[EndpointProcesses] = []
        self.entries: list[Process] = []
        self.fault_proxy: Process | None = None
        self.log_directory = Path(tempfile.mkdtemp(prefix="lacewingcourse-"))

    @property
    def service(self) -> EndpointProcesses:
        """The first endpoint of the plain service."""
        return self.services[0]

    def processes(self) -> list[Process]:
        """Return all processes, callers' side first."""
        found = list(self.entries)
        pairs = [*self.endpoints, *self.services]
        for pair in pairs:
            found.append(pair.agent)
        for pair in pairs:
            found.append(pair.engine)
        found += self.platform.values()
        return [*found, self.fault_proxy] if self.fault_proxy else found

    def up(self) -> None:
        """Start everything and wait until it is ready.

        Raises:
            StartError: A process ended or was not ready in time.
        """
        try:
            if self.options.proxied:
                self._start_proxy()
            self._start_platform()
            self._start_endpoints()
            self._start_entries()
            self._list_instances()
            self._publish()
            self._wait_until(self.ready, "the deployment is not ready")
        except WaitTimeout as error:
            raise StartError(f"{error}; logs are in {self.log_directory}") from error

    def down(self, keep_logs: bool = False) -> None:
        """Stop everything and remove the log files unless they are wanted."""
        stop_all(self.processes())
        if not keep_logs:
            shutil.rmtree(self.log_directory, ignore_errors=True)

    def _wait_until(self, condition, what: str) -> None:
        """Wait until a condition holds while all processes run."""

        def holds() -> bool:
            for process in self.processes():
                if not process.alive():
                    raise StartError(
                        f"{process.name} ended: {process.last_line()}; "
                        f"logs are in {self.log_directory}"
                    )
            return condition()

        wait_until(holds, START_TIMEOUT, what)

    def proxy(self, name: str) -> ProxyLink:
        """Return the link of the fault proxy before a process."""
        return ProxyLink(f"{self.fault_proxy.url}/links/{name}")

    def restart(self, process: Process) -> None:
        """Start a process again under its address and wait until it is ready."""
        process.kill()
        process.start()
        path = "/readyz" if process in self._daemons() else "/healthz"
        wait_until(
            lambda: process.ready(path), START_TIMEOUT, f"{process.name} is not ready"
        )

    def _daemons(self) -> list[Process]:
        pairs = [*self.endpoints, *self.services]
        return [*self.entries, *(pair.agent for pair in pairs)]

    def _start_proxy(self) -> None:
        self.fault_proxy = self._standin("fault-proxy", "proxy")
        self._wait_until(
            lambda: self.fault_proxy.ready("/healthz"), "the fault proxy is not ready"
        )

    def _urls(self, name: str) -> tuple[str, str]:
        """Return the URL a process is reached under and the one it serves."""
        (port,) = free_ports(1)
        listen_url = f"http://127.0.0.1:{port}"
        if not self.options.is_proxied(name):
            return listen_url, listen_url
        (proxy_port,) = free_ports(1)
        control = f"{self.fault_proxy.url}/links/{name}"
        put_json(control, NewLink(proxy_port, listen_url))
        return f"http://127.0.0.1:{proxy_port}", listen_url

    def _process(self, name: str, urls, arguments, variables) -> Process:
        log_path = None if self.options.verbose else self.log_directory / f"{name}.log"
        process = Process(name, *urls, arguments, variables, log_path)
        process.start()
        return process

    def _standin(self, name: str, kind: str, *arguments: str) -> Process:
        urls = self._urls(name)
        command = python_command(
            "lacewingcourse.testing", kind, f"--port={port_of(urls[1])}", *arguments
        )
        return self._process(name, urls, command, {})

    def _start_platform(self) -> None:
        self.platform = {
            "log_service": self._standin(
                "log-service", "log", f"--retention={self.options.log_retention}"
            ),
            "instance_list": self._standin("instance-list", "instances"),
            "weight_store": self._standin("weight-store", "weights"),
        }
        self._wait_until(
            lambda: all(each.ready("/healthz") for each in self.platform.values()),
            "the platform is not ready",
        )

    def _daemon(self, kind: str, name: str, zone: str, variables) -> Process:
        process_name = name if kind == "entry" else f"{kind}-{name}"
        urls = self._urls(process_name)
        shared = {
            "LACEWINGCOURSE_INSTANCE_ID": name,
            "LACEWINGCOURSE_AVAILABILITY_ZONE": zone,
            "LACEWINGCOURSE_ADVERTISED_URL": urls[0],
            "LACEWINGCOURSE_LISTEN_PORT": port_of(urls[1]),
            "LACEWINGCOURSE_SHARED_SECRET": self.shared_secret,
            "LACEWINGCOURSE_LOG_URL": self.platform["log_service"].url,
            "LACEWINGCOURSE_INSTANCE_LIST_URL": self.platform["instance_list"].url,
        }
        command = python_command("lacewingcourse.cli", kind)
        return self._process(process_name, urls, command, {**shared, **variables})

    def _start_endpoints(self) -> None:
        options = self.options
        plans = plan_endpoints(options.endpoints, options.layers)
        plans += plan_spares(options.endpoints, options.spares)
        for plan in plans:
            engine = self._engine(plan)
            agent = self._agent(plan, engine, {})
            self.endpoints.append(EndpointProcesses(plan, engine, agent))
        for number in range(1, options.services + 1):
            self.services.append(self._start_service(number))

    def _start_service(self, number: int) -> EndpointProcesses:
        suffix = "" if number == 1 else f"-{number}"
        zone = ZONES[(number - 1) % len(ZONES)]
        plan = EndpointPlan(f"{SERVICE}-{number}", zone, None)
        service = self._standin(
            f"service-{SERVICE}{suffix}",
            "tally",
            f"--tallies={self.log_directory / f'tallies{suffix}.jsonl'}",
        )
        agent = self._agent(plan, service, {"LACEWINGCOURSE_SERVICE": SERVICE})
        return EndpointProcesses(plan, service, agent)

    def _engine(self, plan: EndpointPlan) -> Process:
        held = []
        if plan.layers is not None:
            first, end = plan.layers.first, plan.layers.end
            held = [f"--model={MODEL}", f"--first={first}", f"--end={end}"]
        further = self.options.engine_arguments
        return self._standin(
            f"engine-{plan.id}",
            "engine",
            f"--step-time={self.options.step_time}",
            f"--weight-store={self.platform['weight_store'].url}",
            *held,
            *further.get("*", ()),
            *further.get(plan.id, ()),
        )

    def _agent(self, plan: EndpointPlan, engine: Process, variables) -> Process:
        return self._daemon(
            "agent",
            plan.id,
            plan.availability_zone,
            {
                "LACEWINGCOURSE_ENDPOINT_URL": engine.url,
                "LACEWINGCOURSE_HANDOVER_TIMEOUT": HANDOVER_TIMEOUT,
                **self.options.agent_variables,
                **variables,
            },
        )

    def _start_entries(self) -> None:
        for index in range(self.options.entries):
            variables = {
                "LACEWINGCOURSE_ADMIN_TOKEN": self.admin_token,
                **self.options.entry_variables,
            }
            zone = ZONES[index % len(ZONES)]
            entry = self._daemon("entry", f"entry-{index + 1}", zone, variables)
            self.entries.append(entry)

    def _list_instances(self) -> None:
        for pair in [*self.endpoints, *self.services]:
            self.list_instance(pair, InstanceState.LIVE)
        for index, entry in enumerate(self.entries):
            zone = ZONES[index % len(ZONES)]
            name = f"entry-{index + 1}"
            instance = Instance(name, InstanceRole.ENTRY, zone, entry.url)
            self._put_instance(instance)

    def list_instance(self, pair: EndpointProcesses, state: InstanceState) -> None:
        """Give the instance list an endpoint's state."""
        plan = pair.plan
        self._put_instance(
            Instance(
                plan.id,
                InstanceRole.ENDPOINT,
                plan.availability_zone,
                pair.agent.url,
                state,
            )
        )

    def _put_instance(self, instance: Instance) -> None:
        url = self.platform["instance_list"].url
        put_json(f"{url}/instances/{instance.id}", instance)

    def _publish(self) -> None:
        """Publish the organisations, the model and the service."""
        changes = [
            Change("organisations", name, organisation=Organisation(name, (digest,)))
            for name, digest in (
                (name, hashlib.sha256(key.encode()).hexdigest())
                for name, key in self.keys.items()
            )
        ]
        model = Model(MODEL, self.options.layers)
        service = Service(SERVICE, once=("POST /tallies",))
        changes.append(Change("models", MODEL, model=model))
        changes.append(Change("services", SERVICE, service=service))
        document = {"base_version": 0, "changes": changes}
        self._wait_until(self.entries[0].ready, "the first entry is not ready")
        self.admin("POST", "/changes", document)

    def admin(self, method: str, path: str, document: Any = None) -> Any:
        """Send a request to the first entry's admin API and return the answer."""
        url = f"{self.entries[0].listen_url}/admin/v1{path}"
        return put_json(url, document, method, self.admin_token)

    def ready(self) -> bool:
        """Tell whether every process is ready and every entry knows all endpoints."""
        pairs = [*self.endpoints, *self.services]
        if not all(pair.agent.ready() for pair in pairs):
            return False
        return all(entry.ready() and self._knows_all(entry) for entry in self.entries)

    def _knows_all(self, entry: Process) -> bool:
        with urlopen(entry.listen_url + "/state", timeout=5) as response:
            state = json.load(response)
        ready = [each for each in state["endpoints"] if each["ready"]]
        version = state["readiness"]["configuration_version"]
        known = len(ready) == len(self.endpoints) + len(self.services)
        return version > 0 and known and state["homes_complete"]
