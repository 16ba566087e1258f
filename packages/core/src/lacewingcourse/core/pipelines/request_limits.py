"""Limits that endpoints name: requests a second from all entries together."""

from __future__ import annotations

from math import inf

import attrs

#: Limit of an endpoint that names none.
NO_LIMIT = inf


@attrs.define
class RequestLimit:
    """What an endpoint named last.

    Attributes:
        named: Requests a second that it takes, `NO_LIMIT` once it named none again.
        heard_at: When it last said so, seconds.
    """

    named: float
    heard_at: float


@attrs.define
class LimitTable:
    """The limits that endpoints have named.

    Attributes:
        members: Limits by id of the endpoint; no endpoint that never named one.
    """

    members: dict[str, RequestLimit] = attrs.field(factory=dict)

    def hear(self, endpoint: str, named: float, sent_at: float, now: float) -> bool:
        """Take what an endpoint names in an answer; tell whether that is new.

        Answers overtake one another, so only one to a request that was sent after the
        limit was last named ends it.

        Args:
            endpoint: The endpoint.
            named: Requests a second that it names, `NO_LIMIT` if it names none.
            sent_at: When the request was sent that it answers, seconds.
            now: Present time in seconds.
        """
        known = self.members.get(endpoint)
        if named == NO_LIMIT and (known is None or sent_at <= known.heard_at):
            return False
        if known is None:
            self.members[endpoint] = RequestLimit(named, now)
            return True
        changed = known.named != named
        known.named, known.heard_at = named, now
        return changed

    def named(self, endpoint: str) -> float:
        """Return the requests a second that an endpoint named last."""
        known = self.members.get(endpoint)
        return known.named if known is not None else NO_LIMIT

    def limited(self) -> list[str]:
        """Return the endpoints that name a limit."""
        return [e for e, limit in self.members.items() if limit.named != NO_LIMIT]
