"""Tests of the order in which an agent gives work to its engine."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.effects import RunForward
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages import OpenStage, Prompt, Sampling
from lacewingcourse.core.queueing import (
    AgentLoad,
    ForwardQueue,
    due_at,
    refusal_kind,
)


def work(stream: str, prompt: bool = False, priority: float = 1.0) -> RunForward:
    return RunForward(
        stream=stream,
        attempt=1,
        layers=LayerRange(0, 4),
        position=0,
        values=() if prompt else (1,),
        prompt=Prompt("text") if prompt else None,
        sampling=None,
        prompt_length=0,
        priority=priority,
    )


def test_tokens_are_not_held_up_by_prompts_beyond_their_room():
    queue = ForwardQueue()
    queue.push(work("p1", True), 1.0, 300)
    queue.push(work("p2", True), 2.0, 300)
    queue.push(work("d1"), 3.0, 1)
    first = [entry.effect.stream for entry in queue.take(8, 256)]
    assert first == ["p1", "d1"]
    assert queue.positions() == 300
    assert [entry.effect.stream for entry in queue.take(8, 256)] == ["p2"]


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 5), st.integers(1, 400))))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_only_work_due_earlier_overtakes(items):
    queue = ForwardQueue()
    due = {}
    for index, (prompt, slack, positions) in enumerate(items):
        effect = work(str(index), prompt, slack)
        due[effect.stream] = due_at(effect, 0.05, 2, float(index))
        queue.push(effect, due[effect.stream], positions if prompt else 1)
    while len(queue):
        least = min(due.values())
        taken = queue.take(4, 256)
        assert taken[0].due_at == least
        for entry in taken:
            del due[entry.effect.stream]
    assert not due and queue.positions() == 0


def test_agent_refuses_before_the_start_what_cannot_be_in_time():
    message = OpenStage(
        stream="s",
        attempt=1,
        index=0,
        stages=(),
        entry_url="",
        organisation="o",
        work_class="",
        priority=0.5,
        sampling=Sampling(),
        token_limit=8,
    )
    assert refusal_kind(message, AgentLoad(3, 4, 0.4)) is None
    late = refusal_kind(message, AgentLoad(3, 4, 0.6))
    assert late is ErrorKind.DEADLINE_UNREACHABLE
    assert refusal_kind(message, AgentLoad(4, 4, 0.0)) is ErrorKind.OVERLOADED
