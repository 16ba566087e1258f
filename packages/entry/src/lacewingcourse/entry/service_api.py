"""Plain services, passed through."""

from __future__ import annotations

import base64
import uuid
from typing import TYPE_CHECKING

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import Call, CallReply, Header
from lacewingcourse.entry.caller import CLASS_HEADER, KEY_HEADER, CallerHandler
from lacewingcourse.wire import paths

if TYPE_CHECKING:
    from lacewingcourse.core.configuration import Service

#: Headers of a request that are not passed on.
NOT_PASSED = frozenset(
    {"authorization", "connection", "content-length", "host", "idempotency-key"}
    | {"keep-alive", "transfer-encoding", "upgrade", "expect", "te", "trailer"}
)


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
        self.daemon.calls_running += 1
        try:
            reply = await self._run(service, path)
        finally:
            self.daemon.calls_running -= 1
        if isinstance(reply, Refusal):
            self.refuse(reply)
        elif reply.kind is not None:
            self.refuse(Refusal(reply.kind, reply.reason, reply.outcome))
        else:
            self._pass_back(reply)

    async def _run(self, service: str, path: str) -> CallReply | Refusal:
        """Run the call on one of the service's endpoints."""
        holders = [
            endpoint
            for endpoint in self.daemon.directory.endpoints.values()
            if endpoint.service == service and endpoint.takes_new_work()
        ]
        if not holders:
            reason = f"no endpoint runs {service!r}"
            return Refusal(ErrorKind.NO_ROUTE, reason, retry_after=1.0)
        chosen = self.daemon.rng.choice(holders)
        call = self._call(service, path, chosen.incarnation)
        reply = await self.daemon.peers.send(
            chosen.agent_url,
            paths.CALL,
            call,
            CallReply,
            self.daemon.settings.call_timeout,
        )
        failed = isinstance(reply, Refusal)
        if failed or reply.kind is ErrorKind.STALE_INCARNATION:
            self.daemon.directory.mark_lost(chosen.id, chosen.incarnation)
        return reply

    def _call(self, service: str, path: str, incarnation: str) -> Call:
        request = self.request
        query = f"?{request.query}" if request.query else ""
        return Call(
            call=uuid.uuid4().hex,
            incarnation=incarnation,
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
            key=request.headers.get(KEY_HEADER, ""),
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
        body = base64.b64decode(reply.body)
        if body:
            self.write(body)
        self.finish()

    get = post = put = patch = delete = head = handle


SERVICE_ROUTES = [(r"/services/([A-Za-z0-9._-]+)/(.*)", ServiceHandler)]
