"""Requests that crash the endpoints that run them."""

from __future__ import annotations

from hashlib import blake2b

import attrs

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
        own: Times of the losses that this entry saw, by fingerprint and endpoint.
        told: The same for losses that peers told of.
    """

    own: dict[str, dict[str, float]] = attrs.field(factory=dict)
    told: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def strike(self, fingerprint: str, endpoint: str, now: float) -> bool:
        """Note a loss under a request; tell whether it is refused from now on."""
        _note(self.own, fingerprint, endpoint, now)
        return self.is_refused(fingerprint, now)

    def clear(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        self.own.pop(fingerprint, None)
        self.told.pop(fingerprint, None)

    def from_peer(self, losses: dict[str, list[str]], now: float) -> None:
        """Take the losses that a peer saw."""
        for fingerprint, endpoints in losses.items():
            for endpoint in endpoints:
                _note(self.told, fingerprint, endpoint, now)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request is refused."""
        return len(self._lost(fingerprint, now)) >= CRASHES_TO_REFUSE

    def own_losses(self, now: float) -> dict[str, list[str]]:
        """Return the losses that this entry saw, by fingerprint."""
        found = {name: sorted(_fresh(at, now)) for name, at in self.own.items()}
        return {name: endpoints for name, endpoints in found.items() if endpoints}

    def expire(self, now: float) -> None:
        """Forget what counts no longer."""
        for book in (self.own, self.told):
            for fingerprint, losses in list(book.items()):
                if not _fresh(losses, now):
                    del book[fingerprint]

    def _lost(self, fingerprint: str, now: float) -> set[str]:
        own = _fresh(self.own.get(fingerprint, {}), now)
        return own | _fresh(self.told.get(fingerprint, {}), now)


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
