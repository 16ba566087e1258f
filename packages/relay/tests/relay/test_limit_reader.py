"""Tests of the limits that a reader takes from the answers of endpoints."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lacewingcourse.core.pipelines.request_limits import NO_LIMIT, LimitTable
from lacewingcourse.relay.decoding import Undecodable
from lacewingcourse.relay.limit_reader import LimitReader
from lacewingcourse.relay.ports import AnswerHead, AnswerKind


@pytest.fixture
def reader():
    """Return a reader, the limits that it stores and the lines that it logs."""
    lines = []
    log = SimpleNamespace(
        limit=lambda *fields: lines.append(("limit", *fields)),
        log_event=lambda event, **fields: lines.append((event, fields["endpoint"])),
    )
    made = LimitReader(LimitTable(), log, lambda: 2.0)
    return SimpleNamespace(observe=made.observe, limits=made.limits, lines=lines)


def answer(limit, answer_kind=AnswerKind.ANSWERED):
    return AnswerHead(200, HTTPHeaders(), answer_kind, limit=limit)


SENDING = SimpleNamespace(incarnation="a@1")


def test_a_limit_is_logged_when_it_changes(reader):
    for limit in (2.0, 2.0, 1.0):
        reader.observe(SENDING, answer(limit), 1.0)
    reader.observe(SENDING, answer(NO_LIMIT), 2.5)
    assert reader.lines == [
        ("limit", "a@1", 2.0, NO_LIMIT, "answer"),
        ("limit", "a@1", 1.0, 2.0, "answer"),
        ("limit", "a@1", NO_LIMIT, 1.0, "answer"),
    ]


@pytest.mark.parametrize("answer_kind", [AnswerKind.REJECTED, AnswerKind.BROKEN])
def test_only_an_answer_of_the_endpoint_ends_its_limit(reader, answer_kind):
    reader.observe(SENDING, answer(2.0, answer_kind), 1.0)
    reader.observe(SENDING, answer(NO_LIMIT, answer_kind), 2.5)
    assert reader.limits.named("a@1") == 2.0


def test_the_answer_to_another_request_names_nothing(reader):
    reader.observe(SENDING, answer(2.0, AnswerKind.FOREIGN), 1.0)
    assert reader.limits.members == {}


def test_an_unreadable_limit_keeps_the_last_one(reader):
    reader.observe(SENDING, answer(2.0), 1.0)
    reader.observe(SENDING, answer(Undecodable("no decimal number")), 2.5)
    assert reader.limits.named("a@1") == 2.0
    assert reader.lines[-1] == ("limit_unreadable", "a@1")
