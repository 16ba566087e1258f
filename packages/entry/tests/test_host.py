"""Tests that the entry and the agent offer what their parts ask for."""

from __future__ import annotations

import importlib
import inspect
import pkgutil

import pytest

from lacewingcourse import agent, entry
from lacewingcourse.agent.application import Agent
from lacewingcourse.agent.host import Host as AgentHost
from lacewingcourse.entry.application import Entry
from lacewingcourse.entry.host import Host as EntryHost


def protocols_of(package, base) -> list[type]:
    """Return the protocols of a package's parts that extend its host's."""
    found = set()
    for info in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
        module = importlib.import_module(info.name)
        members = inspect.getmembers(module, inspect.isclass)
        found.update(c for _, c in members if issubclass_of(c, base))
    return sorted(found, key=lambda c: c.__name__)


def issubclass_of(candidate: type, base: type) -> bool:
    """Tell whether a protocol extends another one."""
    return base in candidate.__mro__ and getattr(candidate, "_is_protocol", False)


def names_of(protocol: type) -> set[str]:
    """Return the attributes and methods that a protocol names."""
    names: set[str] = set()
    for part in protocol.__mro__:
        if getattr(part, "_is_protocol", False):
            names.update(getattr(part, "__annotations__", {}))
            names.update(n for n, v in vars(part).items() if is_member(n, v))
    return names


def is_member(name: str, value: object) -> bool:
    """Tell whether something in a class is a method or property of its own."""
    public = not name.startswith("_")
    return public and (inspect.isfunction(value) or isinstance(value, property))


def offered_by(application: type) -> set[str]:
    """Return the names that an application has, those set at its start among them."""
    names = set(dir(application))
    for part in application.__mro__:
        if inspect.isfunction(vars(part).get("__init__")):
            names.update(part.__init__.__code__.co_names)
    return names


@pytest.mark.parametrize(
    ("package", "base", "application"),
    [(entry, EntryHost, Entry), (agent, AgentHost, Agent)],
    ids=["entry", "agent"],
)
def test_parts_ask_for_nothing_that_is_not_there(package, base, application):
    protocols = protocols_of(package, base)
    assert len(protocols) > 3
    asked = set().union(*map(names_of, protocols))
    assert asked - offered_by(application) == set()
