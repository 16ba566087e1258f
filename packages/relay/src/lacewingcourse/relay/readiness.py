"""Whether this entry takes new connections, and how it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.relay.beliefs import Beliefs


@attrs.define
class Readiness:
    """Whether this entry is ready.

    Attributes:
        beliefs: What is believed of the deployment.
        leaving_since: When the request to end came, None before it.
    """

    beliefs: Beliefs
    leaving_since: float | None = None

    def leave(self, now: float) -> None:
        """Note the request to end."""
        if self.leaving_since is None:
            self.leaving_since = now

    @property
    def leaving(self) -> bool:
        """Whether this entry is ending."""
        return self.leaving_since is not None

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.leaving and self.beliefs.table is not None
