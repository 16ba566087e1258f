"""The local launcher as newcomers start it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import pytest

from lacewingcourse.testing.cli import running
from lacewingcourse.testing.processes import answers, wait_until

#: Guard on what a test waits for, in seconds.
TIMEOUT = 60.0
COMMAND = (sys.executable, "-m", "lacewingcourse.testing.launcher")


def launch(*arguments: str, **variables: str) -> subprocess.CompletedProcess:
    """Run the launcher to its end."""
    return subprocess.run(
        [*COMMAND, *arguments],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
    )


@contextmanager
def launcher(path: Path, *arguments: str):
    """Run the launcher until the block ends; yield it and its state."""
    command = [*COMMAND, "up", f"--state={path}", *arguments]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL) as process:
        try:
            wait_until(path.exists, TIMEOUT, "no state file")
            yield process, json.loads(path.read_text())
        finally:
            process.terminate()


def pids_of(state: dict) -> list[int]:
    """Return the process ids of all children that a state file names."""
    pids = [each["pid"] for each in state["entries"]]
    for each in [*state["endpoints"], *state["services"]]:
        pids += [each["pid"], each["agent_pid"]]
    return pids


def test_up_describes_a_deployment_that_is_ready(tmp_path):
    path = tmp_path / "state.json"
    sizes = ("--entries=2", "--endpoints=6", "--layers=9")
    with launcher(path, *sizes) as (process, state):
        assert len(state["entries"]) == 2
        assert all(answers(each["url"] + "/readyz") for each in state["entries"])
        assert len(state["endpoints"]) == 6
        for layer in range(9):
            held = [
                first <= layer < end
                for first, end in (each["layers"] for each in state["endpoints"])
            ]
            assert sum(held) >= 2
        assert set(state["endpoints"][0]) == (
            {"id", "availability_zone", "model", "layers", "url", "pid"}
            | {"agent_url", "agent_pid"}
        )
        (service,) = state["services"]
        assert set(service) == {"name", "url", "pid", "agent_url", "agent_pid"}
        assert service["name"] == "tally"
        assert answers(service["url"] + "/tallies")
        assert state["models"] == [state["endpoints"][0]["model"]]
        platform = {"log_service", "instance_list", "weight_store"}
        assert set(state["platform"]) == platform
        assert {frozenset(each) for each in state["organisations"]} == {
            frozenset({"name", "key"})
        }
        assert state["admin_token"]
        refused = launch("up", f"--state={path}")
        assert refused.returncode == 2
        assert "a deployment that runs" in refused.stderr
        assert launch("down", f"--state={path}").returncode == 0
        assert process.wait(TIMEOUT) == 0
        assert not path.exists()
        assert not Path(state["log_directory"]).exists()
        assert not any(running(pid) for pid in pids_of(state))
    again = launch("down", f"--state={path}")
    assert (again.returncode, again.stderr) == (0, "")


def test_children_end_with_a_killed_launcher(tmp_path):
    path = tmp_path / "state.json"
    with launcher(path, "--endpoints=2") as (process, state):
        process.send_signal(signal.SIGKILL)
        process.wait(TIMEOUT)
        pids = pids_of(state)
        wait_until(
            lambda: not any(running(pid) for pid in pids), TIMEOUT, "children run on"
        )
    assert launch("down", f"--state={path}").returncode == 0
    assert not path.exists()


@pytest.mark.parametrize(
    ("option", "line"),
    [
        ("--endpoints=1", "--endpoints: 1 is not a whole number of at least 2"),
        ("--entries=0", "--entries: 0 is not a whole number of at least 1"),
        ("--layers=many", "--layers: 'many' is not a whole number"),
        ("--step-time=nan", "--step-time: nan is not a number of at least 0.0"),
        ("--state=/proc/none/state", "--state: /proc/none/state: No such file"),
    ],
)
def test_bad_option_is_one_line(tmp_path, option, line):
    ended = launch("up", f"--state={tmp_path / 'state.json'}", option)
    assert ended.returncode == 2
    assert ended.stderr.startswith(line)
    assert ended.stderr.count("\n") == 1


def test_child_that_cannot_start_is_named(tmp_path):
    path = tmp_path / "state.json"
    ended = launch(
        "up",
        f"--state={path}",
        "--endpoints=2",
        LACEWINGCOURSE_LOG_FORMAT="loud",
        TMPDIR=str(tmp_path),
    )
    assert ended.returncode == 1
    assert "bad setting --log-format (LACEWINGCOURSE_LOG_FORMAT)" in ended.stderr
    assert not path.exists()
