"""Reloads the settings when their file has changed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.settings import RelaySettings

#: Seconds between two checks of the settings file, which may change without a signal.
PERIOD = 2.0


@attrs.define
class SettingsWatch:
    """Checks the settings file, and applies its changes.

    Attributes:
        read_changed: Returns the settings if they have changed, None if they have not,
            or why they cannot be used.
        apply: Puts settings in force.
        log: Decision log.
    """

    read_changed: Callable[[], RelaySettings | str | None]
    apply: Callable[[RelaySettings], None]
    log: DecisionLog

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            self.reload()

    def on_signal(self) -> None:
        """Check the file at once, on a signal of the platform."""
        self.log.log_event("reload_asked")
        self.reload()

    def reload(self) -> None:
        """Apply the settings if their file has changed and they are valid."""
        found = self.read_changed()
        if found is None:
            return
        if isinstance(found, str):
            self.log.log_event("reload_refused", reason=found)
            return
        self.apply(found)
        self.log.log_event("reloaded", seeds=list(found.seeds))
