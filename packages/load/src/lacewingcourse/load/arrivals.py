"""When requests are due: patterns of open-loop arrivals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewingcourse.core.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

ARRIVALS: Registry[Callable[..., Iterator[float]]] = Registry("arrival pattern")


@ARRIVALS.register("poisson")
def poisson(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield due times of independent callers at a mean rate a second."""
    due = rng.expovariate(rate)
    while due < seconds:
        yield due
        due += rng.expovariate(rate)


@ARRIVALS.register("even")
def even(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield due times with the same distance."""
    for index in range(int(rate * seconds)):
        yield index / rate


@ARRIVALS.register("burst")
def burst(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the requests of the whole time as due at its start."""
    for _ in range(int(rate * seconds)):
        yield 0.0
