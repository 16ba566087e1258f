"""Tests of endpoints that are excluded for a while."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.suspects import (
    FIRST_EXCLUSION,
    RECHECK_DELAY,
    Grade,
    Suspects,
    is_full,
    rejection_grade,
)


def test_an_endpoint_is_excluded_for_some_time():
    suspects = Suspects()
    suspects.suspect("a", "reset", now=0.0)
    assert suspects.excluded(FIRST_EXCLUSION - 0.1) == {"a"}
    assert suspects.excluded(FIRST_EXCLUSION) == set()


def test_repeated_failures_double_the_exclusion():
    suspects = Suspects()
    suspects.suspect("a", "reset", now=0.0)
    again = suspects.suspect("a", "reset", now=FIRST_EXCLUSION)
    assert again.until == FIRST_EXCLUSION + 2 * FIRST_EXCLUSION


def test_a_peers_exclusion_is_not_forwarded():
    suspects = Suspects()
    suspects.from_peer("a", 1.5, now=0.0)
    assert suspects.excluded(1.0) == {"a"}
    assert suspects.remaining(1.0) == {}


@pytest.mark.parametrize(
    ("misdirected", "filled", "full"),
    [(False, 0.95, True), (False, 0.1, False), (True, 0.95, False)],
    ids=["full", "dead", "without the layers"],
)
def test_only_an_endpoint_short_of_memory_is_full(misdirected, filled, full):
    assert is_full(misdirected, filled) is full


@pytest.mark.parametrize(
    ("misdirected", "by_itself", "grade"),
    [
        (True, True, Grade.GONE),
        (True, False, Grade.GONE),
        (False, True, Grade.LOST),
        (False, False, Grade.DOUBTFUL),
    ],
)
def test_an_endpoint_that_another_names_in_a_rejection_is_doubtful(
    misdirected, by_itself, grade
):
    assert rejection_grade(misdirected, by_itself) is grade


def test_only_endpoints_that_do_not_answer_are_silent():
    suspects = Suspects()
    suspects.suspect("a", "rejected with 503", now=0.0)
    suspects.suspect("b", "no report", now=0.0, silent=True)
    suspects.from_peer("c", 2.0, now=0.0)
    suspects.from_peer("d", 2.0, now=0.0, silent=True)
    assert suspects.excluded(0.1) == set("abcd")
    assert suspects.silent(0.1) == {"b", "d"}
    assert suspects.silent(10.0) == set()


def test_an_excluded_endpoint_may_become_silent():
    suspects = Suspects()
    suspects.suspect("a", "rejected with 503", now=0.0)
    suspects.suspect("a", "no report", now=0.1, silent=True)
    suspects.suspect("b", "rejected with 503", now=0.0)
    suspects.from_peer("b", 1.0, now=0.1, silent=True)
    suspects.from_peer("b", 1.0, now=0.2, silent=False)
    assert suspects.silent(0.3) == {"a", "b"}


def test_reported_exclusions_last_longer_than_observed_ones():
    """Only the entry that saw a failure tries the endpoint again first.

    A leaving engine was not listed as such, because the directory was unavailable. All
    thirty entries excluded it for two seconds and then sent it requests at the same
    moment. Each was rejected and used one of the few retries that streams behind a lost
    endpoint needed.
    """
    observer, informed = Suspects(), Suspects()
    observer.suspect("a", "rejected with 503", now=0.0)
    informed.from_peer("a", FIRST_EXCLUSION, now=0.0)
    assert observer.excluded(FIRST_EXCLUSION) == set()
    assert informed.excluded(FIRST_EXCLUSION) == {"a"}
    assert informed.excluded(FIRST_EXCLUSION + RECHECK_DELAY) == set()


def test_a_further_failure_reported_by_a_peer_extends_the_exclusion():
    suspects = Suspects()
    suspects.suspect("a", "rejected with 503", now=0.0)
    suspects.from_peer("a", 2 * FIRST_EXCLUSION, now=FIRST_EXCLUSION - 0.1)
    assert suspects.excluded(FIRST_EXCLUSION) == {"a"}
    assert suspects.excluded(3 * FIRST_EXCLUSION) == {"a"}


def test_failures_reported_by_a_peer_count_for_the_next_exclusion():
    suspects = Suspects()
    suspects.from_peer("a", 2 * FIRST_EXCLUSION, now=0.0)
    again = suspects.suspect("a", "rejected with 503", now=5.0)
    assert again.until == 5.0 + 4 * FIRST_EXCLUSION


@pytest.mark.parametrize("delay", [0.01, 0.1])
def test_entries_do_not_prolong_an_exclusion_by_reporting_it(delay):
    """The remaining time in a report does not shrink while the report is in transit."""
    one, other = Suspects(), Suspects()
    one.suspect("a", "reset", now=0.0)
    other.suspect("a", "reset", now=0.05)
    now = 0.1
    while now < 20.0 and (one.excluded(now) or other.excluded(now)):
        for sender, receiver in ((one, other), (other, one)):
            for endpoint, remaining in sender.remaining(now).items():
                receiver.from_peer(endpoint, remaining, now + delay)
        now += 0.2
    assert now <= FIRST_EXCLUSION + 2 * RECHECK_DELAY


def count_rejections(entries: int, news_delay: float, seconds: float) -> int:
    """Return the rejections of an endpoint that the directory does not show as leaving.

    Every entry has a request each 0.1 seconds, and receives the observations of others
    with a delay.

    Args:
        entries: Number of entries.
        news_delay: Seconds until an observation reaches the other entries.
        seconds: Duration of the simulation.
    """
    tables = [Suspects() for _ in range(entries)]
    due: list[tuple[float, int, float]] = []
    rejected = 0
    for step in range(int(seconds * 100)):
        now = step / 100
        for at, sender, remaining in [d for d in due if d[0] <= now]:
            due.remove((at, sender, remaining))
            for number, table in enumerate(tables):
                if number != sender:
                    table.from_peer("a", remaining - news_delay, now, same_zone=False)
        for number, table in enumerate(tables):
            if step % 10 == number % 10 and "a" not in table.excluded(now):
                rejected += 1
                found = table.suspect("a", "rejected with 503", now)
                due.append((now + news_delay, number, found.until - now))
    return rejected


@pytest.mark.parametrize("news_delay", [0.03, 0.1])
def test_a_rejecting_endpoint_costs_few_retries(news_delay):
    """An endpoint rejects for ten seconds, and the directory does not report it.

    It is excluded for 2, 4 and 8 seconds, so it is tried at three times, each time by
    the entries that have a request before they learn of the first rejection.
    """
    at_a_time = 30 * min(1.0, (news_delay + 0.01) / 0.1)
    assert (
        count_rejections(entries=30, news_delay=news_delay, seconds=10.0)
        <= 3 * at_a_time
    )


def test_a_later_failure_during_an_exclusion_raises_its_grade():
    suspects = Suspects()
    suspects.suspect("a", "late report", now=0.0, silent=True, grade=Grade.SLOW)
    suspects.suspect("a", "refused", now=0.1, grade=Grade.GONE)
    suspects.suspect("a", "late report", now=0.2, silent=True, grade=Grade.SLOW)
    assert suspects.grades(0.3) == {"a": Grade.GONE}
    assert suspects.grades(FIRST_EXCLUSION) == {}


def test_a_late_answer_shows_that_a_doubtful_endpoint_is_slow():
    suspects = Suspects()
    suspects.suspect("a", "no report", now=0.0, silent=True)
    suspects.suspect("b", "rejected with 503", now=0.0)
    for endpoint in "ab":
        suspects.record_late_answer(endpoint, 0.2)
    assert suspects.grades(0.3) == {"a": Grade.SLOW, "b": Grade.LOST}
    assert suspects.excluded(0.3) == {"a", "b"}


def test_the_lowest_grade_that_peers_report_counts_unless_one_knows_it_gone():
    suspects = Suspects()
    for grade in (Grade.DOUBTFUL, Grade.SLOW, Grade.LOST):
        suspects.from_peer("a", 2.0, now=0.0, silent=True, grade=grade)
    assert suspects.grades(0.1) == {"a": Grade.SLOW}
    suspects.from_peer("a", 2.0, now=0.0, grade=Grade.GONE)
    suspects.from_peer("a", 2.0, now=0.0, grade=Grade.SLOW)
    assert suspects.grades(0.1) == {"a": Grade.GONE}


def test_a_peers_grade_does_not_lower_what_this_entry_observed():
    suspects = Suspects()
    suspects.suspect("a", "no connection", now=0.0, grade=Grade.LOST)
    suspects.from_peer("a", 2.0, now=0.0, grade=Grade.SLOW)
    assert suspects.grades(0.1) == {"a": Grade.LOST}


@pytest.mark.parametrize(
    ("silent", "grade"), [(True, Grade.DOUBTFUL), (False, Grade.LOST)]
)
def test_a_report_without_a_grade_has_the_assumed_one(silent, grade):
    suspects = Suspects()
    suspects.from_peer("a", 2.0, now=0.0, silent=silent)
    assert suspects.grades(0.1) == {"a": grade}
