"""Parts of prompts that crash the endpoints that begin to answer them."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nlargest
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.pipelines.crashes import AnswerProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Weight of the losses of distinct endpoints at which a part is refused.
REFUSAL_THRESHOLD = 3.0
#: Weight at which a part is refused that an answer was recently established with, or
#: could have been before this entry started. The parts that sound requests share with
#: crashing ones are lost with them.
SOUND_REFUSAL_THRESHOLD = 6.0
#: Seconds for which an established answer calls for the higher weight.
SOUND_TIME = 60.0
#: Seconds after its first loss in which such a part is not refused. When many endpoints
#: are lost at once, the answers that the others run clear it by then.
CLEARING_TIME = 2.0
#: Weight of a loss by how far the answer had come. An endpoint that crashes as it
#: begins to write has usually sent a head and no event; answers that it had not
#: reached, or had just begun, break with it.
LOSS_WEIGHTS = {
    AnswerProgress.BEGUN: 1.0,
    AnswerProgress.UNANSWERED: 0.5,
    AnswerProgress.EARLY: 0.5,
}
#: Greatest weight of a loss.
MAX_LOSS_WEIGHT = max(LOSS_WEIGHTS.values())
#: Seconds for which a loss counts.
LOSS_RETENTION = 60.0
#: Seconds for which a part is refused at first. The time doubles with each refusal that
#: follows.
FIRST_REFUSAL_TIME = 300.0
#: Seconds for which a part is refused at most, and for which a single loss renews a
#: refusal that has ended.
MAX_REFUSAL_TIME = 3600.0
#: Seconds for which an entry reports that a part is sound after another one doubted it.
#: Entries receive several messages of each other in that time.
SOUND_REPORT_TIME = 3.0
#: Parts with losses that are remembered at most.
MAX_SUSPECTS = 500
#: Sound parts that are remembered at most.
MAX_SOUND_PARTS = 4_000
#: Parts at most that a request must hold beside a refused one to be refused.
MAX_COMPANIONS = 8
#: Refused parts that are remembered at most.
MAX_REFUSED_PARTS = 200
#: Parts of each kind that one message reports at most.
MAX_REPORTED_PARTS = 16
#: Losses of a part that one message reports at most; enough to refuse any part.
MAX_REPORTED_LOSSES = 12


@attrs.frozen
class PartLoss:
    """The loss of an endpoint while it held a request with a part.

    Attributes:
        at: When it was lost, seconds.
        weight: Weight of the loss.
    """

    at: float
    weight: float


@attrs.frozen
class PartRefusal:
    """The refusal of a part.

    Attributes:
        at: When it began, seconds.
        count: Refusals of the part in succession, this one included.
        companions: Parts that the lost requests held as well, so that each of them may
            be the cause. A request that lacks one is sent.
    """

    at: float
    count: int = 1
    companions: frozenset[str] = frozenset()

    @property
    def until(self) -> float:
        """When it ends, seconds."""
        length = FIRST_REFUSAL_TIME * 2 ** min(max(0, self.count - 1), 10)
        return self.at + min(MAX_REFUSAL_TIME, length)

    @property
    def forgotten_at(self) -> float:
        """When a single loss no longer renews it, seconds."""
        return self.until + MAX_REFUSAL_TIME


@attrs.frozen
class PartReport:
    """What an entry reports of a part to other entries.

    Attributes:
        losses: Seconds since the loss of each endpoint, and its weight.
        sound: Seconds since an answer to a prompt with the part was established, None
            if unknown.
        refused: Seconds since the part was refused, None if it is not.
        count: Refusals in succession.
        companions: Parts that a request must hold as well to be refused.
    """

    losses: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    sound: float | None = None
    refused: float | None = None
    count: int = 0
    companions: list[str] = attrs.field(factory=list)


@attrs.define
class PartHistory:
    """Which endpoints were lost under which parts of prompts, and which are refused.

    The loss of an endpoint counts against the parts of all requests that it had not
    begun to answer, or had just begun. A part is cleared by any answer that is
    established, so those that sound requests hold as well stay below the threshold. A
    loss that a refused part accounts for does not count against other parts. While
    several parts have enough evidence, only requests that hold all of them are refused;
    the others show which part is sound.

    Attributes:
        started_at: When this entry started, seconds.
        losses: Losses by part and endpoint.
        sound: When an answer with a part was last established, seconds.
        refused: Refusals by part. They are kept after their end, since a single loss
            then renews them.
        doubted_at: When a sound part was last doubted by a loss or a refusal, seconds.
    """

    started_at: float = float("-inf")
    losses: OrderedDict[str, dict[str, PartLoss]] = attrs.field(factory=OrderedDict)
    sound: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    refused: OrderedDict[str, PartRefusal] = attrs.field(factory=OrderedDict)
    doubted_at: dict[str, float] = attrs.field(factory=dict)

    def record_loss(
        self,
        parts: tuple[str, ...],
        endpoint: str,
        progress: AnswerProgress,
        now: float,
    ) -> None:
        """Record that an endpoint was lost under a request that holds some parts.

        Args:
            parts: Parts that other requests may hold.
            endpoint: The endpoint.
            progress: How far it had come with the answer.
            now: Present time in seconds.
        """
        weight = LOSS_WEIGHTS.get(progress)
        if weight is None:
            return
        for part in parts:
            self._add_loss(part, endpoint, PartLoss(now, weight), now)
            refusal = self.refused.get(part)
            if refusal is not None and not refusal.companions.issubset(parts):
                companions = refusal.companions.intersection(parts)
                self.refused[part] = attrs.evolve(refusal, companions=companions)

    def record_sound(self, parts: tuple[str, ...], now: float) -> list[str]:
        """Record an established answer; return the parts whose refusal it ends."""
        return [part for part in parts if self._mark_sound(part, now, now)]

    def refused_part(self, parts: tuple[str, ...], now: float) -> str | None:
        """Return the part for which a request is refused, None if it is not."""
        for part in parts:
            found = self.refused.get(part)
            if found is None or now >= found.until:
                continue
            if all(p in parts or self._is_cleared(p, found) for p in found.companions):
                return part
        return None

    def in_force(self, now: float) -> list[str]:
        """Return the parts that are refused."""
        return [part for part, found in self.refused.items() if now < found.until]

    def judge(self, parts: tuple[str, ...], now: float) -> str | None:
        """Refuse a part if the evidence suffices, and return it.

        Among several it is the last one, and the others are its companions: the first
        parts of a prompt are shared most widely.

        Args:
            parts: Parts of a request, in order.
            now: Present time in seconds.
        """
        found = [
            part
            for part in parts
            if part in self.losses
            and self.evidence(part, now) >= self._threshold(part, now)
        ]
        if not found:
            return None
        part = found[-1]
        known = self.refused.get(part)
        count = 1 + known.count if known else 1
        companions = frozenset(found[-1 - MAX_COMPANIONS : -1])
        self._refuse(part, PartRefusal(now, count, companions))
        return part

    def evidence(self, part: str, now: float) -> float:
        """Return the weight of the losses that no refused part accounts for.

        A loss beyond those of a refused part casts doubt on that refusal, so all losses
        of its companions count then.
        """
        recent, explained = self._recent(part, now), set()
        for refused in self.in_force(now):
            endpoints = self.losses.get(refused, {}).keys()
            is_companion = part in self.refused[refused].companions
            if part != refused and (not is_companion or recent.keys() <= endpoints):
                explained |= endpoints
        return sum(loss.weight for e, loss in recent.items() if e not in explained)

    def explained_endpoints(self, now: float) -> set[str]:
        """Return the endpoints whose loss a refused part accounts for."""
        return {
            endpoint
            for part in self.in_force(now)
            for endpoint in self.losses.get(part, ())
        }

    def reports(self, now: float) -> dict[str, PartReport]:
        """Return what other entries need to know, by part."""
        refused = {p: r for p, r in self.refused.items() if now < r.forgotten_at}
        suspects = nlargest(
            MAX_REPORTED_PARTS,
            (part for part in self.losses if part not in refused),
            key=lambda part: sum(loss.weight for loss in self.losses[part].values()),
        )
        doubted = [
            part
            for part, at in self.doubted_at.items()
            if now - at < SOUND_REPORT_TIME and part in self.sound
        ]
        told = [
            *list(refused)[-MAX_REPORTED_PARTS:],
            *suspects,
            *doubted[-MAX_REPORTED_PARTS:],
        ]
        return {part: self._report(part, now) for part in told}

    def from_peer(self, reports: dict[str, PartReport], now: float) -> list[str]:
        """Merge the reports of a peer; return the parts that are newly refused.

        Args:
            reports: What the peer reports, by part.
            now: Present time in seconds.
        """
        found = []
        for part, report in reports.items():
            if report.sound is not None:
                self._mark_sound(part, now - max(0.0, report.sound), now)
            for endpoint, (age, weight) in report.losses.items():
                loss = PartLoss(now - max(0.0, age), min(weight, MAX_LOSS_WEIGHT))
                self._add_loss(part, endpoint, loss, now)
            if report.refused is None:
                continue
            companions = frozenset(report.companions)
            refused_at = now - max(0.0, report.refused)
            refusal = PartRefusal(refused_at, report.count, companions)
            if self._adopt(part, refusal, now):
                found.append(part)
        return found

    def restore(
        self, part: str, count: int, companions: Iterable[str], now: float
    ) -> bool:
        """Adopt a refusal of unknown age; return whether it is news.

        Its time starts anew unless a peer reports when it began.

        Args:
            part: The part.
            count: Refusals in succession.
            companions: Parts that a request must hold as well to be refused.
            now: Present time in seconds.
        """
        return self._adopt(part, PartRefusal(now, count, frozenset(companions)), now)

    def expire(self, now: float) -> list[str]:
        """Remove what no longer counts; return the parts whose refusal is forgotten."""
        for part in list(self.losses):
            recent = self._recent(part, now)
            if recent:
                self.losses[part] = recent
            else:
                del self.losses[part]
        forgotten = [p for p, r in self.refused.items() if now >= r.forgotten_at]
        for part in forgotten:
            del self.refused[part]
        for part, at in list(self.doubted_at.items()):
            if now - at >= SOUND_REPORT_TIME:
                del self.doubted_at[part]
        return forgotten

    def _threshold(self, part: str, now: float) -> float:
        """Return the weight of losses at which a part is refused."""
        known = self.refused.get(part)
        if known is not None and now < known.until:
            return float("inf")
        if known is not None and now < known.forgotten_at:
            return min(LOSS_WEIGHTS.values())
        if now - self.started_at < CLEARING_TIME:
            return SOUND_REFUSAL_THRESHOLD
        if now - self.sound.get(part, float("-inf")) >= SOUND_TIME:
            return REFUSAL_THRESHOLD
        first_loss_at = min(loss.at for loss in self.losses[part].values())
        if now - first_loss_at < CLEARING_TIME:
            return float("inf")
        return SOUND_REFUSAL_THRESHOLD

    def _add_loss(self, part: str, endpoint: str, loss: PartLoss, now: float) -> None:
        """Record a loss unless the part has proved sound since."""
        if loss.at <= self.sound.get(part, float("-inf")):
            self.doubted_at[part] = now
            return
        losses = self.losses.setdefault(part, {})
        known = losses.get(endpoint)
        if known is None or known.weight < loss.weight:
            losses[endpoint] = (
                loss if known is None else attrs.evolve(known, weight=loss.weight)
            )
        self.losses.move_to_end(part)
        _trim(self.losses, MAX_SUSPECTS)

    def _mark_sound(self, part: str, at: float, now: float) -> bool:
        """Record an established answer; return whether it ends a refusal."""
        if at <= self.sound.get(part, float("-inf")):
            return False
        self.sound[part] = at
        self.sound.move_to_end(part)
        _trim(self.sound, MAX_SOUND_PARTS)
        losses = self.losses.pop(part, None)
        if losses is not None:
            self.doubted_at[part] = now
            later = {e: loss for e, loss in losses.items() if loss.at > at}
            if later:
                self.losses[part] = later
        refusal = self.refused.get(part)
        if refusal is None or refusal.at >= at:
            return False
        del self.refused[part]
        self.doubted_at[part] = now
        return True

    def _refuse(self, part: str, refusal: PartRefusal) -> None:
        self.refused[part] = refusal
        self.refused.move_to_end(part)
        _trim(self.refused, MAX_REFUSED_PARTS)

    def _adopt(self, part: str, refusal: PartRefusal, now: float) -> bool:
        """Adopt a peer's refusal; return whether the part is newly refused.

        Of reports of the same refusal the earliest counts, so that the time that
        messages take does not prolong it.
        """
        known = self.refused.get(part)
        if refusal.at <= self.sound.get(part, float("-inf")):
            self.doubted_at[part] = now
            return False
        if now >= refusal.forgotten_at:
            return False
        if known is not None and known.count == refusal.count:
            companions = known.companions & refusal.companions
            at = min(known.at, refusal.at)
            self.refused[part] = PartRefusal(at, known.count, companions)
            return False
        if known is not None and known.count > refusal.count:
            return False
        self._refuse(part, refusal)
        return now < refusal.until

    def _is_cleared(self, part: str, refusal: PartRefusal) -> bool:
        """Return whether a companion has proved sound since the refusal."""
        return self.sound.get(part, float("-inf")) > refusal.at

    def _recent(self, part: str, now: float) -> dict[str, PartLoss]:
        """Return the losses of a part that still count, by endpoint."""
        losses = self.losses.get(part, {})
        return {e: loss for e, loss in losses.items() if now - loss.at < LOSS_RETENTION}

    def _report(self, part: str, now: float) -> PartReport:
        sound, refusal = self.sound.get(part), self.refused.get(part)
        recent = self._recent(part, now).items()
        latest = nlargest(MAX_REPORTED_LOSSES, recent, key=lambda item: item[1].at)
        return PartReport(
            losses={e: (round(now - loss.at, 3), loss.weight) for e, loss in latest},
            sound=None if sound is None else round(now - sound, 3),
            refused=None if refusal is None else round(now - refusal.at, 3),
            count=refusal.count if refusal else 0,
            companions=sorted(refusal.companions) if refusal else [],
        )


def _trim(entries: OrderedDict, limit: int) -> None:
    """Remove the oldest entries beyond a number."""
    while len(entries) > limit:
        entries.popitem(last=False)
