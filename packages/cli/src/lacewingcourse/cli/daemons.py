"""The commands `entry` and `agent`."""

from __future__ import annotations

from lacewingcourse.agent.application import serve as serve_agent
from lacewingcourse.agent.settings import AgentSettings
from lacewingcourse.cli.daemon_command import (
    DaemonCommand,
    print_settings_option,
    setting_options,
)
from lacewingcourse.entry.application import serve as serve_entry
from lacewingcourse.entry.settings import EntrySettings


class EntryCommand(DaemonCommand):
    """Runs an entry."""

    name = "entry"
    description = "Run an entry: the process that callers and operators talk to"
    settings_class = EntrySettings
    options = [*setting_options(EntrySettings), print_settings_option()]

    def serve(self, settings):
        return serve_entry(settings)


class AgentCommand(DaemonCommand):
    """Runs an agent."""

    name = "agent"
    description = "Run an agent: the side process beside an endpoint"
    settings_class = AgentSettings
    options = [*setting_options(AgentSettings), print_settings_option()]

    def serve(self, settings):
        return serve_agent(settings)
