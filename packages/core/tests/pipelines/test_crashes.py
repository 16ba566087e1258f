"""Tests of the history of requests that crash endpoints."""

from __future__ import annotations

from lacewingcourse.core.pipelines.crashes import (
    CRASH_RETENTION,
    CrashHistory,
    fingerprint_of,
)


def test_a_request_is_refused_once_three_endpoints_were_lost_running_it():
    history = CrashHistory()
    assert not history.record_loss("r", "a", now=0.0)
    assert not history.record_loss("r", "b", now=1.0)
    assert history.record_loss("r", "c", now=2.0)
    assert not history.is_refused("other", now=2.0)


def test_one_endpoint_lost_several_times_counts_once():
    history = CrashHistory()
    for at in range(5):
        assert not history.record_loss("r", "a", now=float(at))


def test_losses_reported_by_peers_count():
    history = CrashHistory()
    history.record_loss("r", "a", now=0.0)
    history.from_peer({"r": {"b": 0.0, "c": 0.0}}, now=1.0)
    assert history.is_refused("r", now=1.0)
    assert set(history.losses(now=1.0)["r"]) == {"a"}


def test_a_completed_request_is_forgotten():
    history = CrashHistory()
    for name in "ab":
        history.record_loss("r", name, now=0.0)
    history.clear("r")
    assert not history.record_loss("r", "c", now=1.0)


def test_losses_expire():
    history = CrashHistory()
    for name in "abc":
        history.record_loss("r", name, now=0.0)
    assert not history.is_refused("r", now=CRASH_RETENTION)
    history.expire(now=CRASH_RETENTION)
    assert history.losses(now=CRASH_RETENTION) == {}


def test_fingerprints_depend_on_field_boundaries():
    assert fingerprint_of(b"ab", b"c") != fingerprint_of(b"a", b"bc")
    assert fingerprint_of(b"ab", b"c") == fingerprint_of(b"ab", b"c")
