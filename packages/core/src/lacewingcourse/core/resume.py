"""Plans what each stage of a new attempt keeps and what is run again.

Stages that outlived a failure keep their cache of the positions they ran. A stage
that is new, or whose cache is of no use, runs all positions again; the stage before
it sends the outputs again that it still has, or else runs again itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.layers import LayerRange
    from lacewingcourse.core.messages import KeptState


@attrs.frozen
class StagePlan:
    """What one stage does at the start of a resumed attempt.

    Attributes:
        keep: Whether it goes on from the positions it has.
        send_from: First position whose output the next stage needs.
        with_prompt: Whether it runs the prompt and the delivered tokens.
        inputs: Tokens that it runs after the positions it has.
    """

    keep: bool
    send_from: int
    with_prompt: bool = False
    inputs: tuple[int, ...] = ()


def plan_resume(
    kept: Sequence[KeptState | None], prompt_length: int, delivered: Sequence[int]
) -> tuple[StagePlan, ...]:
    """Return the plan of each stage.

    Args:
        kept: What each stage still has, None for nothing.
        prompt_length: Tokens of the prompt, 0 while not known.
        delivered: Tokens that the caller has.
    """
    lengths = [state.prompt_length for state in kept if state is not None]
    prompt_length = max([prompt_length, *lengths])
    history = prompt_length + len(delivered)
    positions = usable_positions(kept, history)
    following = [*positions[1:], max(0, history - 1)]
    plans = []
    for index, (have, send_from) in enumerate(zip(positions, following, strict=True)):
        inputs: tuple[int, ...] = ()
        if index == 0 and 0 < have < history:
            inputs = tuple(delivered[have - prompt_length :])
        plans.append(StagePlan(have > 0, send_from, index == 0 and have == 0, inputs))
    return tuple(plans)


def usable_positions(kept: Sequence[KeptState | None], history: int) -> list[int]:
    """Return how many of its positions each stage may keep; 0 to run all again.

    A stage that is ahead of the caller's tokens ran a token that is sampled anew
    unless the last stage, which sampled it, can send it again.
    """
    positions = [state.positions if state is not None else 0 for state in kept]
    last = kept[-1]
    if last is not None and last.sendable_from > history - 1:
        if last.positions > history - 1:
            positions[-1] = 0
    if positions[-1] == 0:
        positions = [have if have <= history else 0 for have in positions]
    for index in range(len(kept) - 1, 0, -1):
        before = kept[index - 1]
        if before is None or positions[index] < before.sendable_from:
            positions[index - 1] = 0
    return positions


def replacements(
    endpoints: Sequence[EndpointState],
    model: str,
    version: str,
    layers: LayerRange,
    avoided: frozenset[str],
) -> list[EndpointState]:
    """Return the endpoints that can take over a lost stage's layers."""
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.model == model
        and endpoint.version == version
        and endpoint.layers is not None
        and endpoint.layers.contains(layers)
        and endpoint.id not in avoided
        and endpoint.takes_new_work()
    ]
