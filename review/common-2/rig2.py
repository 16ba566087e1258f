"""What the scripts of the cases 6 to 10 share: a small deployment and a record.

The deployment is the project's own from `platform/tests/adapter/deployment.py`; its
entries start with the command of the deploy file.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import attrs
from adapter.deployment import MODEL_SERVICE, Deployment, Process

from lacewingcourse.testing.processes import free_ports

ROOT = Path(__file__).resolve().parents[2]
#: Exit statuses of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Seconds for which an entry runs undisturbed before it is judged: more than the
#: `stableWindowMs` of 3,000 after which a machine is in touch.
STABLE_WINDOW = 4.0
#: Limits of a machine, as the example of DEPLOY.md gives them.
LIMITS = {
    "cpuShare": 0.817,
    "cores": 1,
    "memoryMb": 300,
    "maxFds": 4100,
    "linkMbps": 1000.0,
    "diskMb": 0,
}


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


@attrs.define
class SmallDeployment(Deployment):
    """A deployment whose processes find their libraries where the build put them."""

    def spawn(self, name: str, arguments: list[str], **environment: str) -> None:
        """Start a process with this one's search path."""
        paths = {"PYTHONPATH": os.environ.get("PYTHONPATH", "")}
        super().spawn(name, arguments, **{**paths, **environment})

    def start_script(self, name: str, arguments: list[str]) -> None:
        """Start a stand-in of a case, with its output in a file."""
        output = self.folder / f"{name}.log"
        with output.open("ab") as stream:
            popen = subprocess.Popen(
                [sys.executable, *arguments], cwd=ROOT, stdout=stream, stderr=stream
            )
        self.processes[name] = Process(popen, output)

    def start_model_servers(self) -> list[str]:
        """Start six model servers, which make three copies; return their names."""
        names = [f"model-{index}" for index in range(6)]
        for name in names:
            self.start_server(name, MODEL_SERVICE, "small")
        for name in names:
            self.wait_server(name)
        return names

    def start_limited_entry(self, index: int) -> None:
        """Start an entry whose settings name the limits of its machine."""
        settings = self.settings(index, f"entry-{index}")
        self.start_entry(index, {**settings, "limits": LIMITS})


@attrs.define
class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    path: Path
    lines: list[str] = attrs.field(factory=list)
    began: float = attrs.field(factory=time.monotonic)

    def note(self, text: str) -> None:
        """Add a line with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def run_case(folder: Path, check) -> int:
    """Run the check of a case in a temporary folder; return the exit status.

    Args:
        folder: Folder of the case.
        check: Called with the deployment and the record; returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    record = Record(folder / "record.txt")
    record.note(f"disruption: {'yes' if trouble() else 'no'}")
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        deployment = SmallDeployment(Path(temporary), 1, free_ports(2))
        try:
            status = HELD if check(deployment, record) else BROKEN
        except Exception as error:  # The case could not run, whatever the reason.
            record.note(f"could not run: {type(error).__name__}: {error}")
        finally:
            deployment.stop()
            names = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
            record.note(f"result: {names[status]}")
            record.write()
    return status
