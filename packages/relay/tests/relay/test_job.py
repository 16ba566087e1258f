"""Tests of whether a request may be sent again."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lacewingcourse.core.errors import ErrorKind, Outcome
from lacewingcourse.core.pipelines.routing import Organisation, RetrySafety
from lacewingcourse.core.pipelines.send_history import SendOutcome
from lacewingcourse.relay.job import MAX_REJECTIONS, Job

from .routes import route_of


@pytest.fixture
def make_job():
    """Return a function that makes a request of a route with two attempts."""

    def make(retry_safety=RetrySafety.RESUMABLE_STREAM):
        route = route_of("rooms", retry_safety)
        request = SimpleNamespace(received_at=10.0)
        caller = SimpleNamespace(disconnected=False, response_started=True)
        return Job(request, route, "rooms", Organisation(""), caller, False, 30.0)

    return make


def send(job, endpoint, outcome):
    """Record a send to an endpoint and its outcome."""
    job.begin_send(endpoint).conclude(outcome)


def test_attempts_are_bounded_by_the_route(make_job):
    job = make_job()
    send(job, "a", SendOutcome.MAY_HAVE_RUN)
    assert job.may_send_again
    assert job.allowed_endpoints is None
    send(job, "b", SendOutcome.MAY_HAVE_RUN)
    assert not job.may_send_again


def test_rejected_second_send_does_not_end_a_started_answer(make_job):
    """Seven answers in a day were aborted this way around a configuration change."""
    job = make_job()
    send(job, "a", SendOutcome.MAY_HAVE_RUN)
    send(job, "b", SendOutcome.REJECTED)
    assert job.may_send_again
    assert job.allowed_endpoints == {"a", "b"}


def test_rejections_are_bounded(make_job):
    job = make_job()
    for _ in range(MAX_REJECTIONS):
        send(job, "a", SendOutcome.REJECTED)
        assert job.may_send_again
    send(job, "a", SendOutcome.REJECTED)
    assert not job.may_send_again


def test_non_idempotent_request_is_not_sent_again_after_it_may_have_run(make_job):
    job = make_job(RetrySafety.ONCE)
    send(job, "a", SendOutcome.REJECTED)
    assert job.may_send_again
    send(job, "a", SendOutcome.MAY_HAVE_RUN)
    assert not job.may_send_again


@pytest.mark.parametrize("retry_safety", [RetrySafety.ONCE, RetrySafety.STREAM])
@pytest.mark.parametrize(
    "outcome", [each for each in SendOutcome if each is not SendOutcome.REJECTED]
)
def test_request_that_may_run_once_is_sent_again_only_after_a_rejection(
    make_job, retry_safety, outcome
):
    """Guards against a decision that precedes the outcome of the send."""
    job = make_job(retry_safety)
    job.begin_send("a")
    assert not job.may_send_again
    send(job, "b", outcome)
    assert not job.may_send_again
    assert job.failure(ErrorKind.OVERLOADED, 1.0).outcome is Outcome.UNKNOWN


def test_stale_connection_costs_an_attempt_once_its_endpoint_is_gone(make_job):
    job = make_job()
    send(job, "a", SendOutcome.STALE)
    assert (job.sends, job.failure(ErrorKind.OVERLOADED, 1.0).outcome) == (
        0,
        Outcome.UNKNOWN,
    )
    job.history.charge_stale()
    assert job.sends == 1
