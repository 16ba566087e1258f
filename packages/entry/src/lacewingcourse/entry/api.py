"""The OpenAI-compatible interface for callers."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Any

import orjson
from tornado.iostream import StreamClosedError

from lacewingcourse.core.effects import FailAnswer, FinishAnswer
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import Token
from lacewingcourse.core.stream_request import StreamRequest
from lacewingcourse.daemon.handlers import JSON
from lacewingcourse.daemon.problems import error_event
from lacewingcourse.entry.caller import CLASS_HEADER, CallerHandler
from lacewingcourse.entry.keyed import answer_of
from lacewingcourse.entry.openai import parse_chat, parse_completion

if TYPE_CHECKING:
    from lacewingcourse.entry.answers import AnswerDriver
    from lacewingcourse.entry.openai import CompletionRequest

EVENT_STREAM = "text/event-stream"


class ModelsHandler(CallerHandler):
    """Lists the models."""

    def get(self) -> None:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "lacewingcourse"}
            for name in sorted(self.daemon.configuration.models)
        ]
        self.reply({"object": "list", "data": models})


class GenerationHandler(CallerHandler):
    """Answers with generated text; variants say how it is wrapped.

    Attributes:
        object_name: Value of `object` in an answer.
        chunk_name: Value of `object` in an event.
        id_prefix: Start of an answer's id.
        parse: Checks the body.
    """

    object_name = ""
    chunk_name = ""
    id_prefix = ""
    parse = staticmethod(parse_completion)

    def initialize(self, daemon: Any) -> None:
        super().initialize(daemon)
        self.driver: AnswerDriver | None = None
        self.waiting = ""

    async def post(self) -> None:
        checked = self._checked()
        if isinstance(checked, Refusal):
            self.refuse(checked)
            return
        request = StreamRequest(
            stream=uuid.uuid4().hex,
            organisation=self.organisation,
            work_class=self._work_class(checked),
            model=checked.model,
            prompt=checked.prompt,
            sampling=checked.sampling,
            priority=0.0,
            entry_url=self.daemon.settings.advertised_url,
        )
        work_class = self.daemon.configuration.classes.get(request.work_class)
        self.record.describe(work_class, request.model)
        poison = self.daemon.poison.refusal_of(request)
        if poison is not None:
            self.refuse(poison)
            return
        self.waiting = request.stream
        driver = await answer_of(self, request)
        if isinstance(driver, Refusal):
            self.refuse(driver)
            return
        self.driver = driver
        self.driver.meter = self.record.meter
        try:
            await self._answer(checked)
        except StreamClosedError:
            self.record.gone()
        finally:
            self.daemon.forget(self.driver)

    def _checked(self) -> CompletionRequest | Refusal:
        """Return the request of the body, or why it is refused."""
        try:
            document = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            return Refusal(ErrorKind.MALFORMED, f"not JSON: {error}")
        checked = self.parse(document)
        if isinstance(checked, Refusal):
            return checked
        model = self.daemon.configuration.models.get(checked.model)
        if model is None:
            reason = f"no model {checked.model!r}"
            return Refusal(ErrorKind.UNKNOWN_MODEL, reason, pointer="/model")
        if len(checked.prompt) > model.max_prompt:
            reason = f"more than {model.max_prompt} characters"
            return Refusal(ErrorKind.PROMPT_TOO_LONG, reason)
        work_class = self._work_class(checked)
        if work_class and work_class not in self.daemon.configuration.classes:
            reason = f"no class of work {work_class!r}"
            return Refusal(ErrorKind.UNKNOWN_CLASS, reason)
        return checked

    def _work_class(self, request: CompletionRequest) -> str:
        """Return the class of work that the caller or the model names."""
        named = self.request.headers.get(CLASS_HEADER)
        if named:
            return named
        return self.daemon.configuration.models[request.model].work_class

    async def _answer(self, request: CompletionRequest) -> None:
        if request.stream:
            await self._answer_events(request)
        else:
            await self._answer_whole(request)

    async def _answer_whole(self, request: CompletionRequest) -> None:
        """Send the answer in one piece."""
        texts = []
        async for event in self.driver.read():
            match event:
                case Token():
                    texts.append(event.text)
                case FinishAnswer():
                    self.record.whole = True
                    choice = self.whole_choice("".join(texts), event.reason)
                    document = self._document(request, [choice], self.usage())
                    self.set_header("Content-Type", JSON)
                    await self.finish(orjson.dumps(document))
                case FailAnswer():
                    self.refuse(self.daemon.admission.with_retry_after(event.refusal))

    async def _answer_events(self, request: CompletionRequest) -> None:
        """Send the answer token by token."""
        first = True
        async for event in self.driver.read():
            match event:
                case Token():
                    if first:
                        self.set_header("Content-Type", EVENT_STREAM)
                        self.set_header("Cache-Control", "no-store")
                    elif not event.text:
                        continue
                    choice = self.chunk_choice(event.text, None, first)
                    first = False
                    await self._send_event(self._chunk(request, [choice], None))
                case FinishAnswer():
                    choice = self.chunk_choice("", event.reason, False)
                    await self._send_event(self._chunk(request, [choice], None))
                    if request.include_usage:
                        chunk = self._chunk(request, [], self.usage())
                        await self._send_event(chunk)
                    self.write(b"data: [DONE]\n\n")
                    self.record.whole = True
                    await self.finish()
                case FailAnswer():
                    if first:
                        self.refuse(
                            self.daemon.admission.with_retry_after(event.refusal)
                        )
                        continue
                    self.record.refuse(event.refusal)
                    await self._send_event(error_event(event.refusal))
                    await self.finish()

    async def _send_event(self, document: Any) -> None:
        self.write(b"data: " + orjson.dumps(document) + b"\n\n")
        await self.flush()

    def usage(self) -> dict[str, int]:
        """Return the token counts of the answer."""
        state = self.driver.state
        made = len(state.delivered)
        return {
            "prompt_tokens": state.prompt_length,
            "completion_tokens": made,
            "total_tokens": state.prompt_length + made,
        }

    def _document(self, request, choices, usage) -> dict[str, Any]:
        return {
            "id": self.id_prefix + self.driver.stream,
            "object": self.object_name,
            "created": int(time.time()),
            "model": request.model,
            "choices": choices,
            "usage": usage,
        }

    def _chunk(self, request, choices, usage) -> dict[str, Any]:
        document = self._document(request, choices, usage)
        document["object"] = self.chunk_name
        if usage is None:
            del document["usage"]
        return document

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of an answer in one piece."""
        raise NotImplementedError

    def chunk_choice(
        self, text: str, reason: str | None, first: bool
    ) -> dict[str, Any]:
        """Return the choice of an event."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        super().on_connection_close()
        if self.driver is not None:
            self.daemon.forget(self.driver)
        else:
            self.daemon.admission.leave(self.waiting)


class CompletionHandler(GenerationHandler):
    """Answers `/v1/completions`."""

    object_name = "text_completion"
    chunk_name = "text_completion"
    id_prefix = "cmpl-"

    def whole_choice(self, text, reason):
        return {"index": 0, "text": text, "finish_reason": reason, "logprobs": None}

    def chunk_choice(self, text, reason, first):
        return self.whole_choice(text, reason)


class ChatHandler(GenerationHandler):
    """Answers `/v1/chat/completions`."""

    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"
    id_prefix = "chatcmpl-"
    parse = staticmethod(parse_chat)

    def whole_choice(self, text, reason):
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": reason}

    def chunk_choice(self, text, reason, first):
        delta: dict[str, str] = {"content": text} if text else {}
        if first:
            delta["role"] = "assistant"
        return {"index": 0, "delta": delta, "finish_reason": reason}


API_ROUTES = [
    (r"/v1/models", ModelsHandler),
    (r"/v1/completions", CompletionHandler),
    (r"/v1/chat/completions", ChatHandler),
]
