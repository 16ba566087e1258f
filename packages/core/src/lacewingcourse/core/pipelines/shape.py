"""Published performance figures of engines: layers, memory and step times."""

from __future__ import annotations

import attrs

#: Bytes per megabyte, the unit of published memory sizes, and bits per megabit.
MEGABYTE = 1_000_000


@attrs.frozen
class Layers:
    """A half-open range of layers.

    Attributes:
        start: First layer.
        end: Layer after the last one.
    """

    start: int
    end: int

    def __len__(self) -> int:
        return self.end - self.start

    def covers(self, other: Layers) -> bool:
        """Return whether this range contains another one."""
        return self.start <= other.start and other.end <= self.end


@attrs.frozen
class Accelerator:
    """A kind of accelerator.

    Attributes:
        name: Its name.
        memory_mb: Its memory in megabytes, for layers and requests together.
        step_factor: Time of a decode step relative to the reference kind.
        read_factor: Time of a prefill relative to the reference kind.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


@attrs.frozen
class EngineShape:
    """The published performance figures of the engines of one service.

    Times are those of a pass through all layers on the reference kind of accelerator; a
    part of the layers takes its share of them.

    Attributes:
        model: Name of the model.
        layers: Number of layers of the model.
        layer_mb: Memory of a layer's weights in megabytes.
        token_bytes: Bytes that a token's keys and values take over all layers.
        step_ms: Milliseconds of a decode step without any request.
        sequence_ms: Milliseconds that each decoding request adds to a step.
        context_ms: Milliseconds that each 1,000 tokens of a decoding request's context
            add to a step.
        read_tokens_per_ms: Prompt tokens processed per millisecond of prefill.
        slots: Requests that an engine accepts as the first part of a path.
        load_seconds: Seconds to load all layers.
        activation_bytes: Bytes sent from part to part for each token.
        pipe_mbps: Megabits per second of the link between two availability zones, 0 if
            transfers take no time.
        usual_prompt: Mean length of prompts in tokens.
        usual_answer: Mean length of answers in tokens.
        accelerators: Kinds of accelerators by name.
        event_tokens: Tokens that each event of a stream holds.
        chunk_tokens: Maximum number of prompt tokens that a step reads, 0 for any.
    """

    model: str
    layers: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    read_tokens_per_ms: float
    slots: int
    load_seconds: float
    activation_bytes: float
    pipe_mbps: float
    usual_prompt: int
    usual_answer: int
    accelerators: dict[str, Accelerator]
    event_tokens: int = 1
    chunk_tokens: int = 0

    @property
    def token_layer_bytes(self) -> float:
        """Bytes of one token's keys and values in one layer."""
        return self.token_bytes / self.layers

    @property
    def mean_request_tokens(self) -> int:
        """Mean tokens of a request, prompt and answer together."""
        return self.usual_prompt + self.usual_answer

    def max_layers(self, accelerator: Accelerator) -> int:
        """Return how many layers an accelerator's memory holds, without any request."""
        return min(self.layers, int(accelerator.memory_mb // self.layer_mb))

    def kv_capacity(self, accelerator: Accelerator, held: int) -> float:
        """Return the memory left for requests, in tokens times layers.

        Args:
            accelerator: The kind of accelerator.
            held: Number of layers that it holds.
        """
        free_mb = accelerator.memory_mb - held * self.layer_mb
        return max(0.0, free_mb * MEGABYTE / self.token_layer_bytes)

    def transfer_seconds(self, tokens: int) -> float:
        """Return the seconds for which a prompt occupies a link between zones."""
        if not self.pipe_mbps:
            return 0.0
        return tokens * self.activation_bytes * 8 / (self.pipe_mbps * MEGABYTE)

    def decode_step_ms(
        self, accelerator: Accelerator, span: int, running: float
    ) -> float:
        """Return the milliseconds of a decode step on a part of the layers.

        Args:
            accelerator: The kind of accelerator.
            span: Number of layers that the part runs.
            running: Number of requests that decode in the same step.
        """
        context = self.context_ms * self.mean_request_tokens / 1000
        all_layers_ms = self.step_ms + running * (self.sequence_ms + context)
        return all_layers_ms * accelerator.step_factor * span / self.layers

    def prefill_ms(self, accelerator: Accelerator, span: int, tokens: int) -> float:
        """Return the milliseconds of a prompt's prefill on a part of the layers.

        Args:
            accelerator: The kind of accelerator.
            span: Number of layers that the part runs.
            tokens: Tokens of the prompt.
        """
        all_layers_ms = tokens / self.read_tokens_per_ms
        return all_layers_ms * accelerator.read_factor * span / self.layers
