"""Tests of the delays that a reader takes from the answers of endpoints."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.backoff import BackoffTable
from lacewingcourse.core.pipelines.path import Part, Path
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.relay.backoff_reader import BackoffReader
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.ports import AnswerHead, AnswerKind, Sending

#: Time at which the reader reads, seconds.
NOW = 2.0
PATH = Path(
    (
        Part("a@1", "a:1", "east", Layers(0, 4)),
        Part("b@1", "b:1", "east", Layers(4, 8)),
    ),
    5.0,
)
SENDING = Sending("a", "a:1", PATH, 5.0, "", False, incarnation="a@1")
CALL = Sending("a", "a:1", None, 5.0, "", False, incarnation="a@1")


@pytest.fixture
def reader():
    """Return a reader, the delays that it stores and the lines that it logs."""
    lines = []
    log = SimpleNamespace(
        log_event=lambda event, **fields: lines.append((event, fields["endpoint"]))
    )
    backoffs = BackoffTable()
    made = BackoffReader(backoffs, log, lambda: NOW)
    return SimpleNamespace(observe=made.observe, backoffs=backoffs, lines=lines)


def rejection(delay, status=503, answer_kind=AnswerKind.REJECTED, at_fault=""):
    return AnswerHead(
        status, HTTPHeaders(), answer_kind, fault_address=at_fault, retry_after=delay
    )


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("sending", [SENDING, CALL])
def test_delay_of_a_rejection_is_stored_and_logged(reader, sending, status):
    reader.observe(sending, rejection(1.5, status), 1.9)
    assert reader.backoffs.remaining("a@1", NOW) == 1.5
    assert reader.lines == [("backoff", "a@1")]


@pytest.mark.parametrize(
    ("at_fault", "asking"),
    [("b:1", "b@1"), ("a:1", "a@1"), ("c:1", "a@1"), ("", "a@1")],
)
def test_delay_is_that_of_the_part_at_fault(reader, at_fault, asking):
    reader.observe(SENDING, rejection(1.5, at_fault=at_fault), 1.9)
    assert reader.backoffs.active(NOW) == {asking}


@pytest.mark.parametrize("answer_kind", [AnswerKind.BROKEN, AnswerKind.ANSWERED])
def test_delay_counts_whatever_the_answer_says_of_the_request(reader, answer_kind):
    reader.observe(SENDING, rejection(1.5, answer_kind=answer_kind), 1.9)
    assert reader.backoffs.active(NOW) == {"a@1"}


@pytest.mark.parametrize(
    "head",
    [
        rejection(None),
        rejection(0.0),
        rejection(1.5, status=200),
        rejection(1.5, status=421),
        rejection(1.5, answer_kind=AnswerKind.FOREIGN),
    ],
)
def test_answer_without_a_delay_of_this_endpoint_changes_nothing(reader, head):
    reader.observe(SENDING, head, 1.9)
    assert reader.backoffs.members == {} and reader.lines == []


def test_unreadable_delay_is_logged_and_changes_nothing(reader):
    reader.observe(SENDING, rejection(Undecodable("not seconds")), 1.9)
    assert reader.backoffs.members == {}
    assert reader.lines == [("backoff_unreadable", "a@1")]
