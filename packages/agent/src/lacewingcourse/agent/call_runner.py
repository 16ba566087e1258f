"""Runs calls of the plain service beside the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.agent.service import ServiceClient
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.messages import CallReply

if TYPE_CHECKING:
    from lacewingcourse.agent.application import Agent
    from lacewingcourse.core.messages import Call


class CallRunner:
    """Runs calls of a plain service, or refuses them.

    Attributes:
        agent: The agent's daemon.
        service: Client of the service.
        ready: Whether the service answers.
        running: Calls in flight.
    """

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        settings = agent.settings
        self.service = ServiceClient(settings.endpoint_url, settings.endpoint_timeout)
        self.ready = False
        self.running = 0

    async def probe(self) -> None:
        """Look whether the service answers."""
        self.ready = await self.service.answers()

    async def run(self, call: Call) -> CallReply:
        """Run a call of the plain service, or refuse it."""
        refused = self._refusal_of(call)
        if refused is not None:
            return refused
        self.running += 1
        try:
            return await self.service.run(call, self.agent.incarnation)
        finally:
            self.running -= 1

    def _refusal_of(self, call: Call) -> CallReply | None:
        """Return the reply that refuses a call, or None."""
        if call.incarnation != self.agent.incarnation:
            kind, reason = ErrorKind.STALE_INCARNATION, "meant for another incarnation"
        elif self.agent.leaving:
            kind, reason = ErrorKind.DRAINING, "the endpoint is leaving"
        elif call.service != self.agent.settings.service:
            kind, reason = ErrorKind.UNKNOWN_SERVICE, "the service does not run here"
        else:
            return None
        return CallReply(self.agent.incarnation, kind=kind, reason=reason)
