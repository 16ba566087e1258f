"""The fold and its replicas under every order of records, gaps and peers."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from lacewingcourse.core.configuration import (
    ConfigurationRecord,
    Model,
    Organisation,
    WorkClass,
    change_of,
)
from lacewingcourse.core.configuration_fold import ConfigurationEntry, snapshot_of
from lacewingcourse.core.configuration_replica import (
    ConfigurationReplica,
    StreamEntry,
    StreamPage,
)
from lacewingcourse.core.publishing import PublicationAnswer, judge


def record(base, unique, target=1.0):
    """A change of one class, based on a version."""
    change = change_of("classes", "desk", WorkClass("desk", first_token=target))
    return ConfigurationRecord(f"{base}-{unique}", base, "ada", 0.0, (change,))


def page(log, first, offset, limit=1000):
    """Records of a log that has dropped those before `first`."""
    start = max(first, offset)
    shown = log[start : start + limit]
    entries = (StreamEntry(start + i, each, 0.0) for i, each in enumerate(shown))
    return StreamPage(first, len(log), tuple(entries))


def follow(replica, log, first=0):
    """Let a replica read a log to its end."""
    for _ in range(len(log) + 2):
        replica.take_page(page(log, first, replica.read_offset, 3), 1.0)
    return replica


def entry(base, unique, target=1.0):
    """A change as it stands in the log."""
    return ConfigurationEntry(change=record(base, unique, target))


def test_one_winner_per_version_and_a_repeat_applies_once():
    log = [entry(0, "a"), entry(0, "b"), entry(0, "a"), entry(1, "c"), entry(1, "c")]
    replica = follow(ConfigurationReplica(), log)
    assert replica.version == 2
    answers = [judge(replica, each).answer for each in ("0-a", "0-b", "1-c", "2-d")]
    assert answers == [
        PublicationAnswer.ACCEPTED,
        PublicationAnswer.CONFLICT,
        PublicationAnswer.ACCEPTED,
        PublicationAnswer.UNKNOWN,
    ]


def test_invalid_record_is_ignored_by_all_alike():
    wrong = change_of("models", "chat", Model("chat", 0))
    bad = ConfigurationRecord("0-bad", 0, "ada", 0.0, (wrong,))
    replica = follow(ConfigurationReplica(), [ConfigurationEntry(bad), entry(0, "a")])
    assert replica.version == 1
    judged = judge(replica, "0-bad")
    assert judged.answer is PublicationAnswer.INVALID
    assert judged.pointer == "/changes/0/model/layer_count"


def test_loser_of_a_dropped_race_is_not_taken_for_the_winner():
    log = [entry(0, "a"), entry(1, "winner", 1.0), entry(1, "loser", 2.0)]
    behind = follow(ConfigurationReplica(), log[:1])
    follow(behind, log, first=2)
    assert behind.version == 1
    assert behind.scan is not None
    peer = follow(ConfigurationReplica(), log)
    behind.take_peer(peer.tell(2.0, known=behind.version), 2.0)
    assert behind.state.configuration.classes["desk"].first_token == 1.0
    assert behind.scan is None


def test_reader_without_fold_starts_from_a_snapshot_and_its_tail():
    log = [entry(0, "a"), entry(1, "b")]
    log.append(snapshot_of(follow(ConfigurationReplica(), log).state))
    log += [entry(2, "c"), entry(2, "d")]
    whole = follow(ConfigurationReplica(), log)
    late = follow(ConfigurationReplica(), log, first=2)
    assert late.usable
    assert late.state == whole.state


def test_snapshot_that_does_not_cover_the_gap_is_not_used():
    log = [entry(0, "a")]
    old = snapshot_of(follow(ConfigurationReplica(), log).state)
    log += [entry(1, "b", 2.0), old, entry(1, "loser", 3.0)]
    late = follow(ConfigurationReplica(), log, first=2)
    assert not late.usable
    assert late.version == 0


def test_wrong_or_old_snapshot_changes_nothing_and_is_contradicted():
    log = [entry(0, "a"), entry(1, "b")]
    right = follow(ConfigurationReplica(), log)
    other = follow(ConfigurationReplica(), [entry(0, "x"), entry(1, "y", 9.0)])
    log += [
        snapshot_of(other.state),
        snapshot_of(follow(ConfigurationReplica(), log[:1]).state),
    ]
    log.append(snapshot_of(right.state))
    follow(right, log)
    assert right.state.configuration.classes["desk"].first_token == 1.0
    misled = follow(ConfigurationReplica(), log, first=2)
    assert not misled.usable
    misled.take_peer(right.tell(2.0), 2.0)
    assert misled.usable
    assert misled.state.lineage == right.state.lineage


def test_replica_without_fold_tells_none():
    fresh = ConfigurationReplica()
    assert fresh.tell(1.0).version == -1
    other = ConfigurationReplica()
    other.take_peer(fresh.tell(1.0), 1.0)
    assert not other.usable


def test_quiet_setting_gets_a_snapshot_before_retention_drops_it():
    replica = follow(ConfigurationReplica(), [entry(0, "a")])
    assert not replica.snapshot_due(20.0, 25.0, rank=0)
    assert replica.snapshot_due(26.0, 25.0, rank=0)
    assert not replica.snapshot_due(26.0, 25.0, rank=1)
    log = [entry(0, "a"), snapshot_of(replica.state)]
    replica.take_page(
        StreamPage(0, 2, (StreamEntry(1, log[1], 26.0),)),
        27.0,
    )
    assert not replica.snapshot_due(50.0, 25.0, rank=0)
    assert replica.snapshot_due(52.0, 25.0, rank=0)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(0, 2), st.integers(0, 3)),
        st.tuples(st.just("read"), st.integers(0, 2), st.integers(1, 4)),
        st.tuples(st.just("tell"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("drop"), st.integers(1, 3), st.just(0)),
        st.tuples(st.just("snapshot"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("restart"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("repeat"), st.integers(0, 9), st.just(0)),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_no_replica_reverts_or_differs_from_the_fold_of_the_whole_log(steps):
    log = []
    first = 0
    replicas = [ConfigurationReplica() for _ in range(3)]
    for step, one, other in steps:
        if step == "publish":
            base = max(0, replicas[one].version - other % 2)
            log.append(entry(base, f"{len(log)}", 1.0 + len(log)))
        elif step == "read":
            before = replicas[one].version
            offset = replicas[one].read_offset
            replicas[one].take_page(page(log, first, offset, other), 1.0)
            assert replicas[one].version >= before
        elif step == "tell" and one != other:
            before = replicas[other].version
            message = replicas[one].tell(1.0, known=replicas[other].version)
            replicas[other].take_peer(message, 1.0)
            assert replicas[other].version >= before
        elif step == "drop":
            first = min(first + one, len(log))
        elif step == "snapshot" and replicas[one].usable:
            log.append(snapshot_of(replicas[one].state))
        elif step == "restart":
            replicas[one] = ConfigurationReplica()
        elif step == "repeat" and one < len(log):
            log.append(log[one])
        for replica in replicas:
            if replica.usable:
                truth = follow(ConfigurationReplica(), log[: replica.state.offset])
                assert replica.state.configuration == truth.state.configuration
                assert replica.state.lineage == truth.state.lineage


def test_key_of_another_organisation_is_refused():
    key = "a" * 64
    first = change_of("organisations", "regie", Organisation("regie", (key,)))
    second = change_of("organisations", "mahoe", Organisation("mahoe", (key,)))
    bad = ConfigurationRecord("0-x", 0, "ada", 0.0, (first, second))
    replica = follow(ConfigurationReplica(), [ConfigurationEntry(bad)])
    assert judge(replica, "0-x").pointer == "/changes/0/organisation/key_hashes"
