"""Plain services, passed through."""

from __future__ import annotations

import base64
import time
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.errors import ErrorKind, Outcome, Refusal
from lacewingcourse.core.keys import Key, fingerprint_of, mint_key, parse_key
from lacewingcourse.core.messages import Call, CallReply, Header
from lacewingcourse.entry.caller import (
    CLASS_HEADER,
    KEY_HEADER,
    REPLAYED_HEADER,
    CallerHandler,
)

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import Service

#: Headers of a request that are not passed on.
NOT_PASSED = frozenset(
    {"authorization", "connection", "content-length", "host", "idempotency-key"}
    | {"keep-alive", "transfer-encoding", "upgrade", "expect", "te", "trailer"}
)
#: Least and most seconds after which a refused call may be sent again.
RETRY_AFTER = (1.0, 3.0)


class ServiceHandler(CallerHandler):
    """Passes a call on to an endpoint of its service."""

    async def handle(self, service: str, path: str) -> None:
        """Run the call and answer with what the service answered."""
        known = self.daemon.configuration.services.get(service)
        if known is None:
            reason = f"no service {service!r}"
            self.refuse(Refusal(ErrorKind.UNKNOWN_SERVICE, reason))
            return
        work_class = self.daemon.configuration.classes.get(self._work_class(known))
        self.record.describe(work_class, service)
        key = self._key(known, path)
        if isinstance(key, Refusal):
            self.refuse(key)
            return
        self.daemon.calls_running += 1
        try:
            reply = await self._run(service, path, key)
        finally:
            self.daemon.calls_running -= 1
        if reply.kind is not None:
            self.refuse(self._refusal_of(reply))
        else:
            self._pass_back(reply)

    def _key(self, service: Service, path: str) -> Key | Refusal | None:
        """Return the call's key; one is made for a call that may not be repeated.

        The caller learns the key from the answer, so that it can send the call again
        with it if the outcome is not known.
        """
        text = self.request.headers.get(KEY_HEADER)
        if text is None:
            if not service.runs_once(self.request.method, f"/{path}"):
                return None
            text = mint_key(time.time(), self.daemon.rng)
        key = parse_key(text)
        if isinstance(key, Key):
            self.set_header(KEY_HEADER, key.text)
        return key

    def _refusal_of(self, reply: CallReply | Refusal) -> Refusal:
        """Return the refusal for a call without an answer."""
        refusal = Refusal(reply.kind, reply.reason, reply.outcome)
        not_run = reply.outcome is Outcome.NOT_RUN and refusal.answer.retryable
        if not_run or reply.kind is ErrorKind.KEY_IN_PROGRESS:
            wait = self.daemon.rng.uniform(*RETRY_AFTER)
            return attrs.evolve(refusal, retry_after=wait)
        return refusal

    async def _run(
        self, service: str, path: str, key: Key | None
    ) -> CallReply | Refusal:
        """Run the call: with a key at the key's home, else anywhere."""
        call = self._call(service, path, key)
        if key is None:
            return await self.daemon.calls.send_anywhere(call)
        fingerprint = fingerprint_of(call.method, call.path, self.request.body)
        first_use = KEY_HEADER not in self.request.headers
        return await self.daemon.calls.send_home(call, fingerprint, first_use)

    def _call(self, service: str, path: str, key: Key | None) -> Call:
        """Return the call; its name and receiver are set for each sending."""
        request = self.request
        query = f"?{request.query}" if request.query else ""
        return Call(
            call="",
            incarnation="",
            organisation=self.organisation,
            service=service,
            method=request.method,
            path=f"/{path}{query}",
            headers=tuple(
                Header(name, value)
                for name, value in request.headers.get_all()
                if name.lower() not in NOT_PASSED
            ),
            body=base64.b64encode(request.body).decode(),
            key=key.text if key else "",
        )

    def _work_class(self, service: Service) -> str:
        """Return the class of work that the caller or the service names."""
        return self.request.headers.get(CLASS_HEADER) or service.work_class

    def _pass_back(self, reply: CallReply) -> None:
        self.record.whole = True
        self.set_status(reply.status)
        self.clear_header("Content-Type")
        for header in reply.headers:
            self.add_header(header.name, header.value)
        if reply.replayed:
            self.set_header(REPLAYED_HEADER, "true")
        body = base64.b64decode(reply.body)
        if body:
            self.write(body)
        self.finish()

    get = post = put = patch = delete = head = handle


SERVICE_ROUTES = [(r"/services/([A-Za-z0-9._-]+)/(.*)", ServiceHandler)]
