"""Tests of the history of prompt parts that crash endpoints."""

from __future__ import annotations

import pytest

from lacewingcourse.core.pipelines.crashes import AnswerProgress
from lacewingcourse.core.pipelines.prompt_parts import (
    CLEARING_TIME,
    FIRST_REFUSAL_TIME,
    LOSS_RETENTION,
    MAX_COMPANIONS,
    MAX_REFUSAL_TIME,
    MAX_REPORTED_LOSSES,
    MAX_REPORTED_PARTS,
    MAX_SOUND_PARTS,
    MAX_SUSPECTS,
    PartHistory,
)

from .part_fleet import PartFleet, Scene

BEGUN = AnswerProgress.BEGUN
#: Requests with a crashing part that may reach endpoints once it has to be known.
MAX_LATE_ARRIVALS = 3
#: Smallest share of the sound requests that begin at once, against before.
MIN_BEGUN_SHARE = 0.5
SCENES = {
    "three a second": Scene(),
    "one in four seconds": Scene(crashing_rate=0.25, duration=80.0),
    "ten a second, first part": Scene(crashing_rate=10.0, position=0),
    "middle part": Scene(position=1),
    "beside other crashes": Scene(crash_share=0.3),
    "seldom, beside other crashes": Scene(
        crashing_rate=0.25, crash_share=0.3, duration=80.0
    ),
    "restarting entries": Scene(crashing_rate=1.0, restarts=5.0),
    "frozen entries": Scene(crashing_rate=1.0, frozen=5.0),
    "gone for a minute and back": Scene(pause=(15.0, 80.0), duration=110.0),
    "all entries restart": Scene(crashing_rate=1.0, herd_at=25.0),
    "two parts": Scene(parts=2),
    "an event before the crash": Scene(early_event=True),
    "few endpoints, first part": Scene(
        crashing_rate=0.25, position=0, endpoints=8, duration=80.0
    ),
    "many entries": Scene(entries=40, duration=20.0),
}


def lose(history: PartHistory, parts: str, count: int, start: float = 0.0) -> None:
    """Lose endpoints, one a second, under requests with parts of one letter."""
    for number in range(count):
        at = start + number
        history.record_loss(tuple(parts), f"{parts}{start}{number}", BEGUN, at)


def refused(history: PartHistory, parts: str, now: float) -> str | None:
    """Judge a request; return the part for which it is refused."""
    history.judge(tuple(parts), now)
    return history.refused_part(tuple(parts), now)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("scene", SCENES.values(), ids=SCENES)
def test_a_crashing_part_stops_reaching_endpoints_and_sound_ones_do_not(scene, seed):
    fleet = PartFleet(scene, seed, PartHistory).run()
    assert fleet.late_arrivals <= MAX_LATE_ARRIVALS
    assert fleet.refused == []
    after = fleet.begun_share(fleet.known_at + 3.0, scene.duration)
    assert after >= MIN_BEGUN_SHARE * fleet.begun_share(0.0, 8.0)


@pytest.mark.parametrize("share", [0.3, 0.6])
def test_no_part_is_refused_when_endpoints_crash_for_another_reason(share):
    scene = Scene(crashing_rate=1e-9, crash_share=share, restarts=7.0)
    assert PartFleet(scene, 3, PartHistory).run().refused == []


def test_a_part_is_refused_once_three_endpoints_began_to_answer_it_and_were_lost():
    history = PartHistory()
    lose(history, "xp", 2)
    assert refused(history, "yp", 2.0) is None
    lose(history, "yp", 1, 2.0)
    assert refused(history, "zp", 3.0) == "p"


def test_one_endpoint_lost_under_several_requests_counts_once():
    history = PartHistory()
    for _ in range(5):
        history.record_loss(("p",), "a", BEGUN, 0.0)
    assert refused(history, "p", 1.0) is None


def test_an_established_answer_clears_a_part():
    history = PartHistory()
    lose(history, "p", 2)
    history.record_sound(("p",), 1.5)
    lose(history, "p", 2, 2.0)
    assert refused(history, "p", 4.0) is None


def test_an_answer_that_was_established_is_no_evidence():
    history = PartHistory()
    for number in range(9):
        history.record_loss(("p",), f"e{number}", AnswerProgress.ESTABLISHED, 0.0)
    assert refused(history, "p", 1.0) is None


def test_losses_under_a_refused_part_do_not_count_against_others():
    history = PartHistory()
    lose(history, "xp", 3)
    history.record_sound(("x",), 2.5)
    assert refused(history, "xp", 3.0) == "p"
    lose(history, "xp", 3, 3.0)
    assert refused(history, "xq", 6.0) is None


def test_only_requests_with_all_suspected_parts_are_refused():
    history = PartHistory()
    lose(history, "pxy", 3)
    assert refused(history, "pxy", 3.0) == "y"
    assert refused(history, "xy", 3.0) is None
    assert refused(history, "py", 3.0) is None


def test_a_further_loss_shows_which_of_several_parts_is_the_cause():
    history = PartHistory()
    lose(history, "pxy", 3)
    assert refused(history, "pxy", 3.0) == "y"
    lose(history, "px", 1, 3.0)
    assert refused(history, "px", 4.0) == "x"
    lose(history, "p", 1, 4.0)
    assert refused(history, "pz", 5.0) == "p"


def test_a_companion_that_a_lost_request_lacked_is_no_longer_needed():
    history = PartHistory()
    lose(history, "pxy", 3)
    assert refused(history, "pxy", 3.0) == "y"
    lose(history, "py", 1, 3.0)
    assert refused(history, "py", 4.0) == "y"
    assert refused(history, "zy", 4.0) is None


def test_a_sound_companion_leaves_the_crashing_part_refused():
    history = PartHistory()
    lose(history, "xp", 3)
    assert refused(history, "xp", 3.0) == "p"
    assert refused(history, "yp", 3.0) is None
    history.record_sound(("x",), 4.0)
    assert refused(history, "yp", 5.0) == "p"


def test_a_part_that_was_just_sound_is_not_refused_before_others_can_clear_it():
    history = PartHistory()
    history.record_sound(("p",), 0.0)
    for number in range(9):
        history.record_loss(("p",), f"e{number}", BEGUN, 1.0)
    assert refused(history, "p", 1.0 + CLEARING_TIME / 2) is None
    assert refused(history, "p", 1.0 + CLEARING_TIME) == "p"


def test_a_refusal_ends_and_a_single_loss_renews_it_for_longer():
    history = PartHistory()
    lose(history, "p", 3)
    assert refused(history, "p", 3.0) == "p"
    end = 3.0 + FIRST_REFUSAL_TIME
    history.expire(end)
    assert refused(history, "p", end) is None
    lose(history, "p", 1, end)
    assert refused(history, "p", end + 1.0) == "p"
    assert refused(history, "p", end + 1.5 * FIRST_REFUSAL_TIME) == "p"


def test_a_refusal_that_no_loss_renews_is_forgotten():
    history = PartHistory()
    lose(history, "p", 3)
    assert refused(history, "p", 3.0) == "p"
    end = 3.0 + FIRST_REFUSAL_TIME + MAX_REFUSAL_TIME
    assert history.expire(end) == ["p"]
    lose(history, "p", 1, end)
    assert refused(history, "p", end + 1.0) is None


def test_an_established_answer_lifts_a_refusal():
    history = PartHistory()
    lose(history, "p", 3)
    assert refused(history, "p", 3.0) == "p"
    assert history.record_sound(("p",), 4.0) == ["p"]
    assert refused(history, "p", 5.0) is None


def test_losses_of_several_entries_add_up():
    entries = [PartHistory() for _ in range(3)]
    for number, history in enumerate(entries):
        history.record_loss(("p",), f"e{number}", BEGUN, 0.0)
    for history in entries[1:]:
        entries[0].from_peer(history.reports(1.0), 1.0)
    assert refused(entries[0], "p", 1.0) == "p"


def test_a_refusal_reaches_an_entry_that_saw_no_loss_and_is_passed_on():
    seen, relay, late = PartHistory(), PartHistory(), PartHistory()
    lose(seen, "p", 3)
    assert refused(seen, "p", 3.0) == "p"
    assert relay.from_peer(seen.reports(4.0), 4.0) == ["p"]
    assert late.from_peer(relay.reports(5.0), 5.0) == ["p"]
    assert late.refused["p"].at == pytest.approx(3.0)


def test_messages_do_not_prolong_a_refusal():
    first, second = PartHistory(), PartHistory()
    lose(first, "p", 3)
    assert refused(first, "p", 3.0) == "p"
    for step in range(100):
        now = 4.0 + step
        second.from_peer(first.reports(now), now + 0.05)
        first.from_peer(second.reports(now), now + 0.05)
    assert first.refused["p"].at == pytest.approx(3.0)
    assert second.refused["p"].at == pytest.approx(3.05, abs=0.01)


def test_a_doubted_part_that_is_sound_is_reported_as_sound():
    doubting, other = PartHistory(), PartHistory()
    lose(doubting, "p", 2)
    other.record_sound(("p",), 1.5)
    assert other.reports(1.5) == {}
    other.from_peer(doubting.reports(2.0), 2.0)
    doubting.from_peer(other.reports(2.0), 2.0)
    assert doubting.losses == {}


def test_a_refusal_that_was_lifted_is_not_adopted_again():
    cleared, late = PartHistory(), PartHistory()
    lose(cleared, "p", 3)
    assert refused(cleared, "p", 3.0) == "p"
    late.from_peer(cleared.reports(3.0), 3.0)
    cleared.record_sound(("p",), 4.0)
    assert cleared.from_peer(late.reports(5.0), 5.0) == []
    assert refused(cleared, "p", 5.0) is None


def test_an_answer_lifts_a_refusal_at_all_entries_after_its_losses_have_expired():
    cleared, other = PartHistory(), PartHistory()
    lose(cleared, "p", 3)
    assert refused(cleared, "p", 3.0) == "p"
    other.from_peer(cleared.reports(3.0), 3.0)
    later = 3.0 + LOSS_RETENTION
    for history in (cleared, other):
        history.expire(later)
    cleared.record_sound(("p",), later)
    other.from_peer(cleared.reports(later), later)
    assert refused(other, "p", later) is None


def test_an_entry_that_missed_the_end_of_a_refusal_learns_of_it():
    cleared, late = PartHistory(), PartHistory()
    lose(cleared, "p", 3)
    assert refused(cleared, "p", 3.0) == "p"
    late.from_peer(cleared.reports(3.0), 3.0)
    cleared.record_sound(("p",), 4.0)
    cleared.expire(20.0)
    cleared.from_peer(late.reports(20.0), 20.0)
    late.from_peer(cleared.reports(20.0), 20.0)
    assert refused(late, "p", 20.0) is None


def test_a_part_that_is_lost_again_is_remembered_beside_many_others():
    history = PartHistory()
    for endpoint in ("a", "b", "c"):
        for number in range(MAX_SUSPECTS - 1):
            rare = (f"rare {endpoint}{number}",)
            history.record_loss(rare, endpoint, BEGUN, 0.0)
        history.record_loss(("p",), endpoint, BEGUN, 0.0)
    assert refused(history, "p", 1.0) == "p"


def test_an_entry_that_has_just_started_needs_more_evidence():
    history = PartHistory(started_at=0.0)
    for number in range(3):
        history.record_loss(("p",), f"e{number}", BEGUN, 0.5)
    assert refused(history, "p", 0.5) is None
    assert refused(history, "p", CLEARING_TIME) == "p"


def test_what_callers_name_is_bounded():
    history = PartHistory()
    for number in range(3 * MAX_SOUND_PARTS):
        history.record_loss((f"lost {number}",), "e", BEGUN, 0.0)
        history.record_sound((f"sound {number}",), 0.0)
    assert len(history.losses) == MAX_SUSPECTS
    assert len(history.sound) == MAX_SOUND_PARTS
    assert len(history.reports(0.0)) <= MAX_REPORTED_PARTS


def test_reports_stay_small_when_many_endpoints_are_lost_under_many_parts():
    history = PartHistory()
    parts = tuple(f"mapchat {number:08x}" for number in range(200))
    for number in range(300):
        endpoint = f"i-{number:010x}@1787595702702"
        history.record_loss(parts, endpoint, BEGUN, 0.0)
    for first in range(0, 200, 10):
        history.judge(parts[first : first + 10], 1.0)
    reports = history.reports(1.0)
    assert len(reports) <= 2 * MAX_REPORTED_PARTS
    assert max(len(r.losses) for r in reports.values()) <= MAX_REPORTED_LOSSES
    assert max(len(r.companions) for r in reports.values()) <= MAX_COMPANIONS


def test_nothing_is_reported_while_no_endpoint_is_lost():
    history = PartHistory()
    history.record_sound(("p", "q"), 0.0)
    assert history.reports(1.0) == {}


def test_losses_expire():
    history = PartHistory()
    lose(history, "p", 2)
    history.expire(1.0 + LOSS_RETENTION)
    assert history.losses == {}
    lose(history, "p", 2, 1.0 + LOSS_RETENTION)
    assert refused(history, "p", 3.0 + LOSS_RETENTION) is None
