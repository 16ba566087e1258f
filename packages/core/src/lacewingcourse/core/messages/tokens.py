"""Generated tokens and the credit to generate more."""

from __future__ import annotations

import attrs

from lacewingcourse.core.messages.attempts import check_attempt
from lacewingcourse.core.messages.statuses import Status


@attrs.frozen
class Token:
    """Agent to entry: one generated token.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt.
        index: Which generated token of the answer it is, from 0.
        token: Token number.
        text: Text of the token.
        prompt_length: Tokens of the caller's prompt.
    """

    stream: str
    attempt: int
    index: int
    token: int
    text: str
    prompt_length: int

    def __attrs_post_init__(self) -> None:
        check_attempt(self.attempt)
        if self.index < 0:
            raise ValueError(f"index {self.index} is negative")


@attrs.frozen
class TokenBatch:
    """Agent to entry: the tokens that one engine step made.

    Attributes:
        sender: Name of the sending endpoint instance.
        incarnation: Incarnation of the sending agent.
        tokens: The tokens.
        status: State of the sender, if it was not sent lately.
    """

    sender: str
    incarnation: str
    tokens: tuple[Token, ...]
    status: Status | None = None


@attrs.frozen
class Credit:
    """Entry to agent: how far a stream may go.

    Attributes:
        stream: Name of the stream.
        attempt: Number of the attempt the credit is for.
        token_limit: Tokens that may be generated; 0 ends the attempt.
    """

    stream: str
    attempt: int
    token_limit: int


@attrs.frozen
class TokenBatchReply:
    """Entry to agent: fresh credits for streams of the batch."""

    credits: tuple[Credit, ...] = ()
