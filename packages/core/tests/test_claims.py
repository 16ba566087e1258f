"""Promises 3 and 4 against the decisions, in any order of events and messages."""

from __future__ import annotations

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lacewingcourse.core.calls import CallGate
from lacewingcourse.core.claim_records import ClaimSettings, Permission
from lacewingcourse.core.claims import ClaimBook
from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.errors import Outcome
from lacewingcourse.core.homes import (
    HomeSettings,
    HomesFold,
    HomesRecord,
    propose,
    release,
)
from lacewingcourse.core.keys import mint_key, scope_of, shard_of
from lacewingcourse.core.messages import Claim

TARGET = "service.tally"
LIMITS = HomeSettings(tenure=100.0, key_skew=5.0, instance_skew=1.0, retention=10000.0)
AGENTS = st.sampled_from(["a", "b"])


class FixedBits:
    """Stands for a source of randomness, so that keys differ by their number."""

    def __init__(self, number: int) -> None:
        self.number = number

    def getrandbits(self, count: int) -> int:
        return self.number


@attrs.define
class Home:
    """One incarnation of an agent."""

    incarnation: str
    book: ClaimBook
    gate: CallGate = attrs.field(factory=CallGate)
    read: int = 0


class AtMostOnce(RuleBasedStateMachine):
    """Two agents, the log, and entries that know homes of any age."""

    @initialize()
    def start(self):
        self.now = 1_000_000.0
        self.starts = 0
        self.journal = []
        self.tables = []
        self.fold = HomesFold()
        self.homes = {}
        self.keys = []
        self.calls = []
        self.runs = {}
        self.ran_calls = set()
        self.not_run_calls = set()
        for name in ("a", "b"):
            self.restart(name)
        self.move()
        self.make_key(0.0, False)
        self.make_key(0.0, True)
        self.follow("a")
        self.follow("b")

    @rule(name=AGENTS)
    def restart(self, name):
        self.starts += 1
        incarnation = f"{self.starts:04d}{name}"
        book = ClaimBook(TARGET, incarnation, ClaimSettings(), LIMITS)
        self.homes[name] = Home(incarnation, book)

    @rule(name=AGENTS)
    def replace(self, name):
        """A home is lost, its keys get another one, and all learn of it."""
        self.restart(name)
        self.move()
        self.follow("a")
        self.follow("b")

    @rule(name=AGENTS)
    def expire(self, name):
        """A tenure runs out while its home is paused."""
        self.now += LIMITS.tenure + 2.0
        self.move({name})
        self.follow("a" if name == "b" else "b")

    @rule(seconds=st.sampled_from([0.1, 5.0, 40.0]))
    def wait(self, seconds):
        self.now += seconds

    def append(self, table):
        current = self.fold.records.get(TARGET)
        base = current.record_id if current else ""
        record = HomesRecord(str(len(self.tables)), base, table)
        if self.fold.take(record):
            self.tables.append(table)

    @rule(unreachable=st.sets(AGENTS), followers=st.sets(AGENTS))
    def move(self, unreachable=frozenset(), followers=frozenset()):
        endpoints = [
            EndpointState(name, home.incarnation, "z", "u", service="tally")
            for name, home in self.homes.items()
            if name not in unreachable
        ]
        table = propose(
            self.fold.table(TARGET), TARGET, endpoints, (), self.now, LIMITS
        )
        if table is not None:
            self.append(table)
        for name in sorted(followers):
            self.follow(name)

    @rule(name=AGENTS)
    def follow(self, name):
        """An agent learns the newest homes and reads the journal to its end."""
        home = self.homes[name]
        home.book.table = self.tables[-1]
        held = home.book.held()
        for record in self.journal[home.read :]:
            home.book.fold(record)
        home.read = len(self.journal)
        home.book.readable |= held

    @rule(name=AGENTS)
    def write(self, name):
        """An agent writes its journal and reads it back."""
        home = self.homes[name]
        self.journal.append(home.book.take_batch(500, self.now))
        self.follow(name)

    @rule(name=AGENTS)
    def hand_over(self, name):
        home = self.homes[name]
        home.book.yielding = True
        table = self.tables[-1]
        if home.book.table is not table or home.book.running or home.book.lines:
            return
        if table.held_by(home.incarnation):
            self.append(release(table, home.incarnation, self.now))

    @precondition(lambda self: len(self.keys) < 3)
    @rule(age=st.sampled_from([0.0, 10.0, 60.0]), opaque=st.booleans())
    def make_key(self, age, opaque):
        number = len(self.keys) + 1
        text = mint_key(self.now - age, FixedBits(number))
        self.keys.append(f"order-{number}" if opaque else text)

    @precondition(lambda self: self.keys)
    @rule(data=st.data(), arrives=st.sampled_from([True, True, False]))
    def send(self, data, arrives):
        """An entry with homes of any age sends a call to the key's home."""
        key = data.draw(st.sampled_from(self.keys))
        table = data.draw(st.sampled_from(self.tables[:-3:-1]))
        shard = table.shards[shard_of(scope_of("o", TARGET, key))]
        if shard.home is None:
            return
        name = f"call-{len(self.calls)}"
        incarnation = shard.home.incarnation
        claim = Claim(name, incarnation, TARGET, "o", key, shard.epoch, "f")
        self.calls.append((shard.home.endpoint, claim))
        if arrives:
            self.receive(shard.home.endpoint, claim, True)

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), effect=st.booleans())
    def deliver(self, data, effect):
        """A call, or a copy of it, arrives at last."""
        self.receive(*data.draw(st.sampled_from(self.calls)), effect)

    def receive(self, endpoint, claim, effect):
        home = self.homes[endpoint]
        if claim.incarnation != home.incarnation:
            return
        verdict = home.book.claim(claim, self.now)
        if verdict.permission is Permission.LOGGING:
            self.write(endpoint)
            entry = home.book.entry_of(verdict.scope, claim.claimant)
            granted = entry is not None and verdict.scope in home.book.running
        else:
            granted = verdict.permission is Permission.GRANTED
        if granted:
            self.run(home, claim, verdict.scope, effect)
        elif (
            verdict.permission is Permission.REFUSED
            and verdict.refusal.outcome is Outcome.NOT_RUN
            and claim.claimant not in self.ran_calls
        ):
            home.gate.revoke(claim.claimant, self.now)

    def run(self, home, claim, scope, effect):
        outcome = Outcome.NOT_RUN
        if home.gate.start(claim.claimant, self.now) and effect:
            outcome = Outcome.RAN
            self.runs[claim.key] = self.runs.get(claim.key, 0) + 1
            self.ran_calls.add(claim.claimant)
        home.book.settle(scope, claim.claimant, outcome, None, self.now)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def revoke(self, data):
        """An entry revokes a call; it may call it not run if told that none started."""
        endpoint, claim = data.draw(st.sampled_from(self.calls))
        home = self.homes[endpoint]
        if claim.incarnation != home.incarnation:
            return
        if not home.gate.revoke(claim.claimant, self.now):
            self.not_run_calls.add(claim.claimant)

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in getattr(self, "runs", {}).values())

    @invariant()
    def not_run_is_true(self):
        assert not getattr(self, "ran_calls", set()) & getattr(
            self, "not_run_calls", set()
        )


AtMostOnce.TestCase.settings = settings(
    max_examples=500, stateful_step_count=30, derandomize=True, deadline=None
)
TestAtMostOnce = AtMostOnce.TestCase
