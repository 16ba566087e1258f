"""What a home's book of keys is made of: entries, journal lines and verdicts."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal


@attrs.frozen
class ClaimSettings:
    """Limits of a home.

    Attributes:
        prompt_window: Seconds after its making in which a time-ordered key is
            claimed without the log.
        accept_window: Seconds after its making in which a time-ordered key may be
            used for the first time.
        max_entries: Keys that are remembered at the most.
        max_backlog: Journal entries that may wait for the log.
        answer_bytes: Bytes of the stored answers at the most.
        answer_time: Seconds for which an answer is stored.
        grant_time: Seconds after which a claim that nobody renews counts as lost.
    """

    prompt_window: float = 30.0
    accept_window: float = 79200.0
    max_entries: int = 100_000
    max_backlog: int = 50_000
    answer_bytes: int = 16 * 1024 * 1024
    answer_time: float = 3600.0
    grant_time: float = 15.0


class EntryState(Enum):
    """Where the request of a key stands."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class KeyEntry:
    """What is known of one key.

    Attributes:
        scope: The key's name, with its organisation and target.
        fingerprint: Tells its request from others.
        claimant: The call or stream that claimed it.
        minted_at: Time of the key, or None.
        claimed_at: When it was claimed.
        state: Where its request stands.
        outcome: How the request ended.
        answer: The stored answer, or None.
        renewed_at: When its claimant last showed that it is alive.
        leased: Whether the claimant has to renew the claim.
    """

    scope: str
    fingerprint: str
    claimant: str
    minted_at: float | None
    claimed_at: float
    state: EntryState
    outcome: Outcome = Outcome.UNKNOWN
    answer: str | None = None
    renewed_at: float = 0.0
    leased: bool = False


class JournalKind(Enum):
    """What a line of the journal says."""

    CLAIMED = "claimed"
    SETTLED = "settled"
    RELEASED = "released"


@attrs.frozen
class JournalLine:
    """One line of the journal.

    Attributes:
        kind: What it says.
        scope: The key's name, with its organisation and target.
        claimant: The call or stream that claimed it.
        fingerprint: Tells the request from others.
        minted_at: Time of the key, or None.
        at: When it happened at the home.
        outcome: How the request ended.
    """

    kind: JournalKind
    scope: str
    claimant: str
    fingerprint: str
    minted_at: float | None
    at: float
    outcome: Outcome = Outcome.UNKNOWN


@attrs.frozen
class JournalRecord:
    """Lines of the journal as they stand in the log.

    Attributes:
        incarnation: Incarnation of the home that wrote it.
        sequence: Number of the record at that incarnation, from 1.
        complete_until: All that the home had claimed up to then is in this record or
            an earlier one.
        lines: The lines in order.
    """

    incarnation: str
    sequence: int
    complete_until: float
    lines: tuple[JournalLine, ...]


class Permission(Enum):
    """What a home says to a claim."""

    GRANTED = "granted"
    LOGGING = "logging"
    JOINED = "joined"
    REPLAYED = "replayed"
    REFUSED = "refused"


@attrs.frozen
class Verdict:
    """A home's answer to a claim.

    Attributes:
        permission: Whether the request may run; `LOGGING` waits for the log,
            `JOINED` is a copy of a claim that is known.
        scope: The key's name, with its organisation and target.
        answer: The stored answer of a replay.
        refusal: Why it may not run.
    """

    permission: Permission
    scope: str
    answer: str | None = None
    refusal: Refusal | None = None


def refused(scope: str, refusal: Refusal) -> Verdict:
    """Return the verdict that refuses a claim."""
    return Verdict(Permission.REFUSED, scope, refusal=refusal)


def unavailable(reason: str) -> Refusal:
    """Return the refusal of a claim that may be granted later."""
    return Refusal(ErrorKind.CLAIM_UNAVAILABLE, reason, retry_after=1.0)
