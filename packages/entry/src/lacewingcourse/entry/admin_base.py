"""What all handlers of the admin API share: operators, roles, publications."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Any

import orjson

from lacewingcourse.core.configuration import Operator, Role
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.publishing import refusal_of
from lacewingcourse.daemon.handlers import PROBLEM_JSON, BaseHandler, problem_of
from lacewingcourse.wire.codec import CONVERTER, encode

if TYPE_CHECKING:
    from lacewingcourse.core.publishing import Publication
    from lacewingcourse.entry.host import Host

#: Name of the administrator whose token is a setting.
FIRST_ADMINISTRATOR = "administrator"
#: Methods that change nothing.
READING = frozenset({"GET", "HEAD"})


def hash_of(secret: str) -> str:
    """Return the form in which keys and tokens are stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def identify(entry: Host, header: str) -> Operator | Refusal:
    """Return the operator of an `Authorization` header."""
    scheme, _, token = header.partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        return Refusal(ErrorKind.UNAUTHENTICATED, "no bearer token was sent")
    if hmac.compare_digest(token.encode(), entry.settings.admin_token.encode()):
        return Operator(FIRST_ADMINISTRATOR, Role.ADMINISTRATOR)
    token_hash = hash_of(token)
    for operator in entry.configuration.operators.values():
        if hmac.compare_digest(token_hash, operator.token_hash):
            return operator
    return Refusal(ErrorKind.UNAUTHENTICATED, "the token is not known")


class AdminHandler(BaseHandler):
    """Admits operators whose role allows what they ask.

    Attributes:
        daemon: The entry.
        operator: Who asks.
        writing_role: Role that is needed to change something.
    """

    writing_role = Role.OPERATOR

    def initialize(self, daemon: Any) -> None:
        self.daemon = daemon
        self.operator: Operator | None = None

    def prepare(self) -> None:
        operator = identify(self.daemon, self.request.headers.get("Authorization", ""))
        if isinstance(operator, Refusal):
            self.set_header("WWW-Authenticate", "Bearer")
            self.refuse(operator)
            return
        self.operator = operator
        needed = self.writing_role
        if self.request.method in READING:
            needed = Role.VIEWER
        if not operator.role.includes(needed):
            self._forbid(needed)
        elif not self.daemon.follower.replica.usable:
            reason = "no configuration yet"
            self.refuse(Refusal(ErrorKind.NOT_READY, reason, retry_after=1.0))

    def _forbid(self, needed: Role) -> None:
        reason = f"{self.operator.name} needs the role {needed.value}"
        self.refuse(Refusal(ErrorKind.FORBIDDEN, reason))

    def may(self, role: Role) -> bool:
        """Tell whether the operator has a role; refuse the request if not."""
        if self.operator.role.includes(role):
            return True
        self._forbid(role)
        return False

    def json_body(self) -> Any:
        """Return the JSON body, or a refusal."""
        try:
            return orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            return Refusal(ErrorKind.MALFORMED, f"not JSON: {error}")

    def dry_run(self) -> bool:
        """Tell whether the request asks for a check only."""
        return self.get_query_argument("dry_run", "false") == "true"

    def whole_argument(self, name: str, default: int) -> int | None:
        """Return a whole number of the query; refuse the request if it is none."""
        text = self.get_query_argument(name, str(default))
        if text.isdecimal() and len(text) < 16:
            return int(text)
        reason = "must be a whole number"
        self.refuse(Refusal(ErrorKind.INVALID_FIELD, reason, pointer=f"/{name}"))
        return None

    def base_version(self) -> int | Refusal:
        """Return the version that the change is based on, from `If-Match`."""
        value = self.request.headers.get("If-Match", "").strip()
        if value == "*":
            return self.daemon.configuration.version
        number = value.strip('"')
        if number.isdecimal() and len(number) < 16:
            return int(number)
        reason = "If-Match must name the version that the change is based on, or be *"
        return Refusal(ErrorKind.INVALID_FIELD, reason, pointer="/If-Match")

    def answer(self, publication: Publication, **members: Any) -> None:
        """End the request with what became of a publication.

        Args:
            publication: What became of it.
            members: Further members of the answer.
        """
        document = {**CONVERTER.unstructure(publication), **members}
        refusal = refusal_of(publication)
        if refusal is None:
            self.reply(document)
            return
        self.set_status(refusal.answer.status)
        self.set_header("Content-Type", PROBLEM_JSON)
        self.finish(encode({**problem_of(refusal), **document}))
