"""What every part of an entry needs of the process that it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lacewingcourse.daemon.process import Process

if TYPE_CHECKING:
    import random

    from lacewingcourse.core.configuration import Configuration
    from lacewingcourse.entry.settings import EntrySettings


class Host(Process, Protocol):
    """The process of a part.

    Parts name what else they need, of the parts beside them, in protocols of their
    own that extend this one, so that none depends on the whole entry.

    Attributes:
        settings: The settings in force.
        rng: Source of randomness for decisions.
    """

    settings: EntrySettings
    rng: random.Random

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
