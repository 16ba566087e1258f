"""The command line application."""

from __future__ import annotations

import sys
from importlib.metadata import entry_points, version

from cleo.application import Application

from lacewingcourse.cli.daemons import AgentCommand, EntryCommand
from lacewingcourse.cli.item_commands import ITEM_COMMANDS
from lacewingcourse.cli.load import LoadCommand
from lacewingcourse.cli.publishing_commands import PUBLISHING_COMMANDS
from lacewingcourse.cli.report import ReportBurnCommand
from lacewingcourse.cli.settings_command import SettingsCommand
from lacewingcourse.cli.state import StateCommand, StatusCommand

COMMANDS = [
    EntryCommand,
    AgentCommand,
    LoadCommand,
    SettingsCommand,
    ReportBurnCommand,
    *ITEM_COMMANDS,
    *PUBLISHING_COMMANDS,
    StateCommand,
    StatusCommand,
]
#: Group of entry points under which other libraries bring commands of their own.
COMMAND_GROUP = "lacewingcourse.commands"


def build() -> Application:
    """Return the application with all its commands, other libraries' among them."""
    application = Application("lacewingcourse", version("lacewingcourse-cli"))
    brought = [point.load() for point in entry_points(group=COMMAND_GROUP)]
    for command in [*COMMANDS, *brought]:
        application.add(command())
    return application


def main() -> None:
    """Run the command that the arguments name."""
    sys.exit(build().run())
