"""The command `settings`: every setting with its flag, variable and meaning."""

from __future__ import annotations

import attrs
from cleo.commands.command import Command
from cleo.helpers import argument

from lacewingcourse.agent.settings import AgentSettings
from lacewingcourse.daemon.settings import default_of, flag_of, variable_of
from lacewingcourse.entry.settings import EntrySettings

#: Settings class of each program.
PROGRAMS = {"entry": EntrySettings, "agent": AgentSettings}
#: Exit code for a program that does not exist.
UNKNOWN_PROGRAM = 2


class SettingsCommand(Command):
    """Prints every setting of the programs."""

    name = "settings"
    description = "Print every setting of the entry or the agent, or of both"
    arguments = [argument("program", "entry or agent", optional=True)]

    def handle(self) -> int:
        program = self.argument("program")
        if program is not None and program not in PROGRAMS:
            self.line_error(f"no program {program!r}; known: {', '.join(PROGRAMS)}")
            return UNKNOWN_PROGRAM
        for each in [program] if program else PROGRAMS:
            self.line(f"# {each}")
            self.line("")
            for line in setting_lines(PROGRAMS[each]):
                self.line(line)
            self.line("")
        return 0


def setting_lines(kind: type) -> list[str]:
    """Return the settings of a settings class as a Markdown table."""
    lines = ["| flag | variable | default | meaning |", "|---|---|---|---|"]
    for attribute in attrs.fields(kind):
        default = default_of(attribute)
        shown = (
            "required" if default is None else f"`{default}`" if default else "empty"
        )
        meaning = attribute.metadata["environ_config"].help or ""
        flag, variable = flag_of(attribute.name), variable_of(attribute.name)
        lines.append(f"| `{flag}` | `{variable}` | {shown} | {meaning} |")
    return lines
