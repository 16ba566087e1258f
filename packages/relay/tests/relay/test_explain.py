"""Tests of the timeline of one request."""

from __future__ import annotations

import json

from lacewingcourse.relay.explain import read_lines, timeline_of


def line(at, event, process="edge-1", **fields):
    """Return a log line."""
    return {"time": at, "level": "INFO", "event": event, "process": process, **fields}


def test_lines_of_several_files_are_put_in_order_of_time(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    late = json.dumps(line(2.0, "served", request="r"))
    first.write_text(f"   0.1 edge-1 {late}\nno log line\n{{broken\n")
    second.write_text(json.dumps(line(1.0, "sent", request="r")) + "\n")
    found = read_lines([str(first), str(second)])
    assert [entry["event"] for entry in found] == ["sent", "served"]


def test_a_timeline_holds_the_request_and_state_changes_before_it():
    lines = [
        line(1.0, "configuration", version=3),
        line(8.0, "suspected", endpoints=["e1"]),
        line(8.5, "suspected", process="edge-2", endpoints=["e2"]),
        line(9.0, "sent", request="r", endpoint="e3"),
        line(9.2, "sent", request="other"),
        line(9.3, "lost", request="r", reason="closed"),
        line(9.5, "refused", request="r", kind="stage_lost", took_ms=600.0),
        line(9.6, "endpoint_gone", endpoint="e3"),
    ]
    timeline = timeline_of("r", lines)
    assert [text.split()[3] for text in timeline] == [
        "suspected",
        "sent",
        "lost",
        "refused",
    ]
    assert "kind=stage_lost" in timeline[-1]


def test_an_unknown_request_has_no_timeline():
    assert timeline_of("r", [line(1.0, "started")]) == []
