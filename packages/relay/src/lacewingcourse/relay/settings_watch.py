"""Takes over settings whose file has changed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.settings import RelaySettings

#: Seconds between two looks at the settings file, which changes without a signal too.
PERIOD = 2.0


@attrs.define
class SettingsWatch:
    """Looks at the settings file.

    Attributes:
        changed: Returns the settings if they have changed, or why they cannot be used.
        apply: Puts settings in force.
        log: Log of decisions.
    """

    read_changed: Callable[[], RelaySettings | str | None]
    apply: Callable[[RelaySettings], None]
    log: DecisionLog

    async def run(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(PERIOD)
            self.reload()

    def on_signal(self) -> None:
        """Look at once, as the platform asks."""
        self.log.log_event("reload_asked")
        self.reload()

    def reload(self) -> None:
        """Apply the settings if their file has changed."""
        found = self.read_changed()
        if found is None:
            return
        if isinstance(found, str):
            self.log.log_event("reload_refused", reason=found)
            return
        self.apply(found)
        self.log.log_event("reloaded", seeds=list(found.seeds))
