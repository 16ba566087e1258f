"""Fields of the OpenAI-compatible interface that are not served.

Stock clients send many of them with a value that asks for nothing. Such values are
accepted; any other is refused, since to drop it silently would answer another question.
"""

from __future__ import annotations

from typing import Any

#: Values, by field, that ask for nothing. `null` always does.
NEUTRAL_VALUES: dict[str, tuple[Any, ...]] = {
    "audio": (),
    "best_of": (1,),
    "echo": (False,),
    "frequency_penalty": (0, 0.0),
    "function_call": ("none",),
    "functions": ([],),
    "logit_bias": ({},),
    "logprobs": (False,),
    "modalities": (["text"],),
    "n": (1,),
    "parallel_tool_calls": (True, False),
    "prediction": (),
    "presence_penalty": (0, 0.0),
    "reasoning_effort": ("none",),
    "response_format": ({"type": "text"},),
    "service_tier": ("auto", "default"),
    "store": (False,),
    "suffix": ("",),
    "tool_choice": ("none", "auto"),
    "tools": ([],),
    "top_logprobs": (0,),
    "top_p": (1, 1.0),
    "web_search_options": (),
}
#: Fields that say something about the caller and change no answer.
IGNORED_FIELDS = frozenset(
    {"metadata", "prompt_cache_key", "safety_identifier", "user", "verbosity"}
)


def is_neutral(field: str, value: Any) -> bool:
    """Tell whether a field that is not served asks for nothing."""
    if value is None:
        return True
    return any(
        type(value) is type(neutral) and value == neutral
        for neutral in NEUTRAL_VALUES[field]
    )


def neutral_text(field: str) -> str:
    """Return the values that a field may have, for a person."""
    shown = [str(value) for value in NEUTRAL_VALUES[field]]
    return "; leave it out" if not shown else f"; it may only be {' or '.join(shown)}"
