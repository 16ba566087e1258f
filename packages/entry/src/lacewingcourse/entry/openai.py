"""Requests and answers of the OpenAI-compatible interface."""

from __future__ import annotations

from typing import Any

import attrs

from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.messages import Sampling
from lacewingcourse.entry.neutral_fields import (
    IGNORED_FIELDS,
    NEUTRAL_VALUES,
    is_neutral,
    neutral_text,
)

#: Tokens of an answer when the caller names no number.
DEFAULT_MAX_TOKENS = 64
#: Tokens of an answer at the most.
MAX_TOKENS = 32768
#: Roles of chat messages.
ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})
#: Fields that both interfaces know.
SHARED_FIELDS = (
    frozenset({"model", "max_tokens", "max_completion_tokens", "temperature"})
    | {"seed", "stop", "stream", "stream_options"}
    | NEUTRAL_VALUES.keys()
    | IGNORED_FIELDS
)
#: Stop texts of a request at the most, and the characters of one.
MAX_STOPS = 16
MAX_STOP_LENGTH = 256
#: Seeds are whole numbers that fit into 64 bits with a sign.
SEED_BOUND = 2**63


@attrs.frozen
class CompletionRequest:
    """A checked request for a completion.

    Attributes:
        model: Name of the model.
        prompt: The prompt.
        sampling: How tokens are chosen.
        stream: Whether the answer is sent as server-sent events.
        include_usage: Whether a streamed answer ends with its usage.
    """

    model: str
    prompt: str
    sampling: Sampling
    stream: bool
    include_usage: bool


def invalid(pointer: str, reason: str) -> Refusal:
    """Return the refusal for a bad field."""
    return Refusal(ErrorKind.INVALID_FIELD, reason, pointer=pointer)


def parse_completion(document: Any) -> CompletionRequest | Refusal:
    """Check the body of a request to `/v1/completions`."""
    refused = check_fields(document, SHARED_FIELDS | {"prompt"})
    if refused is not None:
        return refused
    prompt = document.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        return invalid("/prompt", "must be a text that is not empty")
    return parse_shared(document, prompt)


def parse_chat(document: Any) -> CompletionRequest | Refusal:
    """Check the body of a request to `/v1/chat/completions`."""
    refused = check_fields(document, SHARED_FIELDS | {"messages"})
    if refused is not None:
        return refused
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return invalid("/messages", "must be a list that is not empty")
    lines = []
    for index, message in enumerate(messages):
        line = parse_message(message, f"/messages/{index}")
        if isinstance(line, Refusal):
            return line
        lines.append(line)
    return parse_shared(document, chat_prompt(lines))


def chat_prompt(lines: list[str]) -> str:
    """Return the prompt that a chat's lines make."""
    return "\n".join([*lines, "assistant:"])


def parse_message(message: Any, pointer: str) -> str | Refusal:
    """Return a chat message as a line of the prompt."""
    if not isinstance(message, dict):
        return invalid(pointer, "must be an object")
    role = message.get("role")
    if not isinstance(role, str) or role not in ROLES:
        return invalid(pointer + "/role", f"must be one of {', '.join(sorted(ROLES))}")
    content = message.get("content")
    if isinstance(content, list):
        content = join_parts(content)
    if not isinstance(content, str):
        return invalid(pointer + "/content", "must be a text or text parts")
    return f"{message['role']}: {content}"


def join_parts(parts: list) -> str | None:
    """Return the text of content parts, or None if one is not a text."""
    texts = []
    for part in parts:
        if not isinstance(part, dict) or part.get("type", "text") != "text":
            return None
        if not isinstance(part.get("text"), str):
            return None
        texts.append(part["text"])
    return "".join(texts)


def check_fields(document: Any, known: frozenset[str]) -> Refusal | None:
    """Refuse a body that is no object or has unknown fields."""
    if not isinstance(document, dict):
        return Refusal(ErrorKind.MALFORMED, "the body must be a JSON object")
    for name, value in document.items():
        if name not in known:
            return invalid(f"/{name}", "is not a field of this request")
        if name in NEUTRAL_VALUES and not is_neutral(name, value):
            return invalid(f"/{name}", "is not served" + neutral_text(name))
    return None


def parse_shared(document: dict, prompt: str) -> CompletionRequest | Refusal:
    """Check the fields that both interfaces share."""
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return invalid("/model", "must name a model")
    stream = document.get("stream")
    if stream is None:
        stream = False
    if not isinstance(stream, bool):
        return invalid("/stream", "must be true or false")
    options = document.get("stream_options")
    if options is None:
        options = {}
    if not isinstance(options, dict):
        return invalid("/stream_options", "must be an object")
    sampling = parse_sampling(document)
    if isinstance(sampling, Refusal):
        return sampling
    include_usage = options.get("include_usage") is True
    return CompletionRequest(model, prompt, sampling, stream, include_usage)


def parse_sampling(document: dict) -> Sampling | Refusal:
    """Check the fields that say how tokens are chosen."""
    name = "max_tokens"
    if document.get("max_completion_tokens") is not None:
        name = "max_completion_tokens"
    max_tokens = document.get(name)
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not is_whole(max_tokens) or not 1 <= max_tokens <= MAX_TOKENS:
        return invalid(f"/{name}", f"must be a whole number from 1 to {MAX_TOKENS}")
    temperature = document.get("temperature")
    if temperature is None:
        temperature = 0.0
    if isinstance(temperature, bool) or not isinstance(temperature, (int, float)):
        return invalid("/temperature", "must be a number")
    if not 0 <= temperature <= 2:
        return invalid("/temperature", "must lie between 0 and 2")
    seed = document.get("seed")
    if seed is None:
        seed = 0
    if not is_whole(seed) or not -SEED_BOUND <= seed < SEED_BOUND:
        return invalid("/seed", "must be a whole number of 64 bits")
    stop = parse_stop(document.get("stop"))
    if isinstance(stop, Refusal):
        return stop
    return Sampling(float(temperature), seed, max_tokens, stop)


def parse_stop(stop: Any) -> tuple[str, ...] | Refusal:
    """Return the texts that end an answer."""
    if stop is None:
        return ()
    if isinstance(stop, str):
        stop = [stop]
    if not isinstance(stop, list) or len(stop) > MAX_STOPS:
        return invalid("/stop", f"must be a text or a list of at most {MAX_STOPS}")
    for index, text in enumerate(stop):
        if not isinstance(text, str) or not 1 <= len(text) <= MAX_STOP_LENGTH:
            reason = f"must be a text of 1 to {MAX_STOP_LENGTH} characters"
            return invalid(f"/stop/{index}", reason)
    return tuple(stop)


def is_whole(value: Any) -> bool:
    """Tell whether a value is a whole number and no boolean."""
    return isinstance(value, int) and not isinstance(value, bool)
