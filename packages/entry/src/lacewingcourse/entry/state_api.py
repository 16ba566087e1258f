"""The state of an entry for operators: answers, routes, endpoints, models, versions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.holdings import ModelHoldings, holdings_of
from lacewingcourse.daemon.daemon import Readiness
from lacewingcourse.entry.host import Host
from lacewingcourse.entry.report_api import OperatorHandler

if TYPE_CHECKING:
    from lacewingcourse.entry.answers import AnswerDriver
    from lacewingcourse.entry.directory import Directory

#: Answers in flight that one state shows.
SHOWN_ANSWERS = 200


class StateHost(Host, Protocol):
    """What the state page needs of the entry.

    Attributes:
        answers: Answers in flight by stream.
        calls_running: Plain calls in flight.
        directory: What is known of the endpoints.
    """

    answers: dict[str, AnswerDriver]
    calls_running: int
    directory: Directory

    def readiness(self) -> Readiness:
        """Tell whether the entry takes new work."""


@attrs.frozen
class AnswerView:
    """A streamed answer in flight.

    Attributes:
        stream: Name of the stream.
        organisation: Whose request it is.
        work_class: Its class of work, or empty.
        model: Name of the model.
        phase: Where it stands.
        attempt: Number of the newest attempt.
        delivered: Tokens that the caller was given.
        age: Seconds since the request arrived.
        route: Endpoints of the newest attempt, first stage first.
    """

    stream: str
    organisation: str
    work_class: str
    model: str
    phase: str
    attempt: int
    delivered: int
    age: float
    route: tuple[str, ...]


@attrs.frozen
class ConfigurationCounts:
    """How much the configuration in force holds.

    Attributes:
        classes: Classes of work.
        organisations: Organisations.
        models: Models.
        services: Plain services.
    """

    classes: int
    organisations: int
    models: int
    services: int


@attrs.frozen
class OperatorState:
    """What one entry knows and does.

    Attributes:
        instance: Name of the instance.
        availability_zone: Where it stands.
        readiness: Whether it takes new work, and its configuration's version.
        configuration: How much the configuration in force holds.
        answers_running: Streamed answers in flight.
        calls_running: Plain calls in flight.
        answers: Answers in flight, the oldest first, at most `SHOWN_ANSWERS`.
        models: How the layers of each model are held.
        endpoints: Endpoints that are known.
        silent_endpoints: Listed endpoints whose agents have never answered.
    """

    instance: str
    availability_zone: str
    readiness: Readiness
    configuration: ConfigurationCounts
    answers_running: int
    calls_running: int
    answers: tuple[AnswerView, ...]
    models: tuple[ModelHoldings, ...]
    endpoints: tuple[EndpointState, ...]
    silent_endpoints: tuple[str, ...]


class OperatorStateHandler(OperatorHandler):
    """Shows operators the state of this entry."""

    def get(self) -> None:
        self.reply(state_of(self.daemon))


def state_of(entry: StateHost) -> OperatorState:
    """Return the state of an entry."""
    directory = entry.directory
    configuration = entry.configuration
    endpoints = sorted(directory.endpoints.values(), key=lambda each: each.id)
    models = sorted(configuration.models.values(), key=lambda each: each.name)
    answers = list(entry.answers.values())[:SHOWN_ANSWERS]
    now = entry.now()
    return OperatorState(
        instance=entry.settings.instance_id,
        availability_zone=entry.settings.availability_zone,
        readiness=entry.readiness(),
        configuration=ConfigurationCounts(
            len(configuration.classes),
            len(configuration.organisations),
            len(configuration.models),
            len(configuration.services),
        ),
        answers_running=len(entry.answers),
        calls_running=entry.calls_running,
        answers=tuple(view_of(answer, now) for answer in answers),
        models=tuple(holdings_of(model, endpoints) for model in models),
        endpoints=tuple(endpoints),
        silent_endpoints=tuple(
            sorted(set(directory.instances) - set(directory.endpoints))
        ),
    )


def view_of(answer: AnswerDriver, now: float) -> AnswerView:
    """Return what an operator sees of an answer."""
    state = answer.state
    started_at = answer.meter.started_at if answer.meter else now
    return AnswerView(
        stream=answer.stream,
        organisation=state.request.organisation,
        work_class=state.request.work_class,
        model=state.request.model,
        phase=state.phase.value,
        attempt=state.attempt,
        delivered=len(state.delivered),
        age=now - started_at,
        route=tuple(stage.endpoint for stage in state.stages),
    )


STATE_ROUTES = [(r"/admin/v1/state", OperatorStateHandler)]
