"""Starts the programs of a case as processes on loopback addresses.

The store is the project's stand-in; entries start with the command of the deploy file.
Everything lies in a temporary folder and ends with `Rig.stop`.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.request import Request, urlopen

ROOT = Path(__file__).resolve().parent.parent
TESTS = ROOT / "platform" / "tests"
DEPENDENCIES = ROOT / "target" / "deps"
ZONE = "kgn-hall-a"
HOST = "maps.example"
KEY = "key-of-blue"
#: Bounds of the users' sheets.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetSlack": 202,
    "recoverS": 12,
    "iterationMs": 120,
    "retryAfterS": 0,
    "stall_ms": 2000,
    "fencingEnforced": True,
}
#: Ports that cases take, and those that were taken.
PORT_RANGE = (10_000, 32_000)
given_ports: set[int] = set()
#: Memory of an `edge` machine on the users' sheets, MB.
MEMORY_MB = 300


class CannotRun(Exception):
    """The case could not be set up."""


def free_port() -> int:
    """Return a TCP port that is free now and that this process hasn't been given.

    It lies below the range from which the system takes ports of outgoing connections.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            return port


def call_route(**changes) -> dict:
    """Return a route to a plain service, with the figures of `tile-fetch`."""
    route = {
        "name": "tile-fetch",
        "host": HOST,
        "pathPrefix": "/tiles/",
        "routeKind": "non_idempotent",
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": "agentdesk",
        "maxAttempts": 1,
        "anonymous": False,
    }
    return route | changes


#: A model of 12 layers, and one kind of accelerator that holds them all.
ENGINE = {
    "slots": 96,
    "kvBytes": 12_000,
    "stride": 1,
    "models": [{"name": "rooms", "pace": 1.0, "loadS": 0.1}],
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "read_per_s": 100_000.0,
    "loads_at_once": 5,
    "usual": {"prompt": 100, "answer": 57},
    "layers": 12,
    "layerMb": 100.0,
    "activationBytes": 100,
    "pipeMbps": 18_000.0,
    "kinds": [{"name": "a100", "sizeMb": 72_000.0, "pace": 1.0, "readFactor": 1.0}],
}


def stream_route(**changes) -> dict:
    """Return a route to model servers, with the figures of `room-label`."""
    route = {
        "name": "room-label",
        "host": HOST,
        "pathPrefix": "/rooms/",
        "routeKind": "streaming",
        "timeoutMs": 20_000,
        "targetLatencyMs": 500,
        "targetGapMs": 200,
        "priority": 1,
        "service": "mapchat",
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
    }
    return route | changes


def configuration(version: int, routes: list[dict], **changes) -> dict:
    """Return a configuration with one tenant; `mapchat` is a model in layers."""
    services = sorted({route["service"] for route in routes})
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz"}
            | ({"engine": ENGINE} if name == "mapchat" else {})
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "blue", "apiKeys": [KEY], "priority": 1}],
    }
    return document | changes


class Rig:
    """The processes of one case."""

    def __init__(self, folder: Path) -> None:
        """Make a rig whose record is written into the folder of the case."""
        if not DEPENDENCIES.is_dir():
            raise CannotRun("target/deps is missing: build as the deploy file says")
        # A case that is asked to end still ends the processes that it started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = folder / "record.txt"
        self.record_path.write_text("")
        self.started = time.monotonic()
        self.processes: dict[str, subprocess.Popen] = {}
        self.store = f"127.0.0.1:{free_port()}"
        self.fronts: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.servers: dict[str, str] = {}

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        with self.record_path.open("a") as record:
            record.write(line + "\n")

    def spawn(self, name: str, arguments: list[str], **variables: str) -> None:
        """Start a process of this Python with its output in a file."""
        path = os.pathsep.join([str(TESTS), str(DEPENDENCIES)])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment
                | {"PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
                | variables,
            )

    def start_store(self) -> None:
        """Start the stand-in of the platform's store."""
        port = self.store.rpartition(":")[2]
        self.spawn("store", ["-m", "adapter.standin.store", "--ports", port])
        self.wait(lambda: self.post("/standin/faults", b"{}") is not None, "the store")

    def start_entry(self, name: str) -> None:
        """Start an entry with settings like those of a small deployment."""
        first_start = name not in self.fronts
        if first_start:
            self.fronts[name] = f"127.0.0.1:{free_port()}"
            self.ready[name] = f"127.0.0.1:{free_port()}"
            self.peers[name] = f"127.0.0.1:{free_port()}"
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control_plane"],
            "ip": "127.0.0.1",
            "zone": ZONE,
            "listen": {
                "frontend": self.fronts[name],
                "ready": self.ready[name],
                "controlPlane": self.peers[name],
            },
            "seeds": list(self.peers.values())[:3],
            "bootstrap": first_start,
            "limits": {"memoryMb": MEMORY_MB, "linkMbps": 1000.0, "maxFds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": self.store},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.spawn(name, ["platform/run.py"], LACEWINGCOURSE_CONFIG=str(path))

    def wait_ready(self, name: str) -> None:
        """Wait until an entry says that it is ready."""
        self.wait(lambda: self.is_ready(name), f"{name} to be ready")

    def is_ready(self, name: str, timeout: float = 1.0) -> bool:
        """Return whether an entry answers the platform's question with 200."""
        try:
            url = f"http://{self.ready[name]}/-/readyz"
            with urlopen(url, timeout=timeout) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait(self, condition, what: str, seconds: float = 25.0) -> None:
        """Wait until something is so."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"waited in vain for {what}")

    def post(self, path: str, body: bytes) -> bytes | None:
        """Post to the store; return its answer, None without one."""
        try:
            request = Request(f"http://{self.store}{path}", data=body, method="POST")
            with urlopen(request, timeout=5) as answer:
                return answer.read()
        except OSError:
            return None

    def publish(self, document: dict) -> None:
        """Write a configuration as the operator does."""
        body = json.dumps(document).encode()
        if self.post("/standin/put?topic=keyed.op&key=config", body) is None:
            raise CannotRun("the store did not take the configuration")
        self.note(f"operator: version {document['version']} acknowledged")

    def register(self, identifier: str, entry: dict) -> None:
        """Write the entry of a server as the server does."""
        body = json.dumps(entry).encode()
        self.post(f"/standin/put?topic=keyed.servers&key={identifier}", body)

    def start_server(self, name: str, program: str, service: str, *more: str) -> str:
        """Start a stand-in of a server; return its address."""
        address = f"127.0.0.1:{free_port()}"
        arguments = [f"review/{program}", "--id", name, "--address", address]
        arguments += ["--service", service, "--store", self.store, "--zone", ZONE]
        self.spawn(name, [*arguments, *more])
        self.servers[name] = address
        return address

    def set_mode(self, name: str, mode: str) -> None:
        """Change how a stand-in of a server answers."""
        url = f"http://{self.servers[name]}/standin/mode"
        urlopen(Request(url, data=mode.encode(), method="POST"), timeout=5).close()

    def resident_mb(self, name: str) -> float:
        """Return the memory of a process that is resident, 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
