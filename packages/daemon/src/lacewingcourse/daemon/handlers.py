"""Request handlers that every daemon has, and their base classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import HTTPError, RequestHandler

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.daemon.problems import PROBLEM_JSON, problem_of, retry_after
from lacewingcourse.wire.auth import AUTH_HEADER, verify
from lacewingcourse.wire.codec import decode, encode

if TYPE_CHECKING:
    from typing import Any

T = TypeVar("T")

JSON = "application/json"


class BaseHandler(RequestHandler):
    """Answers refusals as problem documents."""

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def refuse(self, refusal: Refusal) -> None:
        """End the request with a refusal."""
        self.set_status(refusal.answer.status)
        seconds = retry_after(refusal)
        if seconds is not None:
            self.set_header("Retry-After", str(seconds))
        self.set_header("Content-Type", PROBLEM_JSON)
        self.finish(encode(problem_of(refusal)))

    def reply(self, message: Any) -> None:
        """End the request with a message as JSON."""
        self.set_header("Content-Type", JSON)
        self.finish(encode(message))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        kind = STATUS_KINDS.get(status_code, ErrorKind.INTERNAL)
        outcome = Outcome.NOT_RUN
        if kind is ErrorKind.INTERNAL:
            outcome = Outcome.UNKNOWN
        self.refuse(Refusal(kind, self._reason, outcome))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, HTTPError):
            logger.opt(exception=value).error(
                "a request failed", method=self.request.method, path=self.request.path
            )


#: Kinds for the errors that the HTTP server itself raises.
STATUS_KINDS = {
    400: ErrorKind.MALFORMED,
    403: ErrorKind.FORBIDDEN,
    404: ErrorKind.UNKNOWN_RESOURCE,
    405: ErrorKind.METHOD_NOT_ALLOWED,
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.TOO_LARGE,
}


class UnknownPathHandler(BaseHandler):
    """Answers every path that nobody serves."""

    def prepare(self) -> None:
        reason = f"nothing at {self.request.path}"
        self.refuse(Refusal(ErrorKind.UNKNOWN_RESOURCE, reason))


class WireHandler(BaseHandler):
    """Receives messages of other processes of the deployment."""

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon

    def prepare(self) -> None:
        proof = self.request.headers.get(AUTH_HEADER, "")
        secret = self.daemon.settings.shared_secret
        if not verify(secret, self.request.path, self.request.body, proof):
            self.daemon.metrics.strangers.inc()
            self.refuse(Refusal(ErrorKind.STRANGER, "the proof is missing or wrong"))

    def message(self, kind: type[T]) -> T | None:
        """Return the message of the request; refuse the request if it has none."""
        message = decode(self.request.body, kind)
        if isinstance(message, Refusal):
            self.refuse(message)
            return None
        return message


class MetricsHandler(BaseHandler):
    """Serves the counters for Prometheus."""

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon

    def get(self) -> None:
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.daemon.metrics.registry))


class HealthHandler(BaseHandler):
    """Says that the process answers."""

    def get(self) -> None:
        self.reply({"status": "ok"})


class ReadyHandler(BaseHandler):
    """Says whether the process takes new work."""

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon

    def get(self) -> None:
        readiness = self.daemon.readiness()
        self.set_status(200 if readiness.ready else 503)
        self.reply(readiness)


class StateHandler(BaseHandler):
    """Shows the state of the process as JSON."""

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon

    def get(self) -> None:
        self.reply(self.daemon.state())
