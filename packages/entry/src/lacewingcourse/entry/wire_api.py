"""The entry's handlers for messages of agents."""

from __future__ import annotations

from lacewingcourse.core.messages import (
    AliveRequest,
    Status,
    TokenBatch,
    TokenBatchReply,
    TroubleBatch,
)
from lacewingcourse.core.poison import PoisonNotice
from lacewingcourse.daemon.handlers import WireHandler
from lacewingcourse.wire import paths


class TokensHandler(WireHandler):
    """Receives tokens."""

    def post(self) -> None:
        batch = self.message(TokenBatch)
        if batch is None:
            return
        directory = self.daemon.directory
        directory.mark_seen(batch.sender, batch.incarnation)
        if batch.status is not None:
            directory.take_status(batch.status)
        self.reply(TokenBatchReply(self.daemon.take_tokens(batch)))


class TroublesHandler(WireHandler):
    """Receives word of stages that cannot go on."""

    def post(self) -> None:
        batch = self.message(TroubleBatch)
        if batch is None:
            return
        for trouble in batch.troubles:
            answer = self.daemon.answers.get(trouble.stream)
            if answer is not None:
                answer.on_stage_trouble(trouble)
        self.reply(TokenBatchReply())


class StatusHandler(WireHandler):
    """Receives word of changes at agents."""

    def post(self) -> None:
        status = self.message(Status)
        if status is None:
            return
        self.daemon.directory.take_status(status)
        self.reply(TokenBatchReply())


class AliveHandler(WireHandler):
    """Tells an agent which attempts have ended."""

    def post(self) -> None:
        request = self.message(AliveRequest)
        if request is not None:
            self.reply(TokenBatchReply(self.daemon.ended_of(request)))


class PoisonHandler(WireHandler):
    """Receives other entries' word on requests that crash their endpoints."""

    def post(self) -> None:
        notice = self.message(PoisonNotice)
        if notice is None:
            return
        self.daemon.poison.take(notice)
        self.reply(TokenBatchReply())


WIRE_ROUTES = [
    (paths.TOKENS, TokensHandler),
    (paths.TROUBLES, TroublesHandler),
    (paths.STATUS, StatusHandler),
    (paths.LEAVING, StatusHandler),
    (paths.ALIVE, AliveHandler),
    (paths.POISON, PoisonHandler),
]
