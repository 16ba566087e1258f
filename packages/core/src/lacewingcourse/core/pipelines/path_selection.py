"""Selection of candidate paths while some endpoints are suspected."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.layer_memory import token_capacity
from lacewingcourse.core.pipelines.path import candidate_paths
from lacewingcourse.core.pipelines.suspects import Grade

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.shape import EngineShape

#: Minimum share of a layer's request memory on endpoints that are not suspected. Below
#: it, endpoints that are slow or doubtful are used too: one of them may run a request,
#: while the others are certain to have no room for most.
MIN_CAPACITY_SHARE = 0.25
#: Grades in the order in which endpoints are used again. An endpoint that is gone would
#: only cost a retry.
USABLE_GRADES = (Grade.SLOW, Grade.DOUBTFUL, Grade.LOST)
#: Grades of endpoints that may be used for capacity alone. Beside other holders, one
#: that rejects requests is not worth a retry.
CAPACITY_GRADES = (Grade.SLOW, Grade.DOUBTFUL)
#: Candidate paths that a suspected endpoint counts as being on already, by grade.
EARLIER_USES = {Grade.SLOW: 1, Grade.DOUBTFUL: 2, Grade.LOST: 4}


@attrs.frozen
class PathSelection:
    """Candidate paths, and the suspected endpoints that they had to use.

    Attributes:
        paths: The paths.
        suspected: Grades of the suspected endpoints that may be on them, by id.
    """

    paths: list[Path]
    suspected: dict[str, Grade]


def select_paths(
    endpoints: list[Endpoint], grades: Mapping[str, Grade], shape: EngineShape
) -> PathSelection:
    """Return candidate paths that use suspected endpoints only where they are needed.

    A suspected endpoint is used if it holds layers that lack other holders or have too
    little capacity on them: those of the lowest grade first, then those of the next
    one. So there is a path as long as every layer has a holder that is not gone. Paths
    without suspected endpoints stay beside those with them.

    Args:
        endpoints: Endpoints of the service that accept new requests.
        grades: Grades of the suspected endpoints by id.
        shape: Published performance figures of the service's engines.
    """
    held = [e for e in endpoints if e.accelerator in shape.accelerators]
    clean = [e for e in held if e.id not in grades]
    paths = candidate_paths(clean, shape)
    if len(clean) == len(held):
        return PathSelection(paths, {})
    holders = _with_needed(clean, held, grades, shape)
    if len(holders) > len(clean):
        paths = _merged(paths, _paths(holders, grades, shape))
    if not paths:
        # Parts may not join to a path although every layer has a holder.
        holders = [e for e in held if grades.get(e.id) is not Grade.GONE]
        paths = _paths(holders, grades, shape)
    suspected = {e.id: grades[e.id] for e in holders if e.id in grades}
    return PathSelection(paths, suspected)


def _merged(clean: list[Path], others: list[Path]) -> list[Path]:
    """Return paths without suspected endpoints together with others, fastest first."""
    known = {path.parts for path in clean}
    added = [path for path in others if path.parts not in known]
    return sorted(clean + added, key=lambda path: path.token_ms)


def _paths(
    holders: list[Endpoint], grades: Mapping[str, Grade], shape: EngineShape
) -> list[Path]:
    """Return candidate paths over endpoints, those not suspected preferred."""
    uses = {e.id: EARLIER_USES[grades[e.id]] for e in holders if e.id in grades}
    # A search that avoids an endpoint may find only paths that use it twice.
    return candidate_paths(holders, shape, uses) or candidate_paths(holders, shape)


def _with_needed(
    clean: list[Endpoint],
    held: list[Endpoint],
    grades: Mapping[str, Grade],
    shape: EngineShape,
) -> list[Endpoint]:
    """Return the endpoints that are not suspected, with those that are needed."""
    possible = [
        e for e in held if e.id not in grades or grades[e.id] in CAPACITY_GRADES
    ]
    total = token_capacity(possible, shape)
    holders = list(clean)
    for grade in USABLE_GRADES:
        min_share = MIN_CAPACITY_SHARE if grade in CAPACITY_GRADES else 0.0
        left = token_capacity(holders, shape)
        lacking = {
            layer
            for layer in range(shape.layers)
            if left[layer] <= 0.0 or left[layer] < min_share * total[layer]
        }
        if not lacking:
            break
        holders += [
            e for e in held if grades.get(e.id) is grade and _holds_any(e, lacking)
        ]
    return holders


def _holds_any(endpoint: Endpoint, layers: Collection[int]) -> bool:
    """Return whether an endpoint holds any of some layers."""
    held = endpoint.layers
    return held is not None and any(held.start <= layer < held.end for layer in layers)
