"""How many requests may be sent a second time, over all entries."""

from __future__ import annotations

from collections import deque

import attrs

#: Share of what the deployment allows that is used; entries count their own requests
#: only, and windows of different entries do not end together.
SAFETY_SHARE = 0.7


@attrs.define
class RetryBudget:
    """Sends beyond the first of each request, in a sliding window.

    Attributes:
        ratio: Repeats that are allowed for each request.
        window: Length of the window in seconds.
        slack: Repeats that are allowed besides, over all entries.
        entries: Entries that share the slack.
        requests: Times of the requests in the window, by service.
        retries: Times of the retries in the window, by service.
    """

    ratio: float
    window: float
    slack: float
    entries: int = 1
    requests: dict[str, deque[float]] = attrs.field(factory=dict)
    retries: dict[str, deque[float]] = attrs.field(factory=dict)

    def on_request(self, service: str, now: float) -> None:
        """Note a request."""
        self._add(self.requests, service, now)

    def allows(self, service: str, now: float) -> bool:
        """Tell whether a retry is left for a service."""
        sent = self._recent(self.retries, service, now)
        requests = self._recent(self.requests, service, now)
        share = self.slack / max(1, self.entries)
        return sent + 1 <= SAFETY_SHARE * (self.ratio * requests + share)

    def take(self, service: str, now: float) -> bool:
        """Take one retry for a service; tell whether it was allowed."""
        if not self.allows(service, now):
            return False
        self._add(self.retries, service, now)
        return True

    def _recent(self, times: dict[str, deque[float]], service: str, now: float) -> int:
        found = times.get(service)
        if found is None:
            return 0
        while found and found[0] <= now - self.window:
            found.popleft()
        return len(found)

    def _add(self, times: dict[str, deque[float]], service: str, now: float) -> None:
        self._recent(times, service, now)
        times.setdefault(service, deque()).append(now)
