"""Asks an entry as an operator."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING, TypeVar

from cleo.helpers import option
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.wire.client import fetch, new_http_client
from lacewingcourse.wire.codec import CONVERTER, decode

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

T = TypeVar("T")

#: Variable that names the entry to ask.
ENTRY_VARIABLE = "LACEWINGCOURSE_ENTRY"
#: Variable that holds the operator's token.
TOKEN_VARIABLE = "LACEWINGCOURSE_TOKEN"
#: Seconds that an answer may take.
TIMEOUT = 60.0


def entry_option():
    """Return the option that names the entry to ask."""
    text = f"Base URL of any entry [{ENTRY_VARIABLE}]"
    return option("entry", None, text, flag=False)


def token_option():
    """Return the option that holds the operator's token."""
    text = f"Bearer token of the operator [{TOKEN_VARIABLE}]"
    return option("token", None, text, flag=False)


def entry_of(flag: str | None) -> str:
    """Return the entry to ask, without a slash at its end; empty if none is named."""
    return (flag or os.environ.get(ENTRY_VARIABLE, "")).rstrip("/")


def token_of(flag: str | None) -> str:
    """Return the operator's token, empty if there is none."""
    return flag or os.environ.get(TOKEN_VARIABLE, "")


def ask(url: str, kind: type[T], token: str = "") -> T | Refusal:
    """Return the message that a URL answers, or why there is none.

    Args:
        url: What to ask.
        kind: Class of the message.
        token: Bearer token, or empty.
    """
    return asyncio.run(ask_entry(url, kind, token))


async def ask_entry(url: str, kind: type[T], token: str) -> T | Refusal:
    """Return the message that a URL answers, or why there is none."""
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    request = HTTPRequest(url, headers=headers, request_timeout=TIMEOUT)
    response = await fetch(new_http_client(), request)
    if response.code in (200, 503) and is_plain_json(response):
        return decode(response.body, kind)
    return Refusal(ErrorKind.ENDPOINT_FAILED, reason_of(response), Outcome.UNKNOWN)


def is_plain_json(response: HTTPResponse) -> bool:
    """Tell whether a response is a message and no problem document."""
    kind = response.headers.get("Content-Type", "")
    return kind.startswith("application/json")


def reason_of(response: HTTPResponse) -> str:
    """Return why a response is no answer, for a person."""
    try:
        problem = CONVERTER.loads(response.body or b"", dict)
        return f"{problem['title']}: {problem['detail']}"
    except (ValueError, KeyError, TypeError):
        return str(response.error or f"HTTP {response.code}")
