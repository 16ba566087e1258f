"""Tests of poison verdicts."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.poison import (
    MAX_RECORDS,
    STRIKE_KEPT,
    VERDICT_KEPT,
    Clearance,
    CrashedItem,
    PoisonBook,
    PoisonNotice,
    Standing,
    Strike,
    fingerprint_of,
    suspects_of,
)


def test_two_crashes_alone_convict():
    book = PoisonBook()
    assert book.strike(Strike("f", "e1", "i.1", False), 0.0) is Standing.SUSPECT
    assert book.strike(Strike("f", "e2", "i.1", True), 1.0) is Standing.SUSPECT
    assert book.strike(Strike("f", "e3", "i.1", True), 2.0) is Standing.POISON
    assert book.convicted(3.0) == ["f"]


def test_survivor_becomes_a_suspect_at_its_second_crash():
    book = PoisonBook()
    first = Strike("f", "e1", "i.1", False, newcomer=False)
    second = Strike("f", "e2", "i.1", False, newcomer=False)
    assert book.strike(first, 0.0) is Standing.CLEAN
    assert book.strike(second, 1.0) is Standing.SUSPECT


def test_one_endpoint_that_keeps_crashing_convicts_nobody():
    book = PoisonBook()
    for crash in range(10):
        book.strike(Strike("f", "e1", f"i.{crash}", True), float(crash))
    assert book.standing("f", 10.0) is Standing.SUSPECT


def test_neighbour_of_a_culprit_is_cleared_by_one_run_alone():
    book = PoisonBook()
    for number in range(50):
        book.strike(Strike("innocent", f"e{number}", "i.1", False), float(number))
    assert book.standing("innocent", 50.0) is Standing.SUSPECT
    book.clear(Clearance("innocent"), 50.0)
    assert book.standing("innocent", 50.0) is Standing.CLEAN


def test_verdict_and_strikes_run_out():
    book = PoisonBook()
    book.strike(Strike("f", "e1", "i", True), 0.0)
    book.strike(Strike("f", "e2", "i", True), 0.0)
    assert book.standing("f", VERDICT_KEPT - 1) is Standing.POISON
    assert book.standing("f", VERDICT_KEPT + STRIKE_KEPT) is Standing.CLEAN
    book.forget(VERDICT_KEPT + STRIKE_KEPT)
    assert not book.records


def test_memory_is_bounded():
    book = PoisonBook()
    for number in range(MAX_RECORDS + 10):
        book.strike(Strike(str(number), "e1", "i", False), 0.0)
    assert len(book.records) == MAX_RECORDS
    assert "0" not in book.records


def test_fingerprint_ignores_nothing_but_key_and_caller():
    one = fingerprint_of("m", "1", "p")
    assert one == fingerprint_of("m", "1", "p")
    assert one != fingerprint_of("m", "2", "p")
    assert one != fingerprint_of("m", "1", "q")


def test_newcomers_are_suspected_first():
    old = CrashedItem("s1", 1, False)
    new = CrashedItem("s2", 1, True)
    assert suspects_of([old, new]) == [new]
    assert suspects_of([old]) == [old]


STRIKES = st.builds(
    Strike,
    fingerprint=st.sampled_from(["f", "g"]),
    endpoint=st.sampled_from(["e1", "e2", "e3"]),
    incarnation=st.sampled_from(["i.1", "i.2"]),
    solo=st.booleans(),
    newcomer=st.just(False),
    age=st.just(0.0),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(STRIKES, max_size=12), st.randoms(use_true_random=False))
def test_entries_that_hear_the_same_in_any_order_agree(strikes, rng):
    one, other = PoisonBook(), PoisonBook()
    one.merge(PoisonNotice(tuple(strikes)), 1.0)
    shuffled = strikes + strikes
    rng.shuffle(shuffled)
    other.merge(PoisonNotice(tuple(shuffled)), 1.0)
    for fingerprint in ("f", "g"):
        assert one.standing(fingerprint, 1.0) is other.standing(fingerprint, 1.0)
