"""Tests that the package of messages is whole: names listed, field types known."""

from __future__ import annotations

import importlib
import pkgutil

import attrs
import pytest

from lacewingcourse.core import messages

MODULES = [
    importlib.import_module(f"{messages.__name__}.{module.name}")
    for module in pkgutil.iter_modules(messages.__path__)
]
DEFINED = {
    name: value
    for module in MODULES
    for name, value in vars(module).items()
    if getattr(value, "__module__", "") == module.__name__ and not name.startswith("_")
}


def test_every_defined_name_is_listed_and_exported():
    assert sorted(messages.__all__) == sorted(DEFINED)
    for name, value in DEFINED.items():
        assert getattr(messages, name) is value


@pytest.mark.parametrize(
    "name", sorted(name for name, value in DEFINED.items() if attrs.has(value))
)
def test_field_types_resolve_in_the_defining_module(name):
    resolved = attrs.fields(attrs.resolve_types(DEFINED[name]))
    assert not any(isinstance(field.type, str) for field in resolved)
