"""Tells a request that crashes its endpoints from one that met bad luck.

An endpoint's crash gives a strike to each request that may have caused it. A request
whose strikes weigh enough is a suspect: it runs again alone, on endpoints of a small
fixed order, until it is past the place of the crash. One crash is enough for a request
that had just started there; one that had survived steps there needs two, so that a
lost endpoint does not make its whole batch queue up to run alone. Crashes while it
runs alone, on distinct endpoints, convict it; a run past the place clears it. A batch
neighbour is therefore never convicted by the crashes that another request caused:
those stop counting as soon as it has run alone once.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Endpoints that must crash under a request alone before it is convicted.
SOLO_CRASHES = 2
#: Weight of strikes in company from which on a request is a suspect.
SUSPECT_WEIGHT = 2
#: Weight of a strike for a request that had just started on the endpoint.
NEWCOMER_WEIGHT = 2
#: Weight of a strike for a request that had survived steps there.
SURVIVOR_WEIGHT = 1
#: Seconds for which a strike counts.
STRIKE_KEPT = 1800.0
#: Seconds for which a verdict holds.
VERDICT_KEPT = 3600.0
#: Requests that are remembered at the most.
MAX_RECORDS = 10_000
#: Bytes of a fingerprint.
FINGERPRINT_BYTES = 16


class Standing(Enum):
    """What is held of a request."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    POISON = "poison"


@attrs.frozen
class Strike:
    """One crash of an endpoint while it ran a request.

    Attributes:
        fingerprint: Which request, whatever its key, caller or entry.
        endpoint: Name of the crashed endpoint instance.
        incarnation: Incarnation of its agent and number of the crash there.
        solo: Whether the request ran alone.
        newcomer: Whether the request had just started there.
        age: Seconds since the crash when the strike was told.
    """

    fingerprint: str
    endpoint: str
    incarnation: str
    solo: bool
    newcomer: bool = True
    age: float = 0.0


@attrs.frozen
class SharedCrash:
    """A crash beside other requests.

    Attributes:
        at: When it was, seconds.
        weight: How much it speaks against the request.
    """

    at: float
    weight: int


@attrs.frozen
class Clearance:
    """Word that a suspect ran alone past the place of the crash.

    Attributes:
        fingerprint: Which request.
        age: Seconds since then when the clearance was told.
    """

    fingerprint: str
    age: float = 0.0


@attrs.frozen
class PoisonNotice:
    """What entries tell each other of suspects, directly and through the log.

    Attributes:
        strikes: Crashes.
        clearances: Suspects that turned out innocent.
    """

    strikes: tuple[Strike, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@attrs.define
class Record:
    """What is known of one request.

    Attributes:
        shared: Crashes beside other requests, by endpoint and crash.
        solo: Times of crashes alone, by endpoint.
        cleared_at: When it last ran alone past the place, seconds, or None.
        convicted_at: When it was convicted, seconds, or None.
    """

    shared: dict[tuple[str, str], SharedCrash] = attrs.field(factory=dict)
    solo: dict[str, float] = attrs.field(factory=dict)
    cleared_at: float | None = None
    convicted_at: float | None = None


def fingerprint_of(model: str, version: str, prompt: str) -> str:
    """Return what identifies a request's content under any key and caller.

    Args:
        model: Name of the model.
        version: Version of its weights; another version may cope with it.
        prompt: The caller's prompt.
    """
    text = "\0".join((model, version, prompt))
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()


@attrs.define
class PoisonBook:
    """Strikes and verdicts by fingerprint, the latest touched last.

    Attributes:
        records: What is known, bounded by `MAX_RECORDS`.
    """

    records: OrderedDict[str, Record] = attrs.field(factory=OrderedDict)

    def strike(self, strike: Strike, now: float) -> Standing:
        """Note a crash; a repeated strike counts once.

        Args:
            strike: The crash.
            now: Present time in seconds.

        Returns:
            What is held of the request from now on.
        """
        record = self.records.setdefault(strike.fingerprint, Record())
        self.records.move_to_end(strike.fingerprint)
        at = now - strike.age
        if strike.solo:
            record.solo.setdefault(strike.endpoint, at)
        else:
            weight = NEWCOMER_WEIGHT if strike.newcomer else SURVIVOR_WEIGHT
            key = (strike.endpoint, strike.incarnation)
            record.shared.setdefault(key, SharedCrash(at, weight))
        if len(self._current_solo(record, now)) >= SOLO_CRASHES:
            record.convicted_at = (
                at if record.convicted_at is None else max(at, record.convicted_at)
            )
        self._bound()
        return self.standing(strike.fingerprint, now)

    def clear(self, clearance: Clearance, now: float) -> None:
        """Note that a suspect ran alone past the place of the crash."""
        record = self.records.get(clearance.fingerprint)
        if record is None:
            return
        at = now - clearance.age
        record.cleared_at = max(at, record.cleared_at or at)

    def merge(self, notice: PoisonNotice, now: float) -> None:
        """Take another entry's word; order and repetition do not matter."""
        for strike in notice.strikes:
            self.strike(strike, now)
        for clearance in notice.clearances:
            self.clear(clearance, now)

    def standing(self, fingerprint: str, now: float) -> Standing:
        """Return what is held of a request."""
        record = self.records.get(fingerprint)
        if record is None:
            return Standing.CLEAN
        convicted = record.convicted_at
        if convicted is not None and now - convicted < VERDICT_KEPT:
            return Standing.POISON
        weight = sum(crash.weight for crash in self._current_shared(record, now))
        if self._current_solo(record, now) or weight >= SUSPECT_WEIGHT:
            return Standing.SUSPECT
        return Standing.CLEAN

    def crashed_endpoints(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the endpoints that crashed while they ran a request alone."""
        record = self.records.get(fingerprint)
        if record is None:
            return frozenset()
        return frozenset(self._current_solo(record, now))

    def convicted(self, now: float) -> list[str]:
        """Return the fingerprints whose verdict holds."""
        return [
            fingerprint
            for fingerprint in self.records
            if self.standing(fingerprint, now) is Standing.POISON
        ]

    def forget(self, now: float) -> None:
        """Drop what counts no longer."""
        idle = [
            fingerprint
            for fingerprint, record in self.records.items()
            if self.standing(fingerprint, now) is Standing.CLEAN
            and not self._current_shared(record, now)
        ]
        for fingerprint in idle:
            del self.records[fingerprint]

    def _current_solo(self, record: Record, now: float) -> list[str]:
        """Return the endpoints whose crashes alone still count."""
        return [
            endpoint for endpoint, at in record.solo.items() if now - at < STRIKE_KEPT
        ]

    def _current_shared(self, record: Record, now: float) -> list[SharedCrash]:
        """Return the crashes in company since the last clearance."""
        cleared = record.cleared_at
        return [
            crash
            for crash in record.shared.values()
            if now - crash.at < STRIKE_KEPT and (cleared is None or crash.at > cleared)
        ]

    def _bound(self) -> None:
        """Forget the requests that were touched longest ago."""
        while len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)


@attrs.frozen
class CrashedItem:
    """An item of an engine step that ended in a crash.

    Attributes:
        stream: Name of its stream.
        attempt: Number of its attempt.
        first_step: Whether it was the attempt's first step on the engine.
    """

    stream: str
    attempt: int
    first_step: bool


def suspects_of(items: Iterable[CrashedItem]) -> list[CrashedItem]:
    """Return the items that may have caused a crash.

    An attempt that has already survived steps on the engine is suspected only if
    there is no newcomer among the items.
    """
    listed = list(items)
    newcomers = [item for item in listed if item.first_step]
    return newcomers or listed
