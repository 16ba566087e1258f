"""Log lines and metrics about suspected endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

    from lacewingcourse.core.pipelines.path_selection import PathSelection
    from lacewingcourse.core.pipelines.suspects import Grade
    from lacewingcourse.relay.decisions import DecisionLog

#: Maximum number of endpoints in a line about candidate paths.
MAX_LOGGED_ENDPOINTS = 32


@attrs.define
class SuspicionLog:
    """Logs suspicions and their effect on candidate paths, and counts them.

    Attributes:
        log: Decision log.
    """

    log: DecisionLog

    def suspected(self, endpoints: Collection[str], reason: str, grade: Grade) -> None:
        """Log that endpoints do not answer in time.

        Args:
            endpoints: Their ids.
            reason: What was observed.
            grade: Grade of the suspicion.
        """
        name = grade.name.lower()
        self.log.metrics.suspicions.labels(name).inc(len(endpoints))
        self.log.log_event(
            "suspected", endpoints=list(endpoints), grade=name, reason=reason
        )

    def selected_paths(self, service: str, selection: PathSelection) -> None:
        """Log which suspected endpoints the candidate paths of a service use now.

        Args:
            service: Name of the service.
            selection: Its candidate paths.
        """
        if selection.suspected:
            self.log.metrics.path_fallbacks.inc()
        shown = list(selection.suspected.items())[:MAX_LOGGED_ENDPOINTS]
        self.log.log_event(
            "paths",
            service=service,
            paths=len(selection.paths),
            suspected={endpoint: grade.name.lower() for endpoint, grade in shown},
            suspected_count=len(selection.suspected),
        )
