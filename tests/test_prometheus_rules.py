"""The Prometheus rules name only metrics and labels that the daemons have."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
import yaml

from lacewingcourse.agent.metrics import AgentMetrics
from lacewingcourse.core.burn_report import ALARM_WINDOWS, FAST_RATE, MIN_SPENT
from lacewingcourse.entry.metrics import EntryMetrics
from lacewingcourse.relay.metrics import Metrics as RelayMetrics

RULES = Path(__file__).parents[1] / "ops" / "prometheus"
SUFFIXES = {
    "counter": ("_total",),
    "gauge": ("",),
    "histogram": ("_bucket", "_count", "_sum"),
}


def known_metrics() -> set[str]:
    """Return the names of all samples of the daemons."""
    names = set()
    for metrics in (EntryMetrics(), AgentMetrics(), RelayMetrics()):
        for family in metrics.registry.collect():
            names.update(family.name + suffix for suffix in SUFFIXES[family.type])
    return names


def rules_of(name: str) -> list[dict]:
    """Return the rules of a file."""
    document = yaml.safe_load((RULES / name).read_text())
    return [rule for group in document["groups"] for rule in group["rules"]]


@pytest.mark.parametrize(
    "name", ["recording.rules.yml", "alerting.rules.yml", "relay.rules.yml"]
)
def test_rules_name_only_metrics_that_exist(name):
    recorded = {rule["record"] for rule in rules_of("recording.rules.yml")}
    rules = rules_of(name)
    assert rules
    for rule in rules:
        named = set(re.findall(r"lacewingcourse[\w:]+", rule["expr"]))
        assert named, rule
        assert named <= known_metrics() | recorded, rule


def test_alerts_agree_with_the_reports_alarms():
    alerts = {rule["alert"]: rule for rule in rules_of("alerting.rules.yml")}
    for speed, alert in (
        ("fast", "LacewingcourseFastBurn"),
        ("slow", "LacewingcourseSlowBurn"),
    ):
        expression = alerts[alert]["expr"]
        windows = set(re.findall(r"burn_rate:(\w+)", expression))
        (expected,) = [
            set(windows) for key, windows in ALARM_WINDOWS.items() if key.value == speed
        ]
        assert windows == expected
        assert f">= {MIN_SPENT}" in expression
    (threshold,) = [
        rule["expr"]
        for rule in rules_of("recording.rules.yml")
        if rule["record"] == "lacewingcourse:burn_threshold_fast:1h"
    ]
    assert threshold.endswith(f"1, {FAST_RATE})")
