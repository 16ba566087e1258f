"""Checks of a call before it is passed on to a plain service."""

from __future__ import annotations

import re
from urllib.parse import quote, unquote_to_bytes

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.entry.caller import CallerHandler

#: Headers that would let a service run another method than the one that was checked.
METHOD_OVERRIDES = frozenset(
    {"x-http-method", "x-http-method-override", "x-method-override"}
)
#: Headers that say something about the caller's connection to the entry only.
CONNECTION_HEADERS = frozenset({"proxy-authorization", "proxy-connection"})
#: Characters that stand in a path as they are.
PATH_CHARACTERS = "/:@!$&'()*+,;=~-._"
#: Segments that would lead to another path.
DOT_SEGMENTS = frozenset({".", ".."})


def canonical_path(raw: str) -> str | Refusal:
    """Return the one spelling of a path below a service's root.

    Whether a call may be repeated is read from its path, so that a path must have one
    spelling only, and the service must see the path that was checked.

    Args:
        raw: The path as the caller sent it, without leading slash.
    """
    if re.search(r"%(?![0-9A-Fa-f]{2})", raw):
        return malformed("a percent sign is not followed by two hexadecimal digits")
    if re.search(r"%2f|%5c", raw, re.IGNORECASE):
        return malformed("an encoded slash or backslash is not passed on")
    try:
        path = unquote_to_bytes(raw).decode()
    except UnicodeDecodeError:
        return malformed("the path is not UTF-8")
    if not path.isprintable() or "\\" in path:
        return malformed("the path has control characters or a backslash")
    segments = path.split("/")
    if DOT_SEGMENTS.intersection(segments) or "" in segments[:-1]:
        return malformed("the path has empty, '.' or '..' segments")
    return quote(path, safe=PATH_CHARACTERS)


def malformed(reason: str) -> Refusal:
    """Return the refusal of a call that cannot be passed on."""
    return Refusal(ErrorKind.MALFORMED, reason)


class PassedCallHandler(CallerHandler):
    """Base of the handler that passes calls on; arguments are service and path."""

    def prepare(self) -> None:
        super().prepare()
        if self._finished:
            return
        raw = self.request.path.split("/", 3)[3]
        path = canonical_path(raw)
        if not isinstance(path, Refusal) and not is_plain(self.request.query):
            path = malformed("the query has characters that must be encoded")
        if isinstance(path, Refusal):
            self.refuse(path)
            return
        self.path_args[1] = path
        self._drop_headers()

    def _drop_headers(self) -> None:
        """Remove the headers that are not the service's business."""
        headers = self.request.headers
        named = headers.get("Connection", "").lower().split(",")
        dropped = METHOD_OVERRIDES | CONNECTION_HEADERS | {n.strip() for n in named}
        for name in [name for name in headers if name.lower() in dropped]:
            del headers[name]


def is_plain(query: str) -> bool:
    """Tell whether a query is printable ASCII without spaces."""
    return re.fullmatch(r"[!-~]*", query) is not None
