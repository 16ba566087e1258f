"""Whether this entry takes new connections, and how it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.relay.beliefs import Beliefs


#: Seconds after the request to end for which all new requests are taken. Until then the
#: balancer still sends connections here; a stream that begins later might not end
#: before this process does.
LAST_REQUESTS = 2.8
#: Seconds of the time for ending that are kept for the end itself.
END_MARGIN = 0.4


@attrs.define
class Readiness:
    """Whether this entry is ready.

    Attributes:
        beliefs: What is believed of the deployment.
        grace: Seconds in which the process must have ended once it is asked to.
        leaving_since: When the request to end came, None before it.
    """

    beliefs: Beliefs
    grace: float
    leaving_since: float | None = None

    def leave(self, now: float) -> None:
        """Note the request to end."""
        if self.leaving_since is None:
            self.leaving_since = now

    @property
    def leaving(self) -> bool:
        """Whether this entry is ending."""
        return self.leaving_since is not None

    @property
    def last(self) -> float:
        """Time at which every answer must have ended, seconds."""
        since = self.leaving_since
        return float("inf") if since is None else since + self.grace - END_MARGIN

    def takes(self, arrived_at: float, until: float) -> bool:
        """Tell whether a request is served.

        While all entries are restarted in turn there are times when every one of them
        is ending; what is over before the end is served then too.

        Args:
            arrived_at: When it arrived, seconds.
            until: Time at which the route's time or the caller's is over.
        """
        since = self.leaving_since
        if since is None or arrived_at - since < LAST_REQUESTS:
            return True
        return until <= self.last

    def is_ready(self) -> bool:
        """Tell whether new connections should come here.

        Without configuration every request would be refused.
        """
        return not self.leaving and self.beliefs.table is not None
