"""Distributions of prompt and answer lengths, written as short texts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

#: A lognormal length is cut off at this multiple of its median.
LONGEST = 16.0

DISTRIBUTIONS: Registry[Callable[..., int]] = Registry("length distribution")


@DISTRIBUTIONS.register("fixed")
def fixed(rng: random.Random, value: float) -> int:
    """Return always the same length."""
    return round(value)


@DISTRIBUTIONS.register("uniform")
def uniform(rng: random.Random, low: float, high: float) -> int:
    """Return any length between two, both included, equally likely."""
    return rng.randint(round(low), round(high))


@DISTRIBUTIONS.register("lognormal")
def lognormal(rng: random.Random, median: float, sigma: float) -> int:
    """Return a length with a long tail above the median."""
    factor = min(rng.lognormvariate(0.0, sigma), LONGEST)
    return round(median * factor)


@attrs.frozen
class Lengths:
    """A distribution with its arguments.

    Attributes:
        name: Name in the registry.
        arguments: Its numbers.
    """

    name: str
    arguments: tuple[float, ...]

    def draw(self, rng: random.Random) -> int:
        """Return a length of at least 1."""
        function = DISTRIBUTIONS.get(self.name)
        return max(1, function(rng, *self.arguments))


def parse_lengths(text: str) -> Lengths:
    """Read a distribution such as `fixed:8` or `lognormal:40:0.8`.

    Raises:
        ValueError: The text names no distribution or has the wrong numbers.
    """
    name, *numbers = text.split(":")
    if name not in DISTRIBUTIONS.members:
        known = ", ".join(DISTRIBUTIONS.names())
        raise ValueError(f"no length distribution {name!r}; known: {known}")
    lengths = Lengths(name, tuple(float(number) for number in numbers))
    wanted = DISTRIBUTIONS.get(name).__code__.co_argcount - 1
    if len(numbers) != wanted:
        raise ValueError(f"{name} takes {wanted} numbers, not {len(numbers)}")
    return lengths
