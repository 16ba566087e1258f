"""Measures what counting the ends of requests costs: time, memory, bytes."""

from __future__ import annotations

import random
import time
import tracemalloc
from statistics import median

from lacewingcourse.core.burn_ends import AnswerMeter, RequestEnd, Result
from lacewingcourse.core.burn_fleet import FleetMerge
from lacewingcourse.core.burn_history import SummaryWriter
from lacewingcourse.core.burn_report import EntryBurn, burn_of
from lacewingcourse.core.burn_windows import MAX_PAIRS, WINDOWS, BurnBook, Pair
from lacewingcourse.core.configuration import WorkClass
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.entry.metrics import EntryMetrics
from lacewingcourse.wire.codec import decode, encode

#: Sizes of the plan for two years.
ORGANISATIONS = 990
CLASSES = 10
ENTRIES = 330
REQUESTS_A_SECOND = 3700 / ENTRIES
#: Ends of one timed round.
ROUND = 2000
#: Timed rounds.
ROUNDS = 9
SUMMARY_INTERVAL = 900


def random_end(rng: random.Random) -> RequestEnd:
    """Return an end of a random class and organisation."""
    refused = rng.random() < 0.05
    return RequestEnd(
        work_class=f"class-{rng.randrange(CLASSES)}",
        organisation=f"organisation-{rng.randrange(ORGANISATIONS)}",
        target="mapchat",
        result=Result.REFUSED if refused else Result.WHOLE,
        kind=ErrorKind.OVERLOADED if refused else None,
        answer_time=1.0,
        first_token=0.5,
        tokens=460,
        lateness_budget=0.05,
        completeness_budget=0.001,
    )


def random_pair(rng: random.Random) -> tuple[str, str]:
    """Return a random class and organisation."""
    organisation = f"organisation-{rng.randrange(ORGANISATIONS)}"
    return f"class-{rng.randrange(CLASSES)}", organisation


def rounds_of(work, unit: int) -> float:
    """Return the median microseconds of a unit of work over all rounds."""
    times = []
    for _ in range(ROUNDS):
        begin = time.perf_counter()
        work()
        times.append((time.perf_counter() - begin) / unit * 1e6)
    return median(times)


def three_days(book: BurnBook, rng: random.Random) -> float:
    """Fill every bucket of every window with the pairs an entry would see in it.

    Returns:
        The time of the last end.
    """
    last = float(WINDOWS[-1].length)
    for ring in book.rings:
        window = ring.window
        ended = int(REQUESTS_A_SECOND * window.bucket)
        at = last - window.length
        while at < last:
            seen = {random_pair(rng) for _ in range(min(ended, 4 * MAX_PAIRS))}
            for work_class, organisation in list(seen)[:MAX_PAIRS]:
                pair = Pair(work_class, organisation)
                pair = book.pairs.setdefault(pair, pair)
                ring.at(pair, at).add(random_end(rng))
            at += window.bucket
    return last


def main() -> None:
    """Print one line a figure."""
    rng = random.Random(1)
    ends = [random_end(rng) for _ in range(ROUND)]
    book, writer, metrics = BurnBook(0.0), SummaryWriter("e", "r", 0.0), EntryMetrics()
    meter = AnswerMeter(0.0, WorkClass("class-1", between_tokens=0.058))

    def count() -> None:
        for end in ends:
            writer.add(book.add(end, 1000.0), end)
            metrics.on_end(end, meter)

    def tokens() -> None:
        for index in range(ROUND):
            meter.on_token(index * 0.03)

    print(f"an end, all counters: {rounds_of(count, ROUND):.1f} us")
    print(f"a token, meter: {rounds_of(tokens, ROUND):.2f} us")
    summary = writer.offer(SUMMARY_INTERVAL)
    size = len(encode(summary))
    print(f"a summary: {size} bytes, {size / SUMMARY_INTERVAL:.1f} bytes/s an entry")
    print(f"summaries of {ENTRIES} entries: {ENTRIES / SUMMARY_INTERVAL:.2f} appends/s")
    tracemalloc.start()
    book = BurnBook(0.0)
    now = three_days(book, rng)
    pairs = sum(len(bucket) for ring in book.rings for bucket in ring.buckets.values())
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(f"windows at {MAX_PAIRS} pairs: {held:.1f} MB in {pairs} counts")
    begin = time.perf_counter()
    burn = burn_of(book, "e", "r", now)
    made = time.perf_counter() - begin
    text = encode(burn)
    print(f"an entry's report: {len(text) / 1e6:.2f} MB in {made * 1e3:.0f} ms")
    print(f"decoding it: {rounds_of(lambda: decode(text, EntryBurn), 1000):.0f} ms")
    merge = FleetMerge(now)
    begin = time.perf_counter()
    for _ in range(10):
        merge.add(burn)
    spent = (time.perf_counter() - begin) / 10
    print(f"merging one entry: {spent * 1e3:.0f} ms")


if __name__ == "__main__":
    main()
