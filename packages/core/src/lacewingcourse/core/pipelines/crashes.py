"""Requests that crash the endpoints that run them."""

from __future__ import annotations

from hashlib import blake2b

import attrs

from lacewingcourse.core.pipelines.suspects import Reach

#: Endpoints that must have been lost while they ran a request before it is refused.
#: One or two are lost beside any request now and then.
CRASHES_TO_REFUSE = 3
#: Seconds for which a crash counts, and for which a refusal therefore lasts.
CRASH_KEPT = 60.0
#: Requests that are remembered at the most.
MOST_REQUESTS = 2_000
#: Bytes of a fingerprint.
FINGERPRINT_BYTES = 12


def fingerprint_of(*fields: bytes) -> str:
    """Return what identifies a request when its caller sends it again."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    return digest.hexdigest()


@attrs.define
class CrashBook:
    """Which endpoints were lost under which requests.

    Engines run requests beside one another, so a loss speaks against all that ran
    there. A request is refused once distinct endpoints were lost under it; its
    neighbours of one crash are other ones than those of the next.

    Attributes:
        books: Times of the losses by fingerprint and endpoint, for those that this
            entry saw, that one of its zone saw, and that others saw.
    """

    books: dict[Reach, dict[str, dict[str, float]]] = attrs.field(
        factory=lambda: {reach: {} for reach in Reach}
    )

    def strike(self, fingerprint: str, endpoint: str, now: float) -> bool:
        """Note a loss under a request; tell whether it is refused from now on."""
        _note(self.books[Reach.OWN], fingerprint, endpoint, now)
        return self.is_refused(fingerprint, now)

    def clear(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        for book in self.books.values():
            book.pop(fingerprint, None)

    def from_peer(
        self, losses: dict[str, dict[str, float]], now: float, near: bool = True
    ) -> None:
        """Take the losses that a peer told.

        Args:
            losses: Seconds since each loss, by fingerprint and endpoint.
            now: Present time in seconds.
            near: Whether an entry of this one's availability zone saw them.
        """
        book = self.books[Reach.ZONE if near else Reach.ALL]
        for fingerprint, endpoints in losses.items():
            for endpoint, age in endpoints.items():
                _note(book, fingerprint, endpoint, now - age)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request is refused."""
        return len(self._lost(fingerprint, now)) >= CRASHES_TO_REFUSE

    def losses(
        self, now: float, reach: Reach = Reach.OWN
    ) -> dict[str, dict[str, float]]:
        """Return the seconds since each loss, by fingerprint and endpoint.

        Args:
            now: Present time in seconds.
            reach: From how far away the losses may be.
        """
        found: dict[str, dict[str, float]] = {}
        for seen, book in self.books.items():
            for fingerprint, losses in book.items() if seen <= reach else ():
                ages = {e: round(now - losses[e], 3) for e in _fresh(losses, now)}
                if ages:
                    found.setdefault(fingerprint, {}).update(ages)
        return found

    def expire(self, now: float) -> None:
        """Forget what counts no longer."""
        for book in self.books.values():
            for fingerprint, losses in list(book.items()):
                if not _fresh(losses, now):
                    del book[fingerprint]

    def _lost(self, fingerprint: str, now: float) -> set[str]:
        books = self.books.values()
        return set().union(*(_fresh(b.get(fingerprint, {}), now) for b in books))


def _note(
    book: dict[str, dict[str, float]], fingerprint: str, endpoint: str, now: float
) -> None:
    """Note a loss, and bound what is remembered."""
    book.setdefault(fingerprint, {}).setdefault(endpoint, now)
    while len(book) > MOST_REQUESTS:
        del book[next(iter(book))]


def _fresh(losses: dict[str, float], now: float) -> set[str]:
    """Return the endpoints whose loss still counts."""
    return {endpoint for endpoint, at in losses.items() if now - at < CRASH_KEPT}
