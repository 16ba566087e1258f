"""What is published of an engine: its model's layers, memory and step times."""

from __future__ import annotations

import attrs

#: Bytes in the megabyte that memory sizes are published in.
MEGABYTE = 1_000_000


@attrs.frozen
class Layers:
    """A range of layers.

    Attributes:
        start: First layer.
        end: Layer after the last one.
    """

    start: int
    end: int

    def __len__(self) -> int:
        return self.end - self.start

    def covers(self, other: Layers) -> bool:
        """Tell whether every layer of another range lies in this one."""
        return self.start <= other.start and other.end <= self.end


@attrs.frozen
class Accelerator:
    """A kind of accelerator.

    Attributes:
        name: Its name.
        memory_mb: Its memory in megabytes, for layers and requests together.
        step_factor: How many times as long a step takes as on the reference kind.
        read_factor: How many times as long reading a prompt takes.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


@attrs.frozen
class EngineShape:
    """The published figures of the engines of one service.

    Times hold for a pass through all layers on the reference kind; a part of the
    layers takes its share of them.

    Attributes:
        model: Name of the model.
        layers: Layers of the model.
        layer_mb: Memory of a layer in megabytes.
        token_bytes: Memory that a token's keys and values take over all layers.
        step_ms: Milliseconds of a step without any request.
        sequence_ms: Milliseconds a step takes longer for each request that writes.
        context_ms: Milliseconds it takes longer for each 1,000 tokens of context.
        read_tokens_per_ms: Prompt tokens read in a millisecond.
        slots: Requests that an engine takes as the first of a path.
        load_seconds: Seconds in which all layers are loaded.
        activation_bytes: Bytes that pass from part to part for each token.
        pipe_mbps: Megabits a second between two availability zones.
        usual_prompt: Mean prompt in tokens.
        usual_answer: Mean answer in tokens.
        accelerators: Kinds by name.
        event_tokens: Tokens that one event of a stream holds.
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

    @property
    def token_layer_bytes(self) -> float:
        """Bytes that one token takes in one layer."""
        return self.token_bytes / self.layers

    @property
    def mean_request_tokens(self) -> int:
        """Tokens of a usual request, prompt and answer."""
        return self.usual_prompt + self.usual_answer

    def max_layers(self, accelerator: Accelerator) -> int:
        """Return how many layers an accelerator's memory can hold."""
        return min(self.layers, int(accelerator.memory_mb // self.layer_mb))

    def kv_capacity(self, accelerator: Accelerator, held: int) -> float:
        """Return the memory left for requests, in tokens times layers.

        Args:
            accelerator: The kind of accelerator.
            held: Layers that it holds.
        """
        free_mb = accelerator.memory_mb - held * self.layer_mb
        return max(0.0, free_mb * MEGABYTE / self.token_layer_bytes)

    def transfer_seconds(self, tokens: int) -> float:
        """Return the seconds for which a prompt takes a pipe between zones."""
        if not self.pipe_mbps:
            return 0.0
        return tokens * self.activation_bytes * 8 / (self.pipe_mbps * MEGABYTE)

    def decode_step_ms(
        self, accelerator: Accelerator, span: int, running: float
    ) -> float:
        """Return the milliseconds of a token's step on a part of the layers.

        Args:
            accelerator: The kind of accelerator.
            span: Layers that the part runs.
            running: Requests that write in the same step.
        """
        context = self.context_ms * self.mean_request_tokens / 1000
        all_layers_ms = self.step_ms + running * (self.sequence_ms + context)
        return all_layers_ms * accelerator.step_factor * span / self.layers

    def prefill_ms(self, accelerator: Accelerator, span: int, tokens: int) -> float:
        """Return the milliseconds in which a part of the layers reads a prompt."""
        all_layers_ms = tokens / self.read_tokens_per_ms
        return all_layers_ms * accelerator.read_factor * span / self.layers
