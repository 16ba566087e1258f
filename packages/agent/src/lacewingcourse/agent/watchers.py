"""Entries that watch the agent: what they were told, and when."""

from __future__ import annotations

from typing import Protocol

from lacewingcourse.agent.host import Host
from lacewingcourse.core.messages import Status, TokenBatchReply
from lacewingcourse.wire import paths

#: Seconds for which an entry that asks no more is told changes.
WATCHER_KEPT = 300.0
#: Seconds after which a status rides on an answer again.
RIDE_INTERVAL = 1.0
#: Seconds that an entry may take to hear of a change.
PUSH_TIMEOUT = 2.0


class WatchedAgent(Host, Protocol):
    """What telling entries the state needs of the agent."""

    def status(self) -> Status:
        """Return the state of the agent and its endpoint."""


class Watchers:
    """Tells entries the agent's state along with answers, and changes at once.

    Attributes:
        agent: The agent's daemon.
        told_at: When each entry was last told the state, by its URL, seconds.
        pushed: The status that all watchers were last told of.
    """

    def __init__(self, agent: WatchedAgent) -> None:
        self.agent = agent
        self.told_at: dict[str, float] = {}
        self.pushed: Status | None = None

    def note(self, entry_url: str, now: float) -> None:
        """Note that an entry was told the state."""
        if entry_url:
            self.told_at[entry_url] = now

    def status_due(self, entry_url: str) -> Status | None:
        """Return the state if it should ride on an answer to an entry, else None."""
        now = self.agent.now()
        told_at = self.told_at.get(entry_url)
        if told_at is not None and now < told_at + RIDE_INTERVAL:
            return None
        self.note(entry_url, now)
        return self.agent.status()

    def push_change(self) -> None:
        """Tell all watchers if the state has changed in more than its load."""
        status = self.agent.status()
        if self.pushed is not None and shape(self.pushed) == shape(status):
            return
        self.pushed = status
        now = self.agent.now()
        self.told_at = {
            url: at for url, at in self.told_at.items() if now < at + WATCHER_KEPT
        }
        for url in self.told_at:
            self.agent.spawn(self._push(url, status))

    async def _push(self, url: str, status: Status) -> None:
        """Tell one entry; if that fails, its next question finds out."""
        await self.agent.peers.send(
            url, paths.STATUS, status, TokenBatchReply, PUSH_TIMEOUT
        )


def shape(status: Status) -> tuple:
    """Return what entries must hear of at once."""
    return (
        status.leaving,
        status.ready,
        status.model,
        status.layers,
        status.version,
    )
