"""Proof that a message comes from a process of the same deployment."""

from __future__ import annotations

import hashlib
import hmac

#: Header that carries the proof.
AUTH_HEADER = "X-Lacewingcourse-Auth"


def sign(secret: str, path: str, body: bytes) -> str:
    """Return the proof for a message: an HMAC-SHA-256 in hexadecimal.

    Args:
        secret: The deployment's shared secret.
        path: Path of the request.
        body: Body of the request.
    """
    text = path.encode() + b"\n" + body
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()


def verify(secret: str, path: str, body: bytes, proof: str) -> bool:
    """Tell whether a proof was made with the deployment's secret."""
    wanted = sign(secret, path, body)
    return hmac.compare_digest(wanted.encode(), proof.encode())
