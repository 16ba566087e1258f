"""What a caller of a test got."""

from __future__ import annotations

import attrs


@attrs.frozen
class Reply:
    """An answer with a JSON object as its body.

    Attributes:
        status: HTTP status.
        headers: Its headers.
        body: Its body.
    """

    status: int
    headers: dict
    body: dict

    @property
    def kind(self) -> str:
        """Kind of a refusal, empty for none."""
        return self.body.get("kind", "")

    @property
    def outcome(self) -> str:
        """What is said of the request's run, empty for nothing."""
        return self.body.get("outcome", "")
