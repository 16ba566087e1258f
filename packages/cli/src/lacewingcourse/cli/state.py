"""The commands `state` and `status`."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.cli.operator_client import (
    ask,
    entry_of,
    entry_option,
    token_of,
    token_option,
)
from lacewingcourse.cli.output import print_plain, print_table
from lacewingcourse.cli.state_text import problems, summary, tables
from lacewingcourse.core.errors import Refusal
from lacewingcourse.entry.state_api import OperatorState
from lacewingcourse.wire.codec import encode

#: Path of the state.
STATE_PATH = "/admin/v1/state"
#: Exit code when the state could not be had or is not good.
NOT_GOOD = 1
#: Exit code when no entry was named.
NO_ENTRY = 2


class EntryStateCommand(Command):
    """Asks an entry for its state; variants say how it is shown."""

    def handle(self) -> int:
        entry = entry_of(self.option("entry"))
        if not entry:
            self.line_error("no entry was named: give --entry URL")
            return NO_ENTRY
        token = token_of(self.option("token"))
        state = ask(entry + STATE_PATH, OperatorState, token)
        if isinstance(state, Refusal):
            self.line_error(f"no state: {state.reason}")
            return NOT_GOOD
        return self.show(state)

    def show(self, state: OperatorState) -> int:
        """Print a state and return the exit code."""
        raise NotImplementedError


class StateCommand(EntryStateCommand):
    """Shows what an entry knows and does."""

    name = "state"
    description = "Show the endpoints, models, routes and versions an entry knows"
    options = [
        entry_option(),
        token_option(),
        option("json", None, "Print the state as JSON", flag=True),
    ]

    def show(self, state: OperatorState) -> int:
        if self.option("json"):
            print_plain(self, encode(state).decode())
            return 0
        for table in tables(state):
            print_table(self, table)
        return 0


class StatusCommand(EntryStateCommand):
    """Says in a few lines whether an entry can serve every model."""

    name = "status"
    description = (
        "Say whether an entry is ready and every layer is held; exit code 1 if not"
    )
    options = [entry_option(), token_option()]

    def show(self, state: OperatorState) -> int:
        print_plain(self, summary(state))
        found = problems(state)
        for problem in found:
            print_plain(self, problem)
        return NOT_GOOD if found else 0
