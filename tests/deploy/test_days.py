"""Tests of the day files that are played on every deployment."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).resolve().parents[2] / "deploy" / "days").glob("*.toml"))
#: Kinds of troubles and planned work that the deployments know.
KINDS = frozenset("""
    add_nodes after_ack_kill answer_lost applied_late big_config burst clock_step
    config_change config_storm core_cut garble give_up herd_kill hot_key hup idle_race
    kv_slow lossy node_cut node_freeze node_kill node_slow platform_compact
    platform_down platform_lost platform_slow release replace_core replace_with_reuse
    reset_conns retry_abuse revoke roll_term scale_in scale_out srv_crash srv_cut
    srv_flap srv_grey srv_lying_health srv_slow
    """.split())
#: Fields that name a part of a deployment; placeholders fit every one.
NAMING = ("service", "class", "zone", "to_zone")
PLACEHOLDER = re.compile(r"@[csz]\d")


def entries(day: dict) -> list[dict]:
    """Return the planned work and the faults of a day."""
    return [*day.get("plan", []), *day.get("faults", [])]


@pytest.fixture(scope="module")
def days() -> dict[str, dict]:
    """All days by file name."""
    return {path.stem: tomllib.loads(path.read_text()) for path in DAYS}


def test_a_day_bears_the_name_of_its_file_and_a_seed_of_its_own(days):
    assert [day["name"] for day in days.values()] == list(days)
    assert len({day["seed"] for day in days.values()}) == len(days)


def test_every_kind_of_trouble_is_on_some_day(days):
    found = {entry["kind"] for day in days.values() for entry in entries(day)}
    assert found == KINDS


def test_days_name_no_deployments_services_classes_or_zones(days):
    named = [
        entry[field]
        for day in days.values()
        for entry in entries(day)
        for field in NAMING
        if field in entry
    ]
    assert named
    assert [name for name in named if not PLACEHOLDER.fullmatch(name)] == []
