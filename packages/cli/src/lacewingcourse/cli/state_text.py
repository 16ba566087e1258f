"""The state of an entry as tables of text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.cli.output import Table

if TYPE_CHECKING:
    from lacewingcourse.core.endpoints import EndpointState
    from lacewingcourse.core.holdings import ModelHoldings
    from lacewingcourse.entry.state_api import AnswerView, OperatorState

#: Copies of a layer below which the loss of one endpoint leaves no route.
SAFE_COPIES = 2


def tables(state: OperatorState) -> tuple[Table, ...]:
    """Return a state's tables."""
    return (
        entry_table(state),
        models_table(state),
        endpoints_table(state),
        answers_table(state),
    )


def entry_table(state: OperatorState) -> Table:
    """Return the table of the entry itself."""
    counts = state.configuration
    headers = ("availability zone", "ready", "configuration", "answers", "calls")
    headers += ("classes", "organisations", "services")
    row = (
        state.availability_zone,
        ready_text(state),
        str(state.readiness.configuration_version),
        str(state.answers_running),
        str(state.calls_running),
        str(counts.classes),
        str(counts.organisations),
        str(counts.services),
    )
    return Table(f"Entry {state.instance}", headers, (row,))


def ready_text(state: OperatorState) -> str:
    """Return whether an entry is ready, and why not."""
    if state.readiness.ready:
        return "yes"
    return f"no: {state.readiness.reason}"


def models_table(state: OperatorState) -> Table:
    """Return the table of models."""
    headers = ("model", "version", "layers", "endpoints", "least copies", "held once")
    rows = tuple(
        (
            each.model,
            each.version,
            str(each.layer_count),
            str(each.endpoints),
            str(each.least),
            ranges_text(each, 1),
        )
        for each in state.models
    )
    return Table("Models", headers, rows, tuple(missing_layers(state)))


def ranges_text(model: ModelHoldings, copies: int) -> str:
    """Return the layers that a number of endpoints hold."""
    found = [each.layers for each in model.holdings if each.endpoints == copies]
    return ", ".join(f"{layers.first}..{layers.end}" for layers in found) or "-"


def missing_layers(state: OperatorState) -> list[str]:
    """Return a sentence for each model that has no route."""
    return [
        f"{each.model}: no endpoint holds the layers {ranges_text(each, 0)}; "
        "its requests are refused with no_route."
        for each in state.models
        if each.least == 0
    ]


def endpoints_table(state: OperatorState) -> Table:
    """Return the table of endpoints."""
    headers = ("endpoint", "availability zone", "runs", "layers", "version", "state")
    headers += ("running", "queued", "step ms", "incarnation")
    rows = tuple(endpoint_row(each) for each in state.endpoints)
    silent = [f"{name}: listed, never answered." for name in state.silent_endpoints]
    return Table("Endpoints", headers, rows, tuple(silent))


def endpoint_row(endpoint: EndpointState) -> tuple[str, ...]:
    """Return the cells of an endpoint."""
    layers = endpoint.layers
    return (
        endpoint.id,
        endpoint.availability_zone,
        endpoint.model or endpoint.service,
        f"{layers.first}..{layers.end}" if layers else "-",
        endpoint.version or "-",
        endpoint_state(endpoint),
        str(endpoint.running),
        str(endpoint.queued),
        f"{endpoint.step_time * 1000:.1f}",
        endpoint.incarnation,
    )


def endpoint_state(endpoint: EndpointState) -> str:
    """Return whether new work is sent to an endpoint, and why not."""
    if not endpoint.ready:
        return "lost"
    return "leaving" if endpoint.leaving else "usable"


def answers_table(state: OperatorState) -> Table:
    """Return the table of answers in flight with their routes."""
    headers = ("stream", "organisation", "class", "model", "phase", "attempt")
    headers += ("tokens", "age s", "route")
    rows = tuple(answer_row(each) for each in state.answers)
    hidden = state.answers_running - len(state.answers)
    notes = (f"{hidden} younger answers are not shown.",) if hidden > 0 else ()
    return Table(f"Answers in flight: {state.answers_running}", headers, rows, notes)


def answer_row(answer: AnswerView) -> tuple[str, ...]:
    """Return the cells of an answer."""
    return (
        answer.stream,
        answer.organisation,
        answer.work_class or "-",
        answer.model,
        answer.phase,
        str(answer.attempt),
        str(answer.delivered),
        f"{answer.age:.1f}",
        " > ".join(answer.route) or "-",
    )


def summary(state: OperatorState) -> str:
    """Return the state in one line."""
    usable = sum(endpoint_state(each) == "usable" for each in state.endpoints)
    return (
        f"{state.instance}: ready {ready_text(state)}, "
        f"configuration {state.readiness.configuration_version}, "
        f"{usable} of {len(state.endpoints)} endpoints usable, "
        f"{state.answers_running} answers and {state.calls_running} calls in flight"
    )


def problems(state: OperatorState) -> list[str]:
    """Return what keeps an entry from serving every model, a sentence each."""
    found = missing_layers(state)
    if not state.readiness.ready:
        found.append(f"{state.instance} takes no new work: {state.readiness.reason}.")
    for each in state.models:
        if 0 < each.least < SAFE_COPIES:
            once = ranges_text(each, 1)
            found.append(f"{each.model}: only one endpoint holds the layers {once}.")
    return found
