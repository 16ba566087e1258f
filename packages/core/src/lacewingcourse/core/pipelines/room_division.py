"""Division of room that is short by rank, and within a rank by organisation."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.room_demand import RankDemand, RoomDemand

#: Share of the room that each rank may have whatever the more urgent ones need, so that
#: none starves.
MIN_RANK_SHARE = 0.03


@attrs.frozen
class RankPortion:
    """What may start of one rank.

    Attributes:
        fraction: Fraction of its demand.
        level: Tokens per second that each organisation may start.
        organisations: Fraction of the demand by organisation, for those above the
            level.
        unnamed: Fraction of the demand of all other organisations.
    """

    fraction: float = 1.0
    level: float = inf
    organisations: dict[str, float] = attrs.field(factory=dict)
    unnamed: float = 1.0

    def fraction_of(self, organisation: str) -> float:
        """Return the fraction of an organisation's requests that may start."""
        return self.organisations.get(organisation, self.unnamed)


#: The portion of a rank whose whole demand may start.
WHOLE = RankPortion()


def divide(room: float, demand: RoomDemand) -> dict[int, RankPortion]:
    """Return what may start of each rank.

    Ranks come in their order, each after a small part that is set aside for those that
    are less urgent. Within the rank where room runs out each organisation has an equal
    part, and what one doesn't need goes to the others.

    Args:
        room: Tokens per second that can be started.
        demand: Demand of all entries.
    """
    ranks = sorted(demand.ranks)
    least = {
        rank: min(demand.ranks[rank].arrived, MIN_RANK_SHARE * room) for rank in ranks
    }
    set_aside, left = sum(least.values()), room
    portions = {}
    for rank in ranks:
        set_aside -= least[rank]
        figures = demand.ranks[rank]
        available = max(left - set_aside, least[rank])
        left = max(0.0, left - figures.arrived)
        if figures.arrived <= available:
            portions[rank] = WHOLE
        else:
            organisations = demand.organisations.get(rank, {})
            portions[rank] = _portion(available, figures, organisations)
    return portions


def _portion(
    room: float, figures: RankDemand, organisations: dict[str, float]
) -> RankPortion:
    """Return what may start of a rank that needs more than its room."""
    room_for_others = max(0.0, room - figures.certain)
    demands = [(rate, 1) for rate in organisations.values()]
    count = max(1, figures.unnamed_count)
    demands.append((figures.unnamed, count))
    level = water_level(room_for_others, demands)
    limited = {
        name: level / rate if rate > level else 1.0
        for name, rate in organisations.items()
    }
    unnamed = 1.0
    if figures.unnamed > level * count:
        unnamed = level * count / figures.unnamed
    return RankPortion(room / figures.arrived, level, limited, unnamed)


def water_level(room: float, demands: list[tuple[float, int]]) -> float:
    """Return the part of each that uses up the room, infinity if all needs fit.

    Args:
        room: What is divided.
        demands: Total demand of each group of equals, and their number.
    """
    count = sum(number for _, number in demands)
    for total, number in sorted(demands, key=lambda group: group[0] / group[1]):
        if total / number * count >= room:
            return room / count
        room -= total
        count -= number
    return inf
