"""The commands of the daemons as operators start them."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import attrs
import pytest

from lacewingcourse.daemon.settings import default_of
from lacewingcourse.entry.settings import EntrySettings

GOOD = {
    "LACEWINGCOURSE_INSTANCE_ID": "entry-1",
    "LACEWINGCOURSE_AVAILABILITY_ZONE": "kgn-hall-a",
    "LACEWINGCOURSE_ADVERTISED_URL": "http://127.0.0.1:8000",
    "LACEWINGCOURSE_SHARED_SECRET": "hidden-secret-hidden",
    "LACEWINGCOURSE_ADMIN_TOKEN": "hidden-token-hidden",
    "LACEWINGCOURSE_LOG_URL": "http://127.0.0.1:8001",
    "LACEWINGCOURSE_INSTANCE_LIST_URL": "http://127.0.0.1:8002",
    "LACEWINGCOURSE_ENDPOINT_URL": "http://127.0.0.1:8003",
}


def has_default(attribute: attrs.Attribute) -> bool:
    """Tell whether a setting may be left out."""
    return default_of(attribute) is not None


def run_command(*arguments: str, **variables: str) -> subprocess.CompletedProcess:
    """Run the lacewingcourse command to its end."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("LACEWINGCOURSE")}
    return subprocess.run(
        [sys.executable, "-m", "lacewingcourse.cli", *arguments],
        env={**kept, **variables},
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("program", ["entry", "agent"])
def test_port_in_use_is_one_line(program):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        ended = run_command(program, f"--listen-port={port}", **GOOD)
    assert ended.returncode == 3
    last = ended.stderr.splitlines()[-1]
    assert last == (f"cannot listen on 127.0.0.1 port {port}: Address already in use")
    assert "Traceback" not in ended.stderr


def test_each_missing_setting_is_one_line():
    ended = run_command("entry")
    assert ended.returncode == 2
    lines = ended.stderr.splitlines()
    required = [each for each in attrs.fields(EntrySettings) if not has_default(each)]
    assert len(lines) == len(required) >= 7
    assert all(line.endswith("is not set") for line in lines)


def test_print_settings_hides_secrets_and_starts_nothing():
    ended = run_command("entry", "--print-settings", **GOOD)
    assert ended.returncode == 0
    assert "LACEWINGCOURSE_INSTANCE_ID=entry-1" in ended.stdout
    assert "LACEWINGCOURSE_SHARED_SECRET=(hidden)" in ended.stdout
    assert "hidden-" not in ended.stdout


def test_settings_lists_flag_variable_and_default():
    ended = run_command("settings", "agent")
    assert ended.returncode == 0
    assert "| `--batch-items` | `LACEWINGCOURSE_BATCH_ITEMS` | `32` |" in ended.stdout
    assert run_command("settings", "other").returncode == 2
