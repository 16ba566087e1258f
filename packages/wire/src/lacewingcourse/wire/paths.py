"""Paths of the messages between the processes of lacewingcourse."""

from __future__ import annotations

OPEN_STAGE = "/wire/open"
HOPS = "/wire/hops"
REVOKE = "/wire/revoke"
CREDIT = "/wire/credit"
STATUS = "/wire/status"
ORDER = "/wire/order"
CALL = "/wire/call"
TOKENS = "/wire/tokens"
TROUBLES = "/wire/troubles"
POISON = "/wire/poison"
BURN = "/wire/burn"
CLAIM = "/wire/claim"
SETTLE = "/wire/settle"
REVOKE_CALL = "/wire/revoke-call"
