"""The file that describes a running deployment to people and programs."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lacewingcourse.testing.deployment import MODEL, SERVICE

if TYPE_CHECKING:
    from lacewingcourse.testing.deployment import Deployment, EndpointProcesses

#: What the command line of a launcher's process contains.
LAUNCHER_NAMES = ("lacewingcourse-local", "lacewingcourse.testing")


def describe(deployment: Deployment) -> dict[str, Any]:
    """Return a deployment as its state file shows it."""
    return {
        "pid": os.getpid(),
        "log_directory": str(deployment.log_directory),
        "entries": [{"url": each.url, "pid": each.pid} for each in deployment.entries],
        "endpoints": [describe_endpoint(pair) for pair in deployment.endpoints],
        "services": [
            {
                "name": SERVICE,
                "url": pair.engine.url,
                "pid": pair.engine.pid,
                "agent_url": pair.agent.url,
                "agent_pid": pair.agent.pid,
            }
            for pair in deployment.services
        ],
        "models": [MODEL],
        "platform": {name: each.url for name, each in deployment.platform.items()},
        "organisations": [
            {"name": name, "key": key} for name, key in deployment.keys.items()
        ],
        "admin_token": deployment.admin_token,
    }


def describe_endpoint(pair: EndpointProcesses) -> dict[str, Any]:
    """Return an endpoint of the model as the state file shows it."""
    layers = pair.plan.layers
    return {
        "id": pair.plan.id,
        "availability_zone": pair.plan.availability_zone,
        "model": MODEL,
        "layers": [layers.first, layers.end] if layers else None,
        "url": pair.engine.url,
        "pid": pair.engine.pid,
        "agent_url": pair.agent.url,
        "agent_pid": pair.agent.pid,
    }


def write_state(path: Path, deployment: Deployment) -> None:
    """Write the state file in one step."""
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(path.suffix + ".new")
    draft.write_text(json.dumps(describe(deployment), indent=2) + "\n")
    draft.replace(path)


def launcher_of(path: Path) -> int | None:
    """Return the process id of the launcher that wrote a state file and still runs.

    Another program may have got the id of a launcher that was killed, so the command
    line is looked at as well.
    """
    try:
        pid = json.loads(path.read_text())["pid"]
        command = Path(f"/proc/{pid}/cmdline").read_bytes().decode(errors="replace")
    except (OSError, ValueError, KeyError, TypeError):
        return None
    return pid if any(name in command for name in LAUNCHER_NAMES) else None
