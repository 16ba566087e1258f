"""The agent's gate for calls: what has started here and what never may."""

from __future__ import annotations

import attrs

#: Seconds for which a call is remembered after its last message.
CALL_KEPT = 600.0


@attrs.define
class CallGate:
    """Calls of one incarnation of an agent.

    Attributes:
        started: When each call that may have had an effect was started.
        revoked: When each call that must not start was revoked.
    """

    started: dict[str, float] = attrs.field(factory=dict)
    revoked: dict[str, float] = attrs.field(factory=dict)

    def start(self, call: str, now: float) -> bool:
        """Note the start of a call; tell whether it may start."""
        if call in self.revoked:
            return False
        self.started[call] = now
        return True

    def unstart(self, call: str) -> None:
        """Note that the endpoint surely did not get a call."""
        self.started.pop(call, None)

    def revoke(self, call: str, now: float) -> bool:
        """Never let a call start again; tell whether it had started."""
        self.revoked[call] = now
        return call in self.started

    def forget(self, now: float) -> None:
        """Drop calls that are past their time, oldest first."""
        for known in (self.started, self.revoked):
            for call, noted_at in list(known.items()):
                if noted_at > now - CALL_KEPT:
                    break
                del known[call]
