"""Commands that run a daemon with settings from flags and the environment."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING, Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.daemon.daemon import ListenError
from lacewingcourse.daemon.logs import configure_logs
from lacewingcourse.daemon.settings import (
    SettingErrors,
    default_of,
    describe,
    load_settings,
    variable_of,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

#: Exit code for bad settings.
BAD_SETTINGS = 2
#: Exit code for an address or port that cannot be used.
CANNOT_LISTEN = 3


def setting_options(kind: type) -> list:
    """Return one option for each setting of a settings class."""
    options = []
    for attribute in attrs.fields(kind):
        help_text = attribute.metadata["environ_config"].help or ""
        default = default_of(attribute)
        shown = f"{help_text} [{variable_of(attribute.name)}"
        shown += f", default {default}]" if default else "]"
        options.append(
            option(attribute.name.replace("_", "-"), None, shown, flag=False)
        )
    return options


class DaemonCommand(Command):
    """Runs a daemon; variants name its settings and its main function.

    Attributes:
        settings_class: Class of the settings.
    """

    settings_class: type

    def settings(self) -> Any:
        """Return the settings, or None after printing each bad one."""
        flags = {
            attribute.name: self.option(attribute.name.replace("_", "-"))
            for attribute in attrs.fields(self.settings_class)
        }
        settings = load_settings(self.settings_class, os.environ, flags)
        if not isinstance(settings, SettingErrors):
            return settings
        for error in settings.errors:
            self.line_error(f"bad setting {error}")
        return None

    def handle(self) -> int:
        settings = self.settings()
        if settings is None:
            return BAD_SETTINGS
        if self.option("print-settings"):
            for name, value in describe(settings).items():
                self.line(f"{variable_of(name)}={value}")
            return 0
        configure_logs(settings.instance_id, settings.log_format, settings.log_level)
        try:
            asyncio.run(self.serve(settings))
        except ListenError as error:
            self.line_error(str(error))
            return CANNOT_LISTEN
        return 0

    def serve(self, settings: Any) -> Coroutine:
        """Return the work of the daemon."""
        raise NotImplementedError


def print_settings_option():
    """Return the option that shows the settings in force."""
    return option(
        "print-settings", None, "Print the settings in force and end", flag=True
    )
