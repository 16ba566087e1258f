"""Tests of how layers are held."""

from __future__ import annotations

from hypothesis import given, strategies as st

from lacewingcourse.core.configuration import Model
from lacewingcourse.core.endpoints import EndpointState
from lacewingcourse.core.holdings import holdings_of
from lacewingcourse.core.layers import LayerRange

MODEL = Model("mapchat", 12)


@st.composite
def endpoint(draw):
    first = draw(st.integers(0, 11))
    return EndpointState(
        id="e",
        incarnation="i",
        availability_zone="a",
        agent_url="http://127.0.0.1:1",
        model=draw(st.sampled_from(["mapchat", "other"])),
        layers=LayerRange(first, draw(st.integers(first + 1, 12))),
        leaving=draw(st.booleans()),
    )


@given(st.lists(endpoint(), max_size=8))
def test_holdings_agree_with_a_count_of_each_layer(endpoints):
    found = holdings_of(MODEL, endpoints)
    counts = [
        sum(
            each.layers.first <= layer < each.layers.end
            for each in endpoints
            if each.model == "mapchat" and not each.leaving
        )
        for layer in range(12)
    ]
    spread = [
        holding.endpoints
        for holding in found.holdings
        for _ in range(holding.layers.first, holding.layers.end)
    ]
    assert spread == counts
    assert found.least == min(counts)
