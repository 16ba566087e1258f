"""Tests of requests that crash endpoints."""

from __future__ import annotations

from lacewingcourse.core.pipelines.crashes import (
    CRASH_KEPT,
    CrashBook,
    fingerprint_of,
)


def test_a_request_is_refused_after_three_endpoints_were_lost_under_it():
    book = CrashBook()
    assert not book.strike("r", "a", now=0.0)
    assert not book.strike("r", "b", now=1.0)
    assert book.strike("r", "c", now=2.0)
    assert not book.is_refused("other", now=2.0)


def test_one_endpoint_lost_several_times_counts_once():
    book = CrashBook()
    for at in range(5):
        assert not book.strike("r", "a", now=float(at))


def test_losses_that_peers_saw_count():
    book = CrashBook()
    book.strike("r", "a", now=0.0)
    book.from_peer({"r": {"b": 0.0, "c": 0.0}}, now=1.0)
    assert book.is_refused("r", now=1.0)
    assert set(book.losses(now=1.0)["r"]) == {"a"}


def test_a_request_that_ran_to_its_end_is_cleared():
    book = CrashBook()
    for name in "ab":
        book.strike("r", name, now=0.0)
    book.clear("r")
    assert not book.strike("r", "c", now=1.0)


def test_losses_count_for_a_while_only():
    book = CrashBook()
    for name in "abc":
        book.strike("r", name, now=0.0)
    assert not book.is_refused("r", now=CRASH_KEPT)
    book.expire(now=CRASH_KEPT)
    assert book.losses(now=CRASH_KEPT) == {}


def test_fingerprints_tell_fields_apart():
    assert fingerprint_of(b"ab", b"c") != fingerprint_of(b"a", b"bc")
    assert fingerprint_of(b"ab", b"c") == fingerprint_of(b"ab", b"c")
