"""Whether this entry takes new connections, and how it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.relay.beliefs import Beliefs


#: Seconds after the request to end for which new requests are taken. Until then the
#: balancer still sends connections here; a stream that begins later might not end
#: before this process does.
LAST_REQUESTS = 2.8


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

    def takes_requests(self, now: float) -> bool:
        """Tell whether a request that arrives now is served."""
        return self.leaving_since is None or now - self.leaving_since < LAST_REQUESTS

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.leaving and self.beliefs.table is not None
