"""Tests of strict decoding."""

from __future__ import annotations

import json

import attrs
import orjson
import pytest
from hypothesis import given, strategies as st

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.prompt_parts import PartReport
from lacewingcourse.core.pipelines.shape import Layers
from lacewingcourse.relay.decoding import MAX_REASON_LENGTH, StrictDecoder, Undecodable
from lacewingcourse.relay.peer_messages import (
    FleetSnapshot,
    GossipMessage,
    Scope,
    decode,
    encode,
)

#: Arbitrary JSON documents.
DOCUMENTS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@attrs.frozen
class Sample:
    """A document with a value of each basic type."""

    count: int
    share: float
    name: str
    sure: bool


GOOD = {"count": 1, "share": 0.5, "name": "a", "sure": True}


def gossip_message(**changes) -> GossipMessage:
    """Return a gossip message with changed fields."""
    return attrs.evolve(
        GossipMessage(
            name="entry-1",
            zone="east",
            address="10.0.0.1:1",
            leaving=False,
            version=1,
            version_age=0.5,
            position=3,
            position_age=0.5,
            scope=Scope.OWN,
            loads={"a": (1, 1, 100.0)},
            links=[("east", "west", 0.1)],
            suspects={"a": 1.0},
            speeds={"a": (5.0, 2.0)},
            crashes={"f": {"a": 1.0}},
            peers={"entry-2": ("10.0.0.2:1", "east", 0.1)},
            counts={"west": 2},
            holder="entry-1",
            fencing=1,
            parts={"p": PartReport({"a": (1.0, 0.5)}, 2.0, 3.0, 1, ["q"])},
        ),
        **changes,
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("count", "1"),
        ("count", 1.0),
        ("count", True),
        ("count", None),
        ("share", "0.5"),
        ("share", False),
        ("name", 1),
        ("sure", 1),
    ],
)
def test_a_value_of_another_type_is_refused_with_its_path(field, value):
    undecodable = StrictDecoder().structure(GOOD | {field: value}, Sample)
    assert isinstance(undecodable, Undecodable)
    assert f"$.{field}" in undecodable.reason


def test_whole_numbers_are_accepted_as_floats():
    found = StrictDecoder().structure(GOOD | {"share": 1}, Sample)
    assert found == Sample(1, 1.0, "a", True)


def test_a_reason_is_bounded():
    found = StrictDecoder().structure({"share": "x" * 9_000}, Sample)
    assert len(found.reason) <= MAX_REASON_LENGTH


def test_messages_between_entries_survive_a_round_trip():
    endpoint = Endpoint("a@5", "rooms", "10.0.0.1:1", "east", 6, name="a", born=5)
    endpoint = attrs.evolve(endpoint, layers=Layers(0, 4), sequence=9)
    fleet = FleetSnapshot(
        position=1, age=0.5, endpoints=[endpoint], lapsed={"a@5": 1.0}
    )
    assert decode(encode(fleet), FleetSnapshot) == fleet
    assert decode(encode(gossip_message()), GossipMessage) == gossip_message()


@given(st.binary())
def test_no_bytes_raise(body):
    for kind in (GossipMessage, FleetSnapshot):
        assert isinstance(decode(body, kind), (kind, Undecodable))


@given(st.sampled_from([a.name for a in attrs.fields(GossipMessage)]), DOCUMENTS)
def test_no_value_in_a_message_raises(field, value):
    document = orjson.loads(encode(gossip_message())) | {field: value}
    found = decode(json.dumps(document).encode(), GossipMessage)
    assert isinstance(found, (GossipMessage, Undecodable))
