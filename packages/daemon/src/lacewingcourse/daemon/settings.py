"""Settings from flags and environment variables, checked at start."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlsplit

import attrs
import environ

from lacewingcourse.daemon.checks import (
    boolean,
    count,
    one_of,
    port,
    positive,
    secret,
    url,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

T = TypeVar("T")

__all__ = [
    "PREFIX",
    "SettingError",
    "SettingErrors",
    "boolean",
    "count",
    "default_of",
    "describe",
    "flag_of",
    "load_settings",
    "one_of",
    "port",
    "positive",
    "secret",
    "setting_error",
    "url",
    "variable_of",
]

#: Prefix of every environment variable.
PREFIX = "LACEWINGCOURSE"


@attrs.frozen
class SettingError:
    """One bad setting.

    Attributes:
        flag: Flag of the setting.
        variable: Environment variable of the setting.
        reason: What is wrong.
    """

    flag: str
    variable: str
    reason: str

    def __str__(self) -> str:
        return f"{self.flag} ({self.variable}): {self.reason}"


@attrs.frozen
class SettingErrors:
    """All bad settings of one start."""

    errors: tuple[SettingError, ...]


def flag_of(name: str) -> str:
    """Return the flag of a setting."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return f"{PREFIX}_{name.upper()}"


def is_secret(name: str) -> bool:
    """Tell whether a setting's value is never shown."""
    return name.endswith(("secret", "token"))


def load_settings(
    kind: type[T], variables: Mapping[str, str], flags: Mapping[str, str | None]
) -> T | SettingErrors:
    """Read and check all settings; flags go before environment variables.

    Args:
        kind: Class made with `environ.config(prefix=PREFIX)`.
        variables: The environment.
        flags: Values of flags by name of the setting; None where not given.

    Returns:
        The settings, or every error there is.
    """
    merged: dict[str, str] = {}
    errors: list[SettingError] = []
    for attribute in attrs.fields(kind):
        name = attribute.name
        value = flags.get(name)
        if value is None:
            value = variables.get(variable_of(name))
        if value is None and attribute.default is not attrs.NOTHING:
            value = default_of(attribute)
        if value is None:
            errors.append(setting_error(name, "is not set"))
            continue
        merged[variable_of(name)] = value
        reason = check(attribute, value)
        if reason:
            errors.append(setting_error(name, reason))
    if errors:
        return SettingErrors(tuple(errors))
    settings = environ.to_config(kind, merged)
    together = tuple(check_together(settings))
    return SettingErrors(together) if together else settings


def check_together(settings: object) -> Iterator[SettingError]:
    """Yield what is wrong with settings that are right one by one."""
    token = getattr(settings, "admin_token", None)
    if token is not None and token == settings.shared_secret:
        yield setting_error("admin_token", "must differ from the shared secret")
    if settings.advertised_url in (settings.log_url, settings.instance_list_url):
        yield setting_error("advertised_url", "is the URL of a platform service")
    if getattr(settings, "endpoint_url", None) == settings.advertised_url:
        yield setting_error("endpoint_url", "is the agent's own advertised URL")
    listens_on_loopback = ip_address(settings.listen_address).is_loopback
    advertised = ip_address(urlsplit(settings.advertised_url).hostname)
    if listens_on_loopback and not advertised.is_loopback:
        reason = f"peers that use {settings.advertised_url} cannot reach a loopback"
        yield setting_error("listen_address", reason)


def default_of(attribute: attrs.Attribute) -> str | None:
    """Return the default of a setting as its text, or None if there is none."""
    entry = attribute.metadata["environ_config"]
    default = entry.default
    if type(default).__name__ == "Raise" or default is attrs.NOTHING:
        return None
    if isinstance(default, type):
        return None
    return str(default)


def check(attribute: attrs.Attribute, value: str) -> str:
    """Return what is wrong with a value, or an empty text."""
    converter = attribute.converter
    if converter is None:
        return ""
    try:
        converter(value)
    except (ValueError, TypeError) as error:
        return " ".join(str(error).splitlines())
    return ""


def setting_error(name: str, reason: str) -> SettingError:
    """Return the error of a setting."""
    return SettingError(flag_of(name), variable_of(name), reason)


def describe(settings: object) -> dict[str, str]:
    """Return the settings in force by name, secrets hidden."""
    shown = {}
    for attribute in attrs.fields(type(settings)):
        value = getattr(settings, attribute.name)
        hidden = is_secret(attribute.name) and value
        shown[attribute.name] = "(hidden)" if hidden else str(value)
    return shown
