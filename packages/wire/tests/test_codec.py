"""Tests that no message of another process raises when it is decoded."""

from __future__ import annotations

import inspect
import json

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from lacewingcourse.backing import homes, instances, leases, log, weights
from lacewingcourse.core import configuration_fold, messages
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.wire.codec import decode


def classes_of(*modules) -> list[type]:
    """Return the attrs classes of some modules, without repeats."""
    found = {}
    for module in modules:
        for name, kind in inspect.getmembers(module, inspect.isclass):
            if attrs.has(kind):
                found[name] = kind
    return list(found.values())


KINDS = classes_of(messages, configuration_fold, homes, instances, leases, log, weights)
#: Values in an odd form, as JSON.
ODD_VALUES = [
    "null",
    "5",
    "-1",
    "0.5",
    "1e300",
    "1e400",
    str(2**64 - 1),
    "9" * 5_000,
    "[]",
    "{}",
    '"x"',
    *("[" * depth + "]" * depth for depth in (100, 900, 1_020, 2_000, 200_000)),
    '{"a":' * 900 + "1" + "}" * 900,
]
#: Any JSON document.
DOCUMENTS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_no_odd_value_of_a_message_raises(kind):
    """A record of the log that is no object ended the loop that follows the log."""
    names = [json.dumps(attribute.name) for attribute in attrs.fields(kind)]
    for value in ODD_VALUES:
        bodies = [value, *("{%s:%s}" % (name, value) for name in names)]
        bodies.append("{%s}" % ",".join(f"{name}:{value}" for name in names))
        for body in bodies:
            assert isinstance(decode(body.encode(), kind), (kind, Refusal))


@settings(derandomize=True, deadline=None)
@given(st.sampled_from(KINDS), st.data())
def test_no_document_raises(kind, data):
    names = [attribute.name for attribute in attrs.fields(kind)]
    fields = st.dictionaries(st.sampled_from(names), DOCUMENTS) if names else DOCUMENTS
    document = data.draw(DOCUMENTS | fields)
    found = decode(json.dumps(document).encode(), kind)
    assert isinstance(found, (kind, Refusal))


@settings(derandomize=True, deadline=None)
@given(st.sampled_from(KINDS), st.binary(max_size=50))
def test_no_bytes_raise(kind, body):
    assert isinstance(decode(body, kind), (kind, Refusal))


def test_bytes_that_are_no_json_are_malformed():
    found = decode(b"\xff{", log.LogPage)
    assert found.kind is ErrorKind.MALFORMED
    found = decode(b"[]", log.LogPage)
    assert found.kind is ErrorKind.INVALID_FIELD
