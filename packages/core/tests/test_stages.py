"""Tests of the agent's gate for stages."""

from __future__ import annotations

import attrs

from lacewingcourse.core.effects import RunForward, SendHop, SendToken
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages import (
    Hop,
    HopVerdict,
    OpenStage,
    Prompt,
    Sampling,
    StageAddress,
)
from lacewingcourse.core.revocations import REVOCATION_KEPT
from lacewingcourse.core.stage_state import ForwardResult
from lacewingcourse.core.stages import OUTPUT_BYTES, StageGate

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


def run_until_quiet(gate: StageGate, effects: list) -> int:
    """Run all work on an engine that answers at once; return the tokens made."""
    made = 0
    while effects:
        effect = effects.pop(0)
        match effect:
            case SendToken():
                made += 1
            case SendHop(hop=each):
                effects.extend(gate.receive(each, 0.0)[1])
            case RunForward():
                count = len(effect.values) or 1
                result = ForwardResult(
                    "s", effect.attempt, effect.position, count, (), 7, "", 1
                )
                effects.extend(gate.complete(result, 0.0))
    return made


def test_tokens_stop_at_the_credit_until_there_is_more():
    gate = StageGate("e1", "i1")
    message = attrs.evolve(
        opening(), sampling=Sampling(max_tokens=1000), prompt=Prompt("why")
    )
    _, effects = gate.open(message, 0.0)
    assert run_until_quiet(gate, effects) == message.token_limit
    assert run_until_quiet(gate, gate.credit("s", 1, 20, 0.0)) == 12
    assert gate.credit("s", 1, 20, 0.0) == []


def test_revocations_are_forgotten_after_their_time_only():
    gate = StageGate("e1", "i1")
    gate.revoke("s", 1, 0.0)
    gate.revoke("t", 1, 10.0)
    gate.forget(REVOCATION_KEPT + 5.0)
    assert list(gate.revocations.records) == ["t"]
    assert not gate.open(attrs.evolve(opening(), stream="t"), 20.0)[0].accepted


def test_outputs_beyond_the_budget_are_not_kept():
    gate = StageGate("e1", "i1", output_budget=3 * OUTPUT_BYTES)
    message = attrs.evolve(opening(), prompt=Prompt("why"))
    _, effects = gate.open(message, 0.0)
    run_until_quiet(gate, effects)
    assert gate.output_bytes <= gate.output_budget
    kept = gate.stages["s"].kept()
    assert kept.positions - kept.sendable_from <= 3
