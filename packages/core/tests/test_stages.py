"""Tests of the agent's gate for stages."""

from __future__ import annotations

from lacewingcourse.core.effects import RunForward
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages import (
    Hop,
    HopVerdict,
    OpenStage,
    Sampling,
    StageAddress,
)
from lacewingcourse.core.stages import StageGate

LAYERS = LayerRange(0, 4)


def opening(attempt: int = 1, incarnation: str = "i1") -> OpenStage:
    address = StageAddress("e1", "http://127.0.0.1:1", incarnation, LAYERS)
    return OpenStage(
        stream="s",
        attempt=attempt,
        index=0,
        stages=(address,),
        entry_url="http://127.0.0.1:2",
        organisation="o",
        work_class="",
        priority=0.0,
        sampling=Sampling(max_tokens=8),
        token_limit=8,
    )


def hop(position: int, attempt: int = 1) -> Hop:
    return Hop("s", attempt, LAYERS, position, (7,), 1)


def test_early_hop_waits_for_its_turn():
    gate = StageGate("e1", "i1")
    gate.open(opening(), 0.0)
    assert gate.receive(hop(1), 0.0) == (HopVerdict.HELD, [])
    verdict, effects = gate.receive(hop(0), 0.0)
    assert verdict is HopVerdict.ACCEPTED
    assert [effect.position for effect in effects] == [0, 1]
    assert all(isinstance(effect, RunForward) for effect in effects)


def test_repeated_hop_runs_once():
    gate = StageGate("e1", "i1")
    gate.open(opening(), 0.0)
    gate.receive(hop(0), 0.0)
    assert gate.receive(hop(0), 0.0) == (HopVerdict.REPEATED, [])


def test_old_attempts_hop_is_dropped():
    gate = StageGate("e1", "i1")
    gate.open(opening(attempt=2), 0.0)
    assert gate.receive(hop(0, attempt=1), 0.0) == (HopVerdict.STALE, [])


def test_revoked_attempt_cannot_open():
    gate = StageGate("e1", "i1")
    reply, _ = gate.revoke("s", 1, 0.0)
    assert not reply.started
    answer, effects = gate.open(opening(), 1.0)
    assert not answer.accepted
    assert answer.kind is ErrorKind.STALE_ATTEMPT
    assert effects == []


def test_other_incarnations_message_is_refused():
    gate = StageGate("e1", "i2")
    answer, _ = gate.open(opening(incarnation="i1"), 0.0)
    assert answer.kind is ErrorKind.STALE_INCARNATION
