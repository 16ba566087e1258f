"""Client of the fault proxy for tests."""

from __future__ import annotations

import json
from typing import Any

import attrs

from lacewingcourse.testing.processes import wait_until
from lacewingcourse.testing.requests import put_json

#: Seconds that a test waits for a message to be held.
HELD_TIMEOUT = 30.0


@attrs.frozen
class ProxyLink:
    """One link of the fault proxy.

    Attributes:
        url: URL of the link's control.
    """

    url: str

    def set(self, **faults: Any) -> None:
        """Change some faults, named as in `LinkFaults`."""
        put_json(self.url, json.dumps(faults).encode(), "PATCH")

    def clear(self) -> None:
        """Lift all faults; what is held stays held."""
        self.set(
            delay=0.0,
            bandwidth=0.0,
            drop="none",
            cut=False,
            half_open=False,
            match="",
            hold=0,
            copy=0,
            duplicate=0,
            lose_requests=0,
            lose_answers=0,
        )

    def state(self) -> dict[str, Any]:
        """Return what the link does at present."""
        return put_json(self.url, None, "GET")

    def reset(self) -> None:
        """Reset all open connections; new ones are served."""
        put_json(self.url + "/reset", b"", "POST")

    def release(self, newest_first: bool = False) -> int:
        """Deliver all that is held; return how many requests that were."""
        action = "/release-newest-first" if newest_first else "/release"
        return put_json(self.url + action, b"", "POST")["released"]

    def wait_held(self, count: int = 1) -> None:
        """Wait until so many requests are held."""
        wait_until(
            lambda: self.state()["held"] >= count,
            HELD_TIMEOUT,
            f"{count} requests were not held at {self.url}",
        )
