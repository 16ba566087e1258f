"""Settings: one clear line for each bad one."""

from __future__ import annotations

import pytest

from lacewingcourse.agent.settings import AgentSettings
from lacewingcourse.daemon.settings import SettingErrors, describe, load_settings
from lacewingcourse.entry.settings import EntrySettings

GOOD = {
    "LACEWINGCOURSE_INSTANCE_ID": "entry-1",
    "LACEWINGCOURSE_AVAILABILITY_ZONE": "kgn-hall-a",
    "LACEWINGCOURSE_ADVERTISED_URL": "http://127.0.0.1:8000",
    "LACEWINGCOURSE_SHARED_SECRET": "s" * 16,
    "LACEWINGCOURSE_ADMIN_TOKEN": "t" * 16,
    "LACEWINGCOURSE_LOG_URL": "http://127.0.0.1:8001",
    "LACEWINGCOURSE_INSTANCE_LIST_URL": "http://127.0.0.1:8002",
    "LACEWINGCOURSE_ENDPOINT_URL": "http://127.0.0.1:8003",
}


def errors_of(kind: type, **flags: str) -> list[str]:
    """Return the lines for bad settings when some flags differ from good ones."""
    settings = load_settings(kind, GOOD, flags)
    if not isinstance(settings, SettingErrors):
        return []
    return [str(error) for error in settings.errors]


@pytest.mark.parametrize("kind", [EntrySettings, AgentSettings])
def test_good_settings_are_taken_and_flags_go_first(kind):
    settings = load_settings(kind, GOOD, {"instance_id": "other"})
    assert settings.instance_id == "other"
    assert settings.availability_zone == "kgn-hall-a"


@pytest.mark.parametrize(
    ("flag", "value", "reason"),
    [
        ("instance_id", "", "is not a name"),
        ("instance_id", "a\nb", "is not a name"),
        ("availability_zone", "hall a", "is not a name"),
        ("advertised_url", "http://host:80", "does not name an IP number"),
        ("advertised_url", "http://0.0.0.0:80", "no address that peers can reach"),
        ("advertised_url", "http://10.0.0.1", "does not name a port"),
        ("advertised_url", "http://10.0.0.1:99999", "is not a base URL"),
        ("log_url", "ftp://10.0.0.1", "is not a base URL"),
        ("log_url", "http://10.0.0.1/path", "is not a base URL"),
        ("log_url", "http://10.0.0.1:1/\r\nHost: x", "is not a base URL"),
        ("listen_address", "localhost", "is not an IP number"),
        ("listen_port", "70000", "is not a port between 0 and 65535"),
        ("listen_port", "http", "'http' is not a whole number"),
        ("route_patience", "nan", "is not a number above 0"),
        ("route_patience", "inf", "is not a number above 0"),
        ("route_patience", "soon", "'soon' is not a number"),
        ("max_body_bytes", "0", "is not a whole number of at least 1"),
        ("log_format", "xml", "is not one of human, json"),
        ("log_level", "LOUD", "is not one of DEBUG"),
        ("route_policy", "best", "is not one of"),
        ("shared_secret", "short", "shorter than 16 characters"),
        ("shared_secret", "s" * 16 + "\n", "other than printable ASCII"),
        ("admin_token", "s" * 16, "must differ from the shared secret"),
        ("advertised_url", "http://10.0.0.1:80", "cannot reach a loopback"),
        ("advertised_url", "http://127.0.0.1:8001", "URL of a platform service"),
    ],
)
def test_bad_setting_is_one_clear_line(flag, value, reason):
    (line,) = errors_of(EntrySettings, **{flag: value})
    assert reason in line
    assert "\n" not in line
    assert "--" in line and "LACEWINGCOURSE_" in line


def test_agent_refuses_its_own_url_as_the_endpoint():
    (line,) = errors_of(AgentSettings, endpoint_url="http://127.0.0.1:8000")
    assert line.startswith("--endpoint-url")


def test_all_bad_settings_are_told_at_once():
    lines = errors_of(AgentSettings, listen_port="x", log_level="x", batch_items="0")
    assert len(lines) == 3


def test_secrets_are_never_shown():
    settings = load_settings(EntrySettings, GOOD, {})
    shown = describe(settings)
    assert shown["shared_secret"] == shown["admin_token"] == "(hidden)"
    (line,) = errors_of(EntrySettings, shared_secret="hunter2")
    assert "hunter2" not in line
