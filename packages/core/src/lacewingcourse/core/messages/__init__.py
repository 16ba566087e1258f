"""Every message between the processes of lacewingcourse.

Each request carries what identifies its receiver (an incarnation) and, where work
is concerned, the stream and the attempt, so that a late or repeated copy is told
from a current one.
"""

from __future__ import annotations

from lacewingcourse.core.messages.attempts import (
    AliveRequest,
    AttemptName,
    Revoke,
    RevokeReply,
    check_attempt,
)
from lacewingcourse.core.messages.calls import Call, CallReply, Header, RevokeCall
from lacewingcourse.core.messages.claims import Claim, ClaimReply, Settle, SettleReply
from lacewingcourse.core.messages.configuration import ConfigurationExchange
from lacewingcourse.core.messages.hops import Hop, HopBatch, HopBatchReply, HopVerdict
from lacewingcourse.core.messages.orders import Order, OrderAction, OrderReply
from lacewingcourse.core.messages.reports import ReportRequest, StageReport
from lacewingcourse.core.messages.stages import (
    KeptState,
    OpenReply,
    OpenStage,
    Prompt,
    Sampling,
    StageAddress,
    StartStage,
)
from lacewingcourse.core.messages.statuses import Status, StatusRequest
from lacewingcourse.core.messages.tokens import (
    Credit,
    Token,
    TokenBatch,
    TokenBatchReply,
)
from lacewingcourse.core.messages.troubles import Trouble, TroubleBatch

#: Every message and what goes with it, by subject.
__all__ = [
    # The name of an attempt, whether it is alive, and its revocation
    "check_attempt",
    "AttemptName",
    "AliveRequest",
    "Revoke",
    "RevokeReply",
    # Opening and starting the stages of an attempt
    "Sampling",
    "StageAddress",
    "Prompt",
    "OpenStage",
    "KeptState",
    "StartStage",
    "OpenReply",
    # How far a stage of an attempt has come
    "ReportRequest",
    "StageReport",
    # Inputs that pass from stage to stage
    "Hop",
    "HopBatch",
    "HopVerdict",
    "HopBatchReply",
    # Generated tokens and the credit to generate more
    "Token",
    "TokenBatch",
    "Credit",
    "TokenBatchReply",
    # Stages that cannot go on
    "Trouble",
    "TroubleBatch",
    # State of an agent and its endpoint
    "StatusRequest",
    "Status",
    # Claims of idempotency keys at their home, and how they end
    "Claim",
    "ClaimReply",
    "Settle",
    "SettleReply",
    # Calls of plain services
    "Header",
    "RevokeCall",
    "Call",
    "CallReply",
    # Orders for an endpoint, given under a lease
    "OrderAction",
    "Order",
    "OrderReply",
    # What processes tell each other of the configuration
    "ConfigurationExchange",
]
