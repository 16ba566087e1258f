"""Paths of the messages between the processes of lacewingcourse."""

from __future__ import annotations

OPEN_STAGE = "/wire/open"
START_STAGE = "/wire/start"
HOPS = "/wire/hops"
REVOKE = "/wire/revoke"
CREDIT = "/wire/credit"
REPORT = "/wire/report"
STATUS = "/wire/status"
CALL = "/wire/call"
TOKENS = "/wire/tokens"
TROUBLES = "/wire/troubles"
POISON = "/wire/poison"
BURN = "/wire/burn"
CLAIM = "/wire/claim"
SETTLE = "/wire/settle"
REVOKE_CALL = "/wire/revoke-call"
