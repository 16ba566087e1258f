"""Log lines and metrics of how room is divided."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from lacewingcourse.core.pipelines.room_shares import RoomShares
    from lacewingcourse.core.pipelines.room_sharing import RoomPlan
    from lacewingcourse.relay.decisions import DecisionLog
    from lacewingcourse.relay.metrics import Metrics

#: Seconds between two lines about the division of a service's room while it is short.
LINE_PERIOD = 1.0
#: Organisations that a line names, those with the smallest fraction first.
MAX_LOGGED_ORGANISATIONS = 5


@attrs.define
class RoomMonitor:
    """Reports how the room of each service is divided.

    Attributes:
        room: The room shares of this entry.
        log: Decision log.
        metrics: Metrics of this entry.
        short_since: When the room of a service became short, seconds, by service.
        logged_at: When its division was last logged, seconds, by service.
    """

    room: RoomShares
    log: DecisionLog
    metrics: Metrics
    short_since: dict[str, float] = attrs.field(factory=dict)
    logged_at: dict[str, float] = attrs.field(factory=dict)

    def check(self, now: float) -> None:
        """Log changes since the last check, and set the metrics."""
        for service, share in self.room.services.items():
            plan = share.plan(now)
            self._log(service, plan, now)
            self._measure(service, plan)
            for rank, count in share.take_refused().items():
                self.metrics.room_refusals.labels(service, rank).inc(count)

    def _log(self, service: str, plan: RoomPlan, now: float) -> None:
        was_short = service in self.short_since
        if plan.is_short and not was_short:
            self.short_since[service] = self.logged_at[service] = now
            self.log.log_event("room_short", service=service, **_fields(plan, now))
        elif plan.is_short and now - self.logged_at[service] >= LINE_PERIOD:
            self.logged_at[service] = now
            self.log.log_event("room_divided", service=service, **_fields(plan, now))
        elif was_short and not plan.is_short:
            lasted = now - self.short_since.pop(service)
            self.log.log_event(
                "room_enough", service=service, lasted_ms=round(lasted * 1000)
            )

    def _measure(self, service: str, plan: RoomPlan) -> None:
        self.metrics.room_short.labels(service).set(plan.is_short)
        for rank, demand in plan.demand.ranks.items():
            labels = self.metrics.room_demand.labels
            labels(service, rank, "arrived").set(demand.arrived)
            labels(service, rank, "started").set(demand.started)
            labels(service, rank, "waiting").set(demand.waiting)
            portion = plan.portions.get(rank)
            fraction = portion.fraction if portion else 1.0
            self.metrics.room_fraction.labels(service, rank).set(fraction)


def _fields(plan: RoomPlan, now: float) -> dict[str, Any]:
    """Return the fields of a line about a division, with the inputs that decided it."""
    ranks = plan.demand.ranks.items()
    limited = [
        (fraction, rank, name)
        for rank, portion in plan.portions.items()
        for name, fraction in portion.organisations.items()
        if fraction < 1.0
    ]
    return {
        "room": round(plan.room) if plan.portions else None,
        "shortage_age_ms": round((now - plan.demand.short_at) * 1000),
        "arrived": {str(rank): round(demand.arrived) for rank, demand in ranks},
        "started": {str(rank): round(demand.started) for rank, demand in ranks},
        "waiting": {str(rank): round(demand.waiting) for rank, demand in ranks},
        "fractions": {
            str(rank): round(portion.fraction, 2)
            for rank, portion in plan.portions.items()
        },
        "organisations": [
            [rank, name, round(fraction, 2)]
            for fraction, rank, name in sorted(limited)[:MAX_LOGGED_ORGANISATIONS]
        ],
        "limited_organisations": len(limited),
    }
