"""The closed list of error kinds and the table from kind to answer."""

from __future__ import annotations

from enum import Enum

import attrs


class Outcome(Enum):
    """What is known of a request's effect when it ends without a whole answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every reason for which a request can fail."""

    MALFORMED = "malformed"
    INVALID_FIELD = "invalid_field"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    STRANGER = "stranger"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_RESOURCE = "unknown_resource"
    UNKNOWN_STREAM = "unknown_stream"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_EXPIRED = "key_expired"
    KEY_IN_FUTURE = "key_in_future"
    KEY_REQUIRED = "key_required"
    ANSWER_NOT_KEPT = "answer_not_kept"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    NO_ROUTE = "no_route"
    OVERLOADED = "overloaded"
    ORGANISATION_OVER_SHARE = "organisation_over_share"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    STALE_ATTEMPT = "stale_attempt"
    STALE_INCARNATION = "stale_incarnation"
    STALE_FENCING = "stale_fencing"
    STAGE_LOST = "stage_lost"
    RETRIES_EXHAUSTED = "retries_exhausted"
    ENDPOINT_FAILED = "endpoint_failed"
    REQUEST_CRASHES_ENDPOINTS = "request_crashes_endpoints"
    CALLER_GONE = "caller_gone"
    CONFLICT = "conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    NOT_PUBLISHED = "not_published"
    PUBLISH_UNKNOWN = "publish_unknown"
    LOG_UNAVAILABLE = "log_unavailable"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """How an error kind is told to a caller.

    Attributes:
        status: HTTP status code.
        title: Short text, the same for every occurrence.
        retryable: Whether a later try of the same request may succeed.
    """

    status: int
    title: str
    retryable: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED: Answer(400, "The request is malformed"),
    ErrorKind.INVALID_FIELD: Answer(422, "A field of the request is invalid"),
    ErrorKind.UNAUTHENTICATED: Answer(401, "The key is missing or wrong"),
    ErrorKind.FORBIDDEN: Answer(403, "The role does not allow this"),
    ErrorKind.STRANGER: Answer(403, "The sender is not of this deployment"),
    ErrorKind.UNKNOWN_MODEL: Answer(404, "There is no such model"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, "There is no such service"),
    ErrorKind.UNKNOWN_CLASS: Answer(404, "There is no such class of work"),
    ErrorKind.UNKNOWN_RESOURCE: Answer(404, "There is no such resource"),
    ErrorKind.UNKNOWN_STREAM: Answer(404, "There is no such stream"),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, "The method is not allowed here"),
    ErrorKind.TOO_LARGE: Answer(413, "The request is too large"),
    ErrorKind.PROMPT_TOO_LONG: Answer(413, "The prompt is too long"),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, "The request did not arrive in time", True),
    ErrorKind.KEY_REUSED: Answer(422, "The key was used with another body"),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, "The key's request is running", True),
    ErrorKind.KEY_EXPIRED: Answer(422, "The key is too old"),
    ErrorKind.KEY_IN_FUTURE: Answer(422, "The key's time lies in the future"),
    ErrorKind.KEY_REQUIRED: Answer(422, "The call needs an Idempotency-Key"),
    ErrorKind.ANSWER_NOT_KEPT: Answer(409, "The answer is no longer kept"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, "Whether the key's request ran is unknown"),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, "The key cannot be claimed now", True),
    ErrorKind.NOT_READY: Answer(503, "The instance is not ready", True),
    ErrorKind.DRAINING: Answer(503, "The instance is leaving", True),
    ErrorKind.NO_ROUTE: Answer(503, "No set of endpoints holds every layer", True),
    ErrorKind.OVERLOADED: Answer(503, "There is no capacity left", True),
    ErrorKind.ORGANISATION_OVER_SHARE: Answer(
        429, "The organisation is over its share", True
    ),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(
        503, "The class target cannot be met now", True
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, "The class target has passed", True),
    ErrorKind.STALE_ATTEMPT: Answer(409, "A newer attempt has taken over"),
    ErrorKind.STALE_INCARNATION: Answer(409, "The instance has restarted"),
    ErrorKind.STALE_FENCING: Answer(409, "The fencing number is old"),
    ErrorKind.STAGE_LOST: Answer(502, "A stage of the pipeline was lost", True),
    ErrorKind.RETRIES_EXHAUSTED: Answer(503, "No further send is allowed now", True),
    ErrorKind.ENDPOINT_FAILED: Answer(502, "The endpoint failed", True),
    ErrorKind.REQUEST_CRASHES_ENDPOINTS: Answer(
        422, "The request crashes the endpoints that run it"
    ),
    ErrorKind.CALLER_GONE: Answer(499, "The caller went away"),
    ErrorKind.CONFLICT: Answer(409, "Another change came first"),
    ErrorKind.INVALID_CONFIGURATION: Answer(422, "The configuration is invalid"),
    ErrorKind.NOT_PUBLISHED: Answer(503, "The change was not published", True),
    ErrorKind.PUBLISH_UNKNOWN: Answer(504, "Whether it was published is not known"),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, "The log service is unavailable", True),
    ErrorKind.INTERNAL: Answer(500, "An internal error"),
}


@attrs.frozen
class Refusal:
    """A sentinel value that says why something was not done.

    Attributes:
        kind: One of the closed list.
        reason: What happened, for a person to read.
        outcome: What is known of the request's effect.
        retry_after: Seconds after which a new try is worth making, or None.
        retry_spread: Seconds after that over which new tries are spread.
        pointer: JSON pointer to the offending field, or empty.
    """

    kind: ErrorKind
    reason: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    pointer: str = ""
    retry_spread: float = 0.0

    @property
    def answer(self) -> Answer:
        """The answer that the table gives for the kind."""
        return ANSWERS[self.kind]
