"""Tests of the checks that CI runs on the sources."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

TOOLS = Path(__file__).resolve().parent.parent / "tools"


def load(name):
    """Return a tool as a module."""
    spec = importlib.util.spec_from_file_location(name, TOOLS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_a_circle_of_imports_is_found():
    tool = load("check_circles")
    assert tool.circle_in({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]
    assert tool.circle_in({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []


def test_imports_for_type_hints_count(tmp_path):
    path = tmp_path / "a.py"
    path.write_text("if TYPE_CHECKING:\n    from library.b import B\n")
    found = load("check_circles").imports_of(path, {"library", "library.b"})
    assert found == {"library.b"}


def test_modules_of_all_libraries_are_looked_at(tmp_path):
    for name, text in {
        "a": "from two import b\n",
        "b": "from one.a import A\n",
    }.items():
        package = tmp_path / "packages" / name / "src" / {"a": "one", "b": "two"}[name]
        package.mkdir(parents=True)
        (package / "__init__.py").write_text("")
        (package / f"{name}.py").write_text(text)
    tool = load("check_circles")
    assert tool.circle_in(tool.graph_of(tmp_path)) == ["one.a", "two.b", "one.a"]


def test_a_name_of_the_platform_is_found(tmp_path):
    path = tmp_path / "a.py"
    path.write_text('x = 1\nheader = "X-Secret"\n')
    found = load("check_names").problems(path, re.compile("X-Secret"))
    assert len(found) == 1
    assert ":2:" in found[0]


def test_the_adapters_headers_and_every_listed_name_are_found(tmp_path):
    tool = load("check_names")
    names = tool.own_headers() | tool.fields()
    assert len(tool.own_headers()) >= 11
    assert len(tool.fields()) >= 24
    path = tmp_path / "a.py"
    path.write_text("".join(f"x = '{name}'\n" for name in sorted(names)))
    assert len(tool.problems(path, tool.pattern_of(names))) == len(names)


def test_comments_that_tell_how_a_value_was_tuned_are_found():
    tool = load("check_comments")
    source = (
        '"""A module."""\n'
        "#: Seconds of a wait; callers got 0.71 of their answers (played).\n"
        "WAIT = 2.0\n"
        "def work():\n"
        '    """Work; it takes 20 ms."""\n'
    )
    told = [text for _, text in tool.comments_of(source) if tool.STORY.search(text)]
    assert len(told) == 2


def test_units_and_reasons_are_no_stories():
    tool = load("check_comments")
    for text in ("#: Seconds from 0 to 1.", "#: Bytes; HTTP/1.0 knows no chunks."):
        assert not tool.STORY.search(text)
