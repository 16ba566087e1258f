"""Idempotency keys: their time, their scope and their shard."""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    import random

#: Characters of a key at the most.
MAX_KEY_LENGTH = 255
#: Shards into which the keys of one service or model are divided.
SHARD_COUNT = 16
#: Bits of a UUIDv7 that hold no time.
RANDOM_BITS = 80
#: A UUID of version 7 as RFC 9562 writes it.
UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


@attrs.frozen
class Key:
    """An idempotency key.

    Attributes:
        text: The key as the caller sent it.
        minted_at: When it was made, seconds since the epoch, or None if the key
            does not tell.
    """

    text: str
    minted_at: float | None


def parse_key(text: str) -> Key | Refusal:
    """Return the key that a header holds."""
    if not 0 < len(text) <= MAX_KEY_LENGTH or not text.isprintable():
        reason = f"the Idempotency-Key is not 1 to {MAX_KEY_LENGTH} characters"
        return Refusal(ErrorKind.INVALID_FIELD, reason)
    if not UUID7.fullmatch(text.lower()):
        return Key(text, None)
    milliseconds = int(text.replace("-", "")[:12], 16)
    return Key(text, milliseconds / 1000)


def mint_key(now: float, rng: random.Random) -> str:
    """Return a fresh UUIDv7.

    Args:
        now: Seconds since the epoch.
        rng: Source of randomness.
    """
    value = int(now * 1000) << RANDOM_BITS | rng.getrandbits(RANDOM_BITS)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    digits = f"{value:032x}"
    cuts = (0, 8, 12, 16, 20, 32)
    return "-".join(digits[cut:end] for cut, end in zip(cuts, cuts[1:]))


def service_target(service: str) -> str:
    """Return the name under which a plain service's keys are kept."""
    return f"service.{service}"


def model_target(model: str) -> str:
    """Return the name under which a model's keys are kept."""
    return f"model.{model}"


def scope_of(organisation: str, target: str, key: str) -> str:
    """Return the name of a key that no other organisation or target shares."""
    text = "\0".join((organisation, target, key))
    return hashlib.sha256(text.encode()).hexdigest()


def shard_of(scope: str) -> int:
    """Return the shard that a scoped key belongs to."""
    return int(scope[:8], 16) % SHARD_COUNT


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return what tells a request from another one under the same key."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
