"""Measures the cost of membership and subsets at several sizes of the fleet."""

from __future__ import annotations

import time

from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.membership import ListedEndpoint, Membership
from lacewingcourse.core.messages import Status, StatusRequest
from lacewingcourse.core.subsets import Watchable, choose_subset, silence_allowed
from lacewingcourse.wire.codec import encode

#: Sizes of the fleet.
SIZES = (30, 300, 3500)
#: Times that each measurement is repeated.
REPEATS = 5
#: Layer ranges of each model.
RANGES = [LayerRange(first, first + 5) for first in range(0, 40, 5)]
MODELS = ("mapchat", "agentdesk", "redacteurs")


def content(index: int) -> tuple[str, LayerRange]:
    """Return what an endpoint holds."""
    model = MODELS[index % len(MODELS)]
    return model, RANGES[index // len(MODELS) % len(RANGES)]


def status(index: int, sequence: int) -> Status:
    """Return an endpoint's status."""
    model, layers = content(index)
    zone = f"zone-{index % 3}"
    return Status(f"e{index}", "0" * 16, zone, model, layers, sequence=sequence)


def best(work) -> float:
    """Return the shortest time of several runs, in microseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        work()
        times.append(time.perf_counter() - started)
    return min(times) * 1e6


def measure(size: int) -> str:
    """Return one line of the table."""
    endpoints = [
        Watchable(f"e{index}", f"zone-{index % 3}", content(index))
        for index in range(size)
    ]
    wanted = dict.fromkeys(MODELS, 40)
    chosen = choose_subset("entry-1", endpoints, wanted)
    listed = [ListedEndpoint(name, "http://127.0.0.1:1") for name in chosen]
    membership = Membership()
    membership.on_list(listed, 0.0)
    numbers = [int(name[1:]) for name in chosen]
    sequence = 0

    def report() -> None:
        nonlocal sequence
        sequence += 1
        for number in numbers:
            membership.on_status(status(number, sequence), 1.0)

    subset = best(lambda: choose_subset("entry-1", endpoints, wanted))
    statuses = best(report) / len(numbers)
    look = best(lambda: membership.questions(1e9, 2.0))
    silence = silence_allowed(len(chosen))
    return (
        f"{size:>6} {len(chosen):>8} {subset:>12.0f} {statuses:>12.2f} "
        f"{look:>10.0f} {silence:>10.1f}"
    )


def main() -> None:
    """Print the table."""
    body = len(encode(status(7, 1000)))
    asked = len(encode(StatusRequest("http://10.0.0.1:8000")))
    print(f"status message {body} bytes, question {asked} bytes, without headers")
    print("  size  watched  subset [us]  status [us]  look [us]  ask [s]")
    for size in SIZES:
        print(measure(size))


if __name__ == "__main__":
    main()
