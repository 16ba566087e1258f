"""The home agent's book of keys: which request of a key may run, once.

A time-ordered key is claimed here at once and journalled later; an opaque key, and a
time-ordered one that comes late, is claimed by the first record of the log that names
it. `now` is in seconds since the epoch throughout, to be compared with key times.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.claim_journal import ClaimJournal
from lacewingcourse.core.claim_records import (
    EntryState,
    JournalKind,
    KeyEntry,
    Permission,
    Verdict,
    refused,
    unavailable,
)
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.keys import parse_key, scope_of, shard_of

if TYPE_CHECKING:
    from lacewingcourse.core.claim_records import (
        ClaimSettings,
        JournalLine,
        JournalRecord,
    )
    from lacewingcourse.core.homes import HomeSettings, HomesTable, Shard, Tenancy
    from lacewingcourse.core.messages import Claim

#: Seconds for which a released claim is remembered, to refuse late copies of it.
RELEASE_KEPT = 600.0
#: Detail of the refusal of a claim that needs the log.
ADVICE = "the log cannot take the claim now; a fresh UUIDv7 key needs no log"


class ClaimBook:
    """The keys of one target, at one incarnation of an agent.

    Attributes:
        target: The service or model.
        incarnation: Incarnation of the agent.
        settings: Limits of the home.
        homes: Limits of the deployment.
        table: The homes in force, or None.
        entries: What is known of each key, oldest claim first.
        running: Keys whose request has not ended.
        journal: The lines written here, and those read from the log.
        released: When each claimant gave its claim back, oldest first.
        readable: Shards and epochs for which the journal was read to its end.
        log_answers: Whether the log answered last time.
        yielding: Whether the home gives its shards up.
        horizon: Keys made up to then may have been forgotten.
        log_keeps_from: Oldest time that the log told of when it was first read, or
            None if it kept all.
        answer_size: Bytes of the stored answers.
    """

    def __init__(
        self,
        target: str,
        incarnation: str,
        settings: ClaimSettings,
        homes: HomeSettings,
    ) -> None:
        self.target = target
        self.incarnation = incarnation
        self.settings = settings
        self.homes = homes
        self.table: HomesTable | None = None
        self.entries: dict[str, KeyEntry] = {}
        self.running: set[str] = set()
        self.journal = ClaimJournal(incarnation, self.entries, self.running)
        self.released: dict[str, float] = {}
        self.readable: set[tuple[int, int]] = set()
        self.log_answers = True
        self.yielding = False
        self.horizon = 0.0
        self.log_keeps_from: float | None = None
        self.answer_size = 0

    def held(self) -> set[tuple[int, int]]:
        """Return the shards, with their epochs, whose home this is."""
        if self.table is None:
            return set()
        numbers = self.table.held_by(self.incarnation)
        return {(number, self.table.shards[number].epoch) for number in numbers}

    def accept_window(self) -> float:
        """Return the time in which a key may first be used; shorter than its memory."""
        homes = self.homes
        longest = homes.retention - homes.key_skew - homes.instance_skew
        return min(self.settings.accept_window, longest)

    def claim(self, claim: Claim, now: float, leased: bool = False) -> Verdict:
        """Decide whether the request of a key may run.

        Args:
            claim: The claim.
            now: Seconds since the epoch.
            leased: Whether the claimant runs elsewhere and renews its claim.
        """
        scope = scope_of(claim.organisation, claim.target, claim.key)
        shard = self._shard(claim, scope)
        if isinstance(shard, Refusal):
            return refused(scope, shard)
        self._expire(scope, now)
        entry = self.entries.get(scope)
        if entry is not None:
            return self._repeat(entry, claim, now)
        key = parse_key(claim.key)
        if isinstance(key, Refusal):
            return refused(scope, key)
        refusal = self._refusal(claim, shard, key.minted_at, now)
        if refusal is not None:
            return refused(scope, refusal)
        return self._claim(claim, scope, key.minted_at, now, leased)

    def _shard(self, claim: Claim, scope: str) -> Shard | Refusal:
        """Return the shard of a key if this is its home, under the same epoch."""
        if claim.incarnation != self.incarnation:
            return Refusal(ErrorKind.STALE_INCARNATION, "meant for another incarnation")
        if claim.claimant in self.released:
            return Refusal(ErrorKind.STALE_ATTEMPT, "the claim was given back")
        if claim.target != self.target or self.table is None:
            return unavailable("this agent is not the key's home")
        number = shard_of(scope)
        shard = self.table.shards[number]
        home = shard.home
        if home is None or home.incarnation != self.incarnation:
            return unavailable("this agent is not the key's home")
        if shard.epoch != claim.epoch:
            return unavailable("the key's home has changed")
        if (number, shard.epoch) not in self.readable:
            return unavailable("the home has not read the journal yet")
        return shard

    def _repeat(self, entry: KeyEntry, claim: Claim, now: float) -> Verdict:
        """Decide about a key that is known."""
        scope = entry.scope
        if entry.fingerprint != claim.fingerprint:
            reason = "the key was used with another method, path or body"
            return refused(scope, Refusal(ErrorKind.KEY_REUSED, reason))
        if entry.state is not EntryState.ENDED:
            if entry.claimant == claim.claimant:
                return Verdict(Permission.JOINED, scope)
            reason = "the key's request has not ended"
            kind = ErrorKind.KEY_IN_PROGRESS
            refusal = Refusal(kind, reason, Outcome.UNKNOWN, retry_after=1.0)
            return refused(scope, refusal)
        if entry.answer is not None:
            return Verdict(Permission.REPLAYED, scope, answer=entry.answer)
        if entry.outcome is Outcome.RAN:
            reason = "the key's request ran; its answer is no longer kept"
            return refused(
                scope, Refusal(ErrorKind.ANSWER_NOT_KEPT, reason, Outcome.RAN)
            )
        reason = "the key's request was cut off"
        return refused(scope, Refusal(ErrorKind.OUTCOME_UNKNOWN, reason, entry.outcome))

    def _refusal(
        self, claim: Claim, shard: Shard, minted_at: float | None, now: float
    ) -> Refusal | None:
        """Return why a key that is not known may not be claimed, or None."""
        if self.yielding:
            return Refusal(ErrorKind.DRAINING, "the home is moving", retry_after=1.0)
        if len(self.journal.lines) >= self.settings.max_backlog:
            return unavailable("too much waits for the log")
        if minted_at is None:
            return self._opaque_refusal(now)
        if minted_at > now + self.homes.key_skew:
            reason = "the key was made later than now"
            return Refusal(ErrorKind.KEY_IN_FUTURE, reason)
        if minted_at > shard.home.until:
            return unavailable("the home's tenure has run out")
        forgotten = max(self.horizon, self._log_horizon())
        if minted_at <= max(now - self.accept_window(), forgotten):
            known = minted_at > max(now - self.homes.retention, forgotten)
            outcome = Outcome.NOT_RUN if known else Outcome.UNKNOWN
            reason = "the key was made too long ago; make a new one"
            return Refusal(ErrorKind.KEY_EXPIRED, reason, outcome)
        hidden = any(self._hides(past, minted_at) for past in shard.past)
        if hidden and not claim.first_use:
            reason = "the key's former home was lost and may have run its request"
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, reason, Outcome.UNKNOWN)
        return None

    def _opaque_refusal(self, now: float) -> Refusal | None:
        """Return why an opaque key may not be claimed, or None."""
        if self._log_horizon() > now - self.homes.retention:
            return unavailable("the log keeps records for too short a time")
        if not self.log_answers:
            return unavailable(ADVICE)
        return None

    def _log_horizon(self) -> float:
        """Return the time up to which keys may be missing in the journal."""
        if self.log_keeps_from is None:
            return 0.0
        return self.log_keeps_from + self.homes.instance_skew

    def _hides(self, past: Tenancy, minted_at: float) -> bool:
        """Tell whether a former home may have run a key without a trace."""
        if past.exact or past.incarnation == self.incarnation:
            return False
        skew = self.homes.instance_skew
        known = max(
            past.since - skew, self.journal.journalled.get(past.incarnation, 0.0)
        )
        until = past.until
        if past.ended_at is not None:
            until = min(until, past.ended_at + skew)
        return known - self.settings.prompt_window < minted_at <= until

    def _claim(
        self,
        claim: Claim,
        scope: str,
        minted_at: float | None,
        now: float,
        leased: bool,
    ) -> Verdict:
        """Claim a key that is not known.

        Without the log only a key made within a bound of time before now is claimed,
        so that a later home knows which keys this one may have run.
        """
        oldest = now - self.settings.prompt_window
        prompt = minted_at is not None and oldest < minted_at <= now
        if not prompt and not self.log_answers:
            return refused(scope, unavailable(ADVICE))
        entry = KeyEntry(
            scope=scope,
            fingerprint=claim.fingerprint,
            claimant=claim.claimant,
            minted_at=minted_at,
            claimed_at=now,
            state=EntryState.RUNNING if prompt else EntryState.CLAIMING,
            renewed_at=now,
            leased=leased,
        )
        self.entries[scope] = entry
        self.running.add(scope)
        self.journal.add(JournalKind.CLAIMED, entry, now)
        self._forget_surplus()
        return Verdict(Permission.GRANTED if prompt else Permission.LOGGING, scope)

    def entry_of(self, scope: str, claimant: str) -> KeyEntry | None:
        """Return the entry of a key if a claimant has claimed it."""
        entry = self.entries.get(scope)
        if entry is None or entry.claimant != claimant:
            return None
        return entry

    def settle(
        self,
        scope: str,
        claimant: str,
        outcome: Outcome,
        answer: str | None,
        now: float,
    ) -> bool:
        """Note how a claimed request ended; tell whether the claim was known."""
        entry = self.entry_of(scope, claimant)
        if entry is None:
            return False
        if entry.state is EntryState.ENDED and entry.outcome is not Outcome.UNKNOWN:
            return True
        self.running.discard(scope)
        if outcome is Outcome.NOT_RUN:
            del self.entries[scope]
            self.released[claimant] = now
            self.journal.add(JournalKind.RELEASED, entry, now)
            return True
        entry.state = EntryState.ENDED
        entry.outcome = outcome
        self.journal.add(JournalKind.SETTLED, entry, now)
        self._store(entry, answer)
        return True

    def renew(self, scope: str, claimant: str, now: float) -> bool:
        """Note that a claimant is alive; tell whether its claim is known."""
        entry = self.entry_of(scope, claimant)
        if entry is None or entry.state is EntryState.ENDED:
            return False
        entry.renewed_at = now
        return True

    def _store(self, entry: KeyEntry, answer: str | None) -> None:
        """Keep an answer, and drop the oldest ones if there are too many."""
        if answer is None or len(answer) > self.settings.answer_bytes:
            return
        entry.answer = answer
        self.answer_size += len(answer)
        for other in self.entries.values():
            if self.answer_size <= self.settings.answer_bytes:
                return
            if other is not entry:
                self._drop_answer(other)

    def _drop_answer(self, entry: KeyEntry) -> None:
        if entry.answer is not None:
            self.answer_size -= len(entry.answer)
            entry.answer = None

    def _expire(self, scope: str, now: float) -> None:
        """Bring one key's entry up to date."""
        entry = self.entries.get(scope)
        if entry is None:
            return
        if entry.claimed_at < now - self.settings.answer_time:
            self._drop_answer(entry)
        lost = entry.renewed_at < now - self.settings.grant_time
        if entry.leased and entry.state is EntryState.RUNNING and lost:
            self.settle(scope, entry.claimant, Outcome.UNKNOWN, None, now)

    def forget(self, now: float) -> None:
        """Drop what is past its time; the oldest claims come first."""
        for scope in list(self.running):
            self._expire(scope, now)
        for claimant, released_at in list(self.released.items()):
            if released_at > now - RELEASE_KEPT:
                break
            del self.released[claimant]
        for scope in list(self.entries):
            entry = self.entries[scope]
            if entry.claimed_at > now - self.settings.answer_time:
                break
            self._expire(scope, now)
            old = entry.claimed_at < now - self.homes.retention
            if old and scope not in self.running:
                self._drop_answer(entry)
                del self.entries[scope]

    def _forget_surplus(self) -> None:
        """Drop the oldest time-ordered keys if there are too many entries."""
        surplus = len(self.entries) - self.settings.max_entries
        for scope in list(self.entries) if surplus > 0 else ():
            entry = self.entries[scope]
            if entry.minted_at is None or scope in self.running:
                continue
            self._drop_answer(entry)
            del self.entries[scope]
            self.horizon = max(self.horizon, entry.minted_at)
            surplus -= 1
            if surplus <= 0:
                return

    @property
    def lines(self) -> list[JournalLine]:
        """Journal lines that are not yet in a record."""
        return self.journal.lines

    def take_batch(self, limit: int, now: float) -> JournalRecord:
        """Return the next record of the journal; see `ClaimJournal.take_batch`."""
        return self.journal.take_batch(limit, now)

    def fold(self, record: JournalRecord) -> list[str]:
        """Take the next record of the log; return claimants that now may run."""
        return self.journal.fold(record)
