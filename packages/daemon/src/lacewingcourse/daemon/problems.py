"""Refusals as RFC 9457 problem documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lacewingcourse.core.errors import Refusal

PROBLEM_JSON = "application/problem+json"
#: Prefix of the type of every problem document.
PROBLEM_TYPE = "urn:lacewingcourse:error:"
#: Seconds after which a new try is worth making when nothing better is known.
DEFAULT_RETRY_AFTER = 1.0


def problem_of(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as an RFC 9457 problem document.

    The member `error` is what stock clients of the OpenAI-compatible interface read.
    """
    document = {
        "type": PROBLEM_TYPE + refusal.kind.value,
        "title": refusal.answer.title,
        "status": refusal.answer.status,
        "detail": refusal.reason,
        "kind": refusal.kind.value,
        "outcome": refusal.outcome.value,
        "error": client_error(refusal),
    }
    if refusal.pointer:
        document["pointer"] = refusal.pointer
    return document


def client_error(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as stock clients of the OpenAI-compatible interface read it."""
    title = refusal.answer.title
    return {
        "message": f"{title}: {refusal.reason}" if refusal.reason else title,
        "type": error_type(refusal.answer.status),
        "param": refusal.pointer.lstrip("/") or None,
        "code": refusal.kind.value,
    }


def error_event(refusal: Refusal) -> dict[str, Any]:
    """Return the last event of a stream that ends with a refusal."""
    problem = problem_of(refusal)
    return {"error": {**problem, **problem["error"], "type": problem["type"]}}


def error_type(status: int) -> str:
    """Return the customary type of an error for an HTTP status."""
    if status == 429:
        return "rate_limit_error"
    if status in (401, 403):
        return "authentication_error"
    return "invalid_request_error" if status < 500 else "server_error"


def retry_after(refusal: Refusal) -> int | None:
    """Return the seconds of a `Retry-After` header, or None for no header."""
    seconds = refusal.retry_after
    if seconds is None and refusal.answer.retryable:
        seconds = DEFAULT_RETRY_AFTER
    return None if seconds is None else max(1, round(seconds))
