"""Prints tables and plain text without reading markup in them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from cleo.formatters.formatter import Formatter
from cleo.io.outputs.output import Type

if TYPE_CHECKING:
    from cleo.commands.command import Command


@attrs.frozen
class Table:
    """A table with its title.

    Attributes:
        title: What it shows.
        headers: Names of the columns.
        rows: Cells as text.
        notes: Lines below it.
    """

    title: str
    headers: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    notes: tuple[str, ...] = ()


def print_plain(command: Command, text: str) -> None:
    """Print text as it is."""
    command.io.write_line(text, type=Type.RAW)


def print_table(command: Command, table: Table) -> None:
    """Print a table with its title and notes."""
    print_plain(command, table.title)
    if table.rows:
        rows = [[Formatter.escape(cell) for cell in row] for row in table.rows]
        command.table(list(table.headers), rows).render()
    for note in table.notes:
        print_plain(command, note)
    print_plain(command, "")
