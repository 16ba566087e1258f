"""Settings from flags and environment variables, checked at start."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlsplit

import attrs
import environ

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

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


def url(value: str) -> str:
    """Check a base URL with an IP number or name and no path."""
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.path:
        raise ValueError(f"{value!r} is not a base URL such as http://10.0.0.1:8000")
    return value


def port(value: str) -> int:
    """Check a TCP port number; 0 lets the system choose."""
    number = int(value)
    if not 0 <= number <= 65535:
        raise ValueError(f"{value} is not a port between 0 and 65535")
    return number


def positive(value: str) -> float:
    """Check a number above zero."""
    number = float(value)
    if not number > 0:
        raise ValueError(f"{value} is not above 0")
    return number


def count(value: str) -> int:
    """Check a whole number of at least 1."""
    number = int(value)
    if number < 1:
        raise ValueError(f"{value} is not a whole number of at least 1")
    return number


def secret(value: str) -> str:
    """Check a secret of at least 16 characters."""
    if len(value) < 16:
        raise ValueError("shorter than 16 characters")
    return value


def boolean(value: str) -> bool:
    """Check a yes or no."""
    lowered = str(value).lower()
    if lowered in ("1", "true", "yes", "on"):
        return True
    if lowered in ("0", "false", "no", "off"):
        return False
    raise ValueError(f"{value!r} is neither true nor false")


def one_of(*names: str):
    """Return a check for one of some names."""

    def check(value: str) -> str:
        if value not in names:
            raise ValueError(f"{value!r} is not one of {', '.join(names)}")
        return value

    return check


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
    return environ.to_config(kind, merged)


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
        return str(error)
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
