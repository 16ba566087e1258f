"""The metrics page, whose gauges are set when it is requested."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.suspects import Grade

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.freshness import Freshness
    from lacewingcourse.relay.admission import Admission
    from lacewingcourse.relay.client_stream import Clients
    from lacewingcourse.relay.metrics import Metrics
    from lacewingcourse.relay.routing_state import RoutingState
    from lacewingcourse.relay.small_server import Reply, ServerRequest


@attrs.define
class MetricsPage:
    """Responds to requests for the metrics, with the present ages and states.

    Attributes:
        metrics: The metrics.
        routing_state: State that holds the endpoints and the configuration.
        configuration: Age of the known configuration.
        directory: Age of the known directory.
        clock: Returns the present time in seconds.
        boot_clock: Returns the present time in seconds, including the time for which
            the machine was suspended; the ages use it.
        admission: Requests that wait for room.
        clients: The connections of clients by whose they are.
    """

    metrics: Metrics
    routing_state: RoutingState
    configuration: Freshness
    directory: Freshness
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    admission: Admission
    clients: dict[str, Clients] = attrs.field(factory=dict)

    def respond(self, request: ServerRequest) -> Reply:
        """Set the gauges, and return the metrics."""
        boot_now = self.boot_clock()
        self.metrics.configuration_age.set(self.configuration.age(boot_now))
        self.metrics.directory_age.set(self.directory.age(boot_now))
        table = self.routing_state.table
        self.metrics.version.set(table.version if table else 0)
        self._count_endpoints(self.clock())
        limited = self.routing_state.limits.limited()
        self.metrics.limited_endpoints.set(len(limited))
        backing_off = self.routing_state.backoffs.active(self.clock())
        self.metrics.backing_off.set(len(backing_off))
        refused = self.routing_state.parts.in_force(self.clock())
        self.metrics.refused_parts.set(len(refused))
        self.metrics.show_queue(*self.admission.queue_state())
        for group, clients in self.clients.items():
            self.metrics.show_clients(group, clients.memory)
        return self.metrics.respond(request)

    def _count_endpoints(self, now: float) -> None:
        endpoints = self.routing_state.fleet.endpoints.values()
        leaving = sum(endpoint.leaving for endpoint in endpoints)
        states = self.metrics.endpoints
        states.labels("present").set(len(endpoints) - leaving)
        states.labels("leaving").set(leaving)
        grades = Counter(self.routing_state.suspects.grades(now).values())
        states.labels("suspected").set(grades.total())
        for grade in Grade:
            states.labels(grade.name.lower()).set(grades[grade])
