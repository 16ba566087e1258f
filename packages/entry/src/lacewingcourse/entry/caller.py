"""What all handlers for callers share."""

from __future__ import annotations

from typing import Any

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.daemon.handlers import BaseHandler

#: Header that names the class of work.
CLASS_HEADER = "X-Work-Class"
#: Header that names the idempotency key.
KEY_HEADER = "Idempotency-Key"
#: Header of an answer that was stored for a key.
REPLAYED_HEADER = "Idempotency-Replayed"


class CallerHandler(BaseHandler):
    """Admits only callers with an organisation's key.

    Attributes:
        daemon: The entry.
        organisation: Name of the caller's organisation.
        record: How the request ends.
    """

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon
        self.organisation = ""
        self.record = daemon.outcomes.begin(daemon.now())

    def prepare(self) -> None:
        readiness = self.daemon.readiness()
        if not readiness.ready:
            kind = ErrorKind.NOT_READY
            if self.daemon.stopping.is_set():
                kind = ErrorKind.DRAINING
                self.set_header("Connection", "close")
            self.refuse(Refusal(kind, readiness.reason, retry_after=1.0))
            return
        header = self.request.headers.get("Authorization", "")
        organisation = self.daemon.authenticate(header)
        if isinstance(organisation, Refusal):
            self.set_header("WWW-Authenticate", "Bearer")
            self.refuse(organisation)
            return
        self.organisation = organisation
        self.record.organisation = organisation

    def refuse(self, refusal: Refusal) -> None:
        self.record.refuse(refusal)
        super().refuse(refusal)

    def on_finish(self) -> None:
        self.record.close(self.daemon.now())

    def on_connection_close(self) -> None:
        self.record.gone()
        self.record.close(self.daemon.now())
