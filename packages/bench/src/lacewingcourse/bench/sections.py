"""The sections of the bench, and what each run of one gets."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    from lacewingcourse.bench.figures import Outcome


@attrs.frozen
class Subject:
    """The version of the daemons that is measured.

    Attributes:
        label: Name for people.
        python_path: Where its libraries are; empty for those installed.
    """

    label: str
    python_path: str = ""

    def variables(self) -> dict[str, str]:
        """Return the environment that makes a process run this version."""
        return {"PYTHONPATH": self.python_path} if self.python_path else {}


@attrs.frozen
class Options:
    """How a section is run.

    Attributes:
        subject: The version that is measured.
        scale: Factor on step times and targets; larger on a busy machine.
        seconds: Seconds that one load level is measured.
        levels: Loads as multiples of the bound.
        policies: Route policies; empty for all of the registry.
        seed: Seed of all that is drawn.
        progress: Gets a line whenever a part of a long section is done.
    """

    subject: Subject
    scale: float = 1.0
    seconds: float = 10.0
    levels: tuple[float, ...] = (0.5, 0.9, 1.5, 3.0)
    policies: tuple[str, ...] = ()
    seed: int = 1
    progress: Callable[[str], None] = print


SECTIONS: Registry[Callable[[Options], Outcome]] = Registry("section")
