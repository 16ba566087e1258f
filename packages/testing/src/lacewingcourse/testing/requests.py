"""Blocking requests with JSON, for launchers and tests."""

from __future__ import annotations

import json
from typing import Any
from urllib.request import Request, urlopen

from lacewingcourse.wire.codec import encode

#: Seconds that an answer may take.
REQUEST_TIMEOUT = 30.0


def put_json(url: str, message: Any, method: str = "PUT", token: str = "") -> Any:
    """Send JSON and return the JSON that is answered."""
    body = message
    if message is not None and not isinstance(message, bytes):
        body = encode(message)
    headers = {"Content-Type": "application/json"}
    if token:
        headers |= {"Authorization": f"Bearer {token}", "If-Match": "*"}
    request = Request(url, data=body, method=method, headers=headers)
    with urlopen(request, timeout=REQUEST_TIMEOUT) as response:
        text = response.read()
    return json.loads(text) if text else None
