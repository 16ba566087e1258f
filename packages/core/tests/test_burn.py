"""Tests of burn: judging ends, windows, rates, alarms, merging, history."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from lacewingcourse.core.burn_ends import (
    AnswerMeter,
    Lateness,
    RequestEnd,
    Result,
    result_of,
)
from lacewingcourse.core.burn_fleet import FleetMerge, Source
from lacewingcourse.core.burn_history import SummaryWriter
from lacewingcourse.core.burn_report import Budget, Speed, burn_of
from lacewingcourse.core.burn_windows import (
    NUMBERS,
    OTHER,
    WINDOWS,
    BurnBook,
    Counts,
    Pair,
)
from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal

DAY = 86400.0
CLASS = WorkClass("rooms", first_token=0.74, between_tokens=0.058, answer=5.0)


def end(
    result=Result.WHOLE,
    late=False,
    kind=None,
    organisation="o",
    completeness_budget=0.01,
    lateness_budget=0.05,
):
    return RequestEnd(
        work_class="rooms",
        organisation=organisation,
        target="mapchat",
        result=result,
        kind=kind,
        lateness=Lateness(answer=late),
        completeness_budget=completeness_budget,
        lateness_budget=lateness_budget,
    )


ENDS = st.builds(
    end,
    st.sampled_from(Result),
    st.booleans(),
    st.sampled_from([None, ErrorKind.OVERLOADED, ErrorKind.NO_ROUTE]),
    st.sampled_from(["o1", "o2"]),
    st.sampled_from([0.01, 0.001]),
)


def recount(events, oldest_start, organisation):
    """Count plainly what ended from a moment on."""
    chosen = [
        each
        for at, each in events
        if at >= oldest_start and each.organisation == organisation
    ]
    in_budget = [
        each
        for each in chosen
        if each.result not in (Result.CALLER_FAULT, Result.CALLER_GONE)
    ]
    whole = [each for each in in_budget if each.result is Result.WHOLE]
    return (
        len(chosen),
        len(in_budget) - len(whole),
        sum(each.lateness.late for each in whole),
        pytest.approx(sum(each.completeness_budget for each in in_budget)),
        pytest.approx(sum(each.lateness_budget for each in whole)),
    )


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 40000), ENDS), max_size=60))
def test_windows_agree_with_a_plain_recount(steps):
    book = BurnBook(since=0.0)
    now, events = 0.0, []
    for step, each in steps:
        now += step
        book.add(each, now)
        events.append((now, each))
    burn = burn_of(book, "entry-1", "run", now)
    rows = {row.organisation: row.windows for row in burn.rows}
    for organisation in {each.organisation for _, each in events}:
        for index, window in enumerate(WINDOWS):
            oldest = (now - window.length) // window.bucket * window.bucket
            counts = rows[organisation][index]
            found = (
                counts.ended,
                counts.incomplete,
                counts.late,
                counts.allowed_incomplete,
                counts.allowed_late,
            )
            assert found == recount(events, oldest, organisation)


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None)
def test_merged_entries_agree_with_one_that_saw_everything(seed):
    rng = random.Random(seed)
    alone, books = BurnBook(0.0), [BurnBook(0.0) for _ in range(3)]
    for _ in range(50):
        at = rng.uniform(0, DAY)
        each = end(rng.choice(list(Result)), rng.random() < 0.3, None, "o")
        alone.add(each, at)
        rng.choice(books).add(each, at)
    apart, together = FleetMerge(DAY), FleetMerge(DAY)
    apart.add(burn_of(alone, "entry", "run", DAY))
    for index, book in enumerate(books):
        together.add(burn_of(book, f"entry-{index}", f"run-{index}", DAY))
    for one, other in zip(apart.report().lines, together.report().lines, strict=True):
        for left, right in zip(one.rates, other.rates, strict=True):
            for field in attrs.fields(type(left.counts)):
                expected = getattr(left.counts, field.name)
                assert getattr(right.counts, field.name) == pytest.approx(expected)


def test_merge_adds_every_number():
    counts = Counts(*range(1, len(NUMBERS) + 1), kinds={"overloaded": 3})
    total = Counts(kinds={"no_route": 1})
    total.merge(counts)
    total.merge(counts)
    found = [getattr(total, name) for name in NUMBERS]
    assert found == [2 * number for number in range(1, len(NUMBERS) + 1)]
    assert total.kinds == {"no_route": 1, "overloaded": 6}


def lines_after(ends, now=DAY):
    book = BurnBook(0.0)
    for at, each in ends:
        book.add(each, at)
    merge = FleetMerge(now)
    merge.add(burn_of(book, "entry", "run", now))
    return merge.report().lines


def firing(line):
    return {(alarm.speed, alarm.budget) for alarm in line.alarms}


def test_fast_alarm_needs_both_its_windows():
    refused = end(Result.REFUSED, kind=ErrorKind.OVERLOADED)
    recent = [(DAY - 60, refused)] * 5 + [(DAY - 60, end())] * 5
    line, _ = lines_after(recent)
    assert (Speed.FAST, Budget.COMPLETENESS) in firing(line)
    over = [(DAY - 1800, refused)] * 5 + [(DAY - 60, end())] * 5
    line, _ = lines_after(over)
    assert (Speed.FAST, Budget.COMPLETENESS) not in firing(line)
    assert line.rates[1].completeness == pytest.approx(50)


def test_one_failure_in_a_quiet_class_fires_nothing():
    line, _ = lines_after([(DAY, end(Result.UNKNOWN)), (DAY, end())])
    assert line.alarms == ()


def test_wide_budget_can_fire_the_fast_alarm():
    ends = [(DAY, end(late=True, lateness_budget=0.25))] * 3
    line, _ = lines_after(ends + [(DAY, end(lateness_budget=0.25))])
    assert line.rates[0].lateness == pytest.approx(3.0)
    assert (Speed.FAST, Budget.LATENESS) in firing(line)


def test_budget_of_a_changed_target_holds_for_later_requests_only():
    before = [(DAY, end(completeness_budget=0.1))] * 10
    after = [(DAY, end(Result.REFUSED, completeness_budget=0.0))]
    line, _ = lines_after(before + after)
    assert line.rates[0].completeness == pytest.approx(1 / (1.0 + 1e-4))


def test_caller_faults_and_lost_callers_spend_no_budget():
    assert result_of(Refusal(ErrorKind.MALFORMED)) is Result.CALLER_FAULT
    assert result_of(Refusal(ErrorKind.OVERLOADED)) is Result.REFUSED
    lost = Refusal(ErrorKind.STAGE_LOST, outcome=Outcome.PARTIAL)
    assert result_of(lost) is Result.PARTIAL
    ends = [(DAY, end(Result.CALLER_FAULT)), (DAY, end(Result.CALLER_GONE))]
    line, _ = lines_after(ends)
    assert line.rates[0].completeness is None
    assert line.rates[0].counts.ended == 2


def test_meter_judges_the_percentile_of_gaps():
    meter = AnswerMeter(0.0, CLASS)
    now = 0.5
    meter.on_token(now)
    for index in range(20):
        now += 0.5 if index == 7 else 0.05
        meter.on_token(now)
    assert meter.lateness(now) == Lateness()
    assert meter.gap_at(0.95) == 0.058
    assert meter.worst_gap == pytest.approx(0.5)
    meter.on_token(now + 0.1)
    assert meter.lateness(now + 0.1) == Lateness(between_tokens=True)
    assert meter.end("o", "m", Result.WHOLE, None, 6.0).lateness.answer


def test_pairs_beyond_the_limit_share_one_row():
    book = BurnBook(0.0, max_pairs=2)
    pairs = [book.add(end(organisation=f"o{index}"), 1.0) for index in range(5)]
    assert pairs[2:] == [Pair("rooms", OTHER)] * 3
    book.add(end(organisation="o9"), 10 * DAY)
    assert Pair("rooms", "o9") in book.pairs


def test_replaced_entrys_history_comes_from_the_log_once():
    writer = SummaryWriter("entry-1", "old", since=0.0)
    for _ in range(4):
        writer.add(Pair("rooms", "o"), end(Result.REFUSED, kind=ErrorKind.NO_ROUTE))
    first = writer.offer(DAY - 7200)
    writer.add(Pair("rooms", "o"), end())
    assert writer.offer(DAY - 3600) is first
    writer.taken()
    second = writer.offer(DAY - 1800)
    merge = FleetMerge(DAY)
    book = BurnBook(DAY - 600)
    book.add(end(), DAY)
    merge.add(burn_of(book, "entry-2", "new", DAY))
    for summary in (first, first, second):
        merge.take(summary)
    live_copy = attrs.evolve(second, run="new", number=7)
    merge.take(live_copy)
    report = merge.report()
    line = report.lines[0]
    assert [rate.counts.refused for rate in line.rates] == [0, 0, 4, 4]
    assert [rate.counts.whole for rate in line.rates] == [1, 2, 2, 2]
    assert line.rates[3].counts.kinds == {"no_route": 4}
    gone = report.coverage[1]
    assert (gone.source, gone.until) == (Source.LOG, DAY - 1800)
    assert gone.observed[1] == 1800
