"""Endpoints that write bytes which are no answer."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Container

#: Malformed answers in succession after which an endpoint is left out. A single one may
#: be spoiled on an endpoint that serves well otherwise.
MAX_MALFORMED = 3


class AnswerFault(Enum):
    """What is wrong with bytes that are no answer.

    Attributes:
        MALFORMED: They break the protocol.
        OVERSIZED: They are more than any answer has, and may have no end.
    """

    MALFORMED = "malformed"
    OVERSIZED = "oversized"


@attrs.define
class AnswerFaults:
    """Faults of endpoints' answers since the last sound one.

    Attributes:
        malformed: Malformed answers in succession, by id of the endpoint.
    """

    malformed: dict[str, int] = attrs.field(factory=dict)

    def record(self, endpoint: str, fault: AnswerFault) -> bool:
        """Record a fault; return whether the endpoint has to be left out for a while.

        Args:
            endpoint: Id of the endpoint.
            fault: The fault.
        """
        count = self.malformed.get(endpoint, 0) + 1
        if fault is AnswerFault.OVERSIZED or count >= MAX_MALFORMED:
            self.record_sound(endpoint)
            return True
        self.malformed[endpoint] = count
        return False

    def record_sound(self, endpoint: str) -> None:
        """Record a sound answer of an endpoint."""
        self.malformed.pop(endpoint, None)

    def keep_only(self, endpoints: Container[str]) -> None:
        """Forget the endpoints that are not among some."""
        for endpoint in [each for each in self.malformed if each not in endpoints]:
            del self.malformed[endpoint]
