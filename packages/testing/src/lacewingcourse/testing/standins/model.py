"""A model whose every token depends on every layer's pass over the whole history."""

from __future__ import annotations

from collections.abc import Iterable

#: Words of the vocabulary.
VOCABULARY = 4096
_MASK = (1 << 61) - 1
_SYLLABLES = (
    "ba ce di fo gu ha je ki lo mu na pe qui ro su ta ve wi xo yu "
    "bra cle dri flo gru sha tre pli sto vru la me"
).split()


def mix(left: int, right: int) -> int:
    """Return a number that depends on both numbers and on their order."""
    value = (left * 0x9E3779B97F4A7C15 + right + 0x7F4A7C15) & _MASK
    value ^= value >> 29
    value = (value * 0xBF58476D1CE4E5B9) & _MASK
    return value ^ (value >> 32)


def text_number(text: str) -> int:
    """Return a number that depends on a text, the same in every process."""
    value = 0
    for byte in text.encode():
        value = mix(value, byte + 1)
    return value


def tokenise(text: str) -> list[int]:
    """Return the token numbers of a text, one a word; never empty."""
    return [text_number(word) % VOCABULARY for word in text.split()] or [0]


def token_text(token: int) -> str:
    """Return the text of a generated token."""
    count = len(_SYLLABLES)
    first, rest = divmod(token, count * count)
    second, third = divmod(rest, count)
    return _SYLLABLES[first % count] + _SYLLABLES[second] + _SYLLABLES[third] + " "


def run_layer(seed: int, layer: int, memory: int, value: int) -> tuple[int, int]:
    """Run one layer on one position.

    Args:
        seed: Number of the model and its version.
        layer: Index of the layer.
        memory: The layer's memory of all earlier positions.
        value: Output of the layer before, or the token number.

    Returns:
        The layer's output and its new memory.
    """
    memory = mix(memory, value)
    return mix(mix(seed + layer, value), memory), memory


def model_seed(model: str, version: str) -> int:
    """Return the number of a model and its version."""
    return text_number(f"{model}@{version}")


def sample(value: int, temperature: float, seed: int) -> int:
    """Return the token that the last layer's output gives."""
    if temperature > 0:
        value = mix(value, mix(seed, int(temperature * 1000)))
    return value % VOCABULARY


def generate(
    model: str,
    version: str,
    layer_count: int,
    prompt: str,
    max_tokens: int,
    temperature: float = 0.0,
    seed: int = 0,
) -> list[int]:
    """Return the tokens that a whole model would generate, without any engine."""
    number = model_seed(model, version)
    memories = [0] * layer_count
    made: list[int] = []
    inputs: Iterable[int] = tokenise(prompt)
    while len(made) < max_tokens:
        value = 0
        for token in inputs:
            value = token
            for layer in range(layer_count):
                value, memories[layer] = run_layer(
                    number, layer, memories[layer], value
                )
        made.append(sample(value, temperature, seed))
        inputs = [made[-1]]
    return made


def expected_text(
    model: str, version: str, layer_count: int, prompt: str, max_tokens: int
) -> str:
    """Return the whole answer to a prompt at temperature 0."""
    tokens = generate(model, version, layer_count, prompt, max_tokens)
    return "".join(token_text(token) for token in tokens)
