"""One stream over several gates, with reordering, repeats, loss and restarts."""

from __future__ import annotations

import itertools

import attrs
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lacewingcourse.core import effects as fx
from lacewingcourse.core.errors import ErrorKind, Refusal
from lacewingcourse.core.layers import LayerRange
from lacewingcourse.core.messages import OpenReply, Sampling, Trouble
from lacewingcourse.core.routes import Route, Stage
from lacewingcourse.core.stage_state import ForwardResult
from lacewingcourse.core.stages import OUTPUT_BYTES, StageGate
from lacewingcourse.core.stream_request import Phase, StreamRequest
from lacewingcourse.core.streams import StreamState

#: Layers that endpoints hold; each range is held by two endpoints.
RANGES = (LayerRange(0, 2), LayerRange(2, 3), LayerRange(3, 6))
#: Tokens of the prompt.
PROMPT = (901, 902, 903)
#: Tokens of the answer.
TOKENS = 7
#: Failures of one run; fewer than the attempts after which a stream is given up.
FAILURES = 6
#: Deliveries after which a run must have ended.
PATIENCE = 5000


@attrs.define(eq=False)
class Endpoint:
    """A gate and its engine, which knows the history behind each value it cached."""

    name: str
    layers: LayerRange
    gate: StageGate
    cache: dict[tuple[str, int], list[tuple[int, ...]]]


class World:
    """Gates, engines and the packets between them; samples are never the same twice."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.numbers = itertools.count(1)
        self.histories: dict[int, tuple[int, ...]] = {}
        self.sampled: dict[int, tuple[int, ...]] = {}
        self.ran: set[tuple] = set()
        self.packets: list[tuple] = []
        self.late: list[tuple] = []
        self.works: list[tuple[Endpoint, fx.RunForward]] = []
        self.delivered: list[int] = []
        self.end: fx.FinishAnswer | fx.FailAnswer | None = None
        self.endpoints = {
            f"{copy}{index}": self.new_endpoint(f"{copy}{index}", layers)
            for index, layers in enumerate(RANGES)
            for copy in "ab"
        }
        request = StreamRequest(
            stream="s",
            organisation="o",
            work_class="",
            model="m",
            prompt="p",
            sampling=Sampling(max_tokens=TOKENS),
            priority=0.0,
            entry_url="e",
        )
        self.state = StreamState(request)
        self.perform([fx.ChooseRoute(frozenset())], None)

    def new_endpoint(self, name: str, layers: LayerRange) -> Endpoint:
        incarnation = f"{name}.{next(self.numbers)}"
        budget = self.budget * OUTPUT_BYTES
        gate = StageGate(name, incarnation, output_budget=budget)
        return Endpoint(name, layers, gate, {})

    def perform(self, effects, sender: Endpoint | None) -> None:
        for effect in effects:
            match effect:
                case fx.RunForward():
                    self.works.append((sender, effect))
                case fx.CancelForward():
                    sender.cache.pop((effect.stream, effect.attempt), None)
                case fx.DeliverToken():
                    self.deliver_token(effect.token)
                case fx.FinishAnswer() | fx.FailAnswer():
                    assert self.end is None
                    self.end = effect
                case fx.AskReport():
                    pass
                case _:
                    self.packets.append((effect, sender))

    def deliver_token(self, token) -> None:
        """Check that a token follows from exactly what was delivered before it."""
        assert token.index == len(self.delivered)
        assert self.sampled[token.token] == (*PROMPT, *self.delivered)
        self.delivered.append(token.token)

    def current(self, target) -> Endpoint | None:
        """Return the endpoint of an address if it has not restarted since."""
        endpoint = self.endpoints[target.endpoint]
        same = endpoint.gate.incarnation == target.incarnation
        return endpoint if same else None

    def deliver(self, packet: tuple) -> None:
        """Let a packet arrive."""
        effect, sender = packet
        state = self.state
        if isinstance(effect, fx.ChooseRoute):
            self.perform(state.begin(self.route(effect), 0.0), None)
            return
        if isinstance(effect, fx.SendToken):
            self.perform(state.on_token(effect.token, 0.0), None)
            return
        if isinstance(effect, fx.SendTrouble):
            trouble = effect.trouble
            self.perform(
                state.on_trouble(trouble.attempt, trouble.endpoint, trouble.kind, 0.0),
                None,
            )
            return
        endpoint = self.current(effect.target)
        if endpoint is None:
            self.lose(packet)
            return
        self.deliver_to_gate(effect, endpoint)

    def deliver_to_gate(self, effect, endpoint: Endpoint) -> None:
        gate = endpoint.gate
        match effect:
            case fx.SendOpen(message=message):
                reply, effects = gate.open(message, 0.0)
                self.perform(effects, endpoint)
                self.perform(
                    self.state.on_open_reply(
                        message.attempt, message.index, reply, 0.0
                    ),
                    None,
                )
            case fx.SendStart(message=message, index=index):
                reply, effects = gate.start(message, 0.0)
                self.perform(effects, endpoint)
                self.perform(
                    self.state.on_start_reply(message.attempt, index, reply, 0.0),
                    None,
                )
            case fx.SendHop(hop=hop):
                self.perform(gate.receive(hop, 0.0)[1], endpoint)
            case fx.SendRevoke(target=target, message=message):
                reply, effects = gate.revoke(message.stream, message.attempt, 0.0)
                self.perform(effects, endpoint)
                self.perform(self.state.on_revoke_reply(target, reply, 0.0), None)

    def lose(self, packet: tuple) -> None:
        """Let a packet's sender learn that it did not arrive."""
        effect, sender = packet
        state = self.state
        lost = OpenReply(False, "", ErrorKind.STAGE_LOST)
        match effect:
            case fx.SendOpen(message=message):
                found = state.on_open_reply(message.attempt, message.index, lost, 0.0)
                self.perform(found, None)
            case fx.SendStart(message=message, index=index):
                found = state.on_start_reply(message.attempt, index, lost, 0.0)
                self.perform(found, None)
            case fx.SendRevoke(target=target):
                self.perform(state.on_revoke_reply(target, None, 0.0), None)
            case fx.SendHop(target=target, hop=hop):
                kind = ErrorKind.STAGE_LOST
                trouble = Trouble(hop.stream, hop.attempt, target.endpoint, kind)
                self.perform(sender.gate.fail(trouble), sender)
            case fx.SendToken() | fx.SendTrouble() | fx.ChooseRoute():
                self.packets.append(packet)

    def route(self, wanted: fx.ChooseRoute) -> Route | Refusal:
        """Return a route that keeps as much of the old one as may be kept."""
        stages = []
        for index, layers in enumerate(RANGES):
            names = [f"a{index}", f"b{index}"]
            names.sort(key=lambda name: not self.in_route(wanted, name))
            able = [name for name in names if name not in wanted.excluded]
            if not able:
                return Refusal(ErrorKind.NO_ROUTE)
            incarnation = self.endpoints[able[0]].gate.incarnation
            stages.append(Stage(able[0], incarnation, "u", layers))
        return Route(tuple(stages))

    def in_route(self, wanted: fx.ChooseRoute, name: str) -> bool:
        return any(stage.endpoint == name for stage in wanted.stages)

    def run(self, endpoint: Endpoint, work: fx.RunForward) -> None:
        """Run a piece of work on its engine, as the engine checks it."""
        if endpoint is not self.endpoints[endpoint.name]:
            return
        key = (work.stream, work.attempt)
        if work.position == 0:
            endpoint.cache[key] = []
        cache = endpoint.cache.get(key)
        if cache is None:
            return
        assert len(cache) == work.position
        values = work.values
        if work.prompt is not None:
            values = (*PROMPT, *work.prompt.delivered)
        outputs = tuple(self.run_value(endpoint, key, value) for value in values)
        history = cache[-1]
        token = next(self.numbers) if work.sampling else None
        if token is not None:
            self.sampled[token] = history
        result = ForwardResult(
            stream=work.stream,
            attempt=work.attempt,
            position=work.position,
            count=len(values),
            outputs=() if token is not None else outputs,
            token=token,
            text="",
            prompt_length=len(PROMPT),
        )
        self.perform(endpoint.gate.complete(result, 0.0), endpoint)

    def run_value(self, endpoint: Endpoint, key, value: int) -> int:
        """Run one position; each value stands for the history that led to it."""
        cache = endpoint.cache[key]
        before = cache[-1] if cache else ()
        first = endpoint.layers.first == 0
        history = (*before, value) if first else self.histories[value]
        assert history[:-1] == before
        ran = (endpoint.gate.incarnation, key, len(cache))
        assert ran not in self.ran
        self.ran.add(ran)
        cache.append(history)
        number = next(self.numbers)
        self.histories[number] = history
        return number

    def restart(self, endpoint: Endpoint) -> None:
        """Replace an endpoint and its agent by a new incarnation."""
        name = endpoint.name
        self.endpoints[name] = self.new_endpoint(name, endpoint.layers)

    def notice_lost(self) -> None:
        """Let the entry see that a stage's agent has restarted."""
        for stage in self.state.stages:
            if self.current(stage) is None:
                self.perform(
                    self.state.on_trouble(
                        self.state.attempt,
                        stage.endpoint,
                        ErrorKind.STAGE_LOST,
                        0.0,
                    ),
                    None,
                )

    def finish(self) -> None:
        """Let everything arrive in order until the answer has ended."""
        self.packets.extend(self.late)
        for _ in range(PATIENCE):
            if self.end is not None:
                return
            self.notice_lost()
            if self.packets:
                self.deliver(self.packets.pop(0))
            if self.works:
                self.run(*self.works.pop(0))
        raise AssertionError("the answer did not end")


class Recovery(RuleBasedStateMachine):
    """Failures in any order leave one whole answer."""

    def __init__(self) -> None:
        super().__init__()
        self.world: World | None = None
        self.failures = 0

    @rule(budget=st.sampled_from([0, 4, 1000]))
    @precondition(lambda self: self.world is None)
    def begin(self, budget):
        self.world = World(budget)

    def pick(self, items: list, index: int, remove: bool = True):
        index %= len(items)
        return items.pop(index) if remove else items[index]

    @rule(index=st.integers(0, 7), count=st.integers(1, 12))
    @precondition(lambda self: self.world is not None)
    def deliver(self, index, count):
        for _ in range(count):
            if self.world.packets:
                self.world.deliver(self.pick(self.world.packets, index))
            if self.world.works:
                self.world.run(*self.world.works.pop(0))

    @rule(index=st.integers(0, 7))
    @precondition(lambda self: self.world is not None and self.world.packets)
    def repeat(self, index):
        packet = self.pick(self.world.packets, index, remove=False)
        if not isinstance(packet[0], fx.ChooseRoute):
            self.world.packets.append(packet)

    @rule()
    @precondition(lambda self: self.world is not None)
    def delay_tokens(self):
        """Let tokens arrive only after all that is sent from now on."""
        world = self.world
        late = [each for each in world.packets if isinstance(each[0], fx.SendToken)]
        world.late.extend(late)
        world.packets = [each for each in world.packets if each not in late]

    @rule(index=st.integers(0, 7))
    @precondition(lambda self: self.world is not None and self.world.packets)
    def lose(self, index):
        if self.failures < FAILURES:
            self.failures += 1
            self.world.lose(self.pick(self.world.packets, index))

    @rule(index=st.integers(0, 5), noticed=st.booleans())
    @precondition(lambda self: self.world is not None)
    def restart(self, index, noticed):
        if self.failures < FAILURES:
            self.failures += 1
            names = sorted(self.world.endpoints)
            self.world.restart(self.world.endpoints[names[index]])
            if noticed:
                self.world.notice_lost()

    @rule(index=st.integers(0, 2), count=st.integers(1, 8))
    @precondition(lambda self: self.world is not None and self.world.state.stages)
    def restart_after_late_tokens(self, index, count):
        """Lose a stage when the others are ahead of what the caller has."""
        if self.failures < FAILURES:
            self.failures += 1
            self.deliver(index=0, count=count)
            self.delay_tokens()
            self.deliver(index=0, count=3)
            stage = self.world.state.stages[index]
            self.world.restart(self.world.endpoints[stage.endpoint])
            self.world.notice_lost()

    @rule(index=st.integers(0, 2))
    @precondition(lambda self: self.world is not None and self.world.state.stages)
    def blame(self, index):
        if self.failures < FAILURES:
            self.failures += 1
            state = self.world.state
            stage = self.pick(list(state.stages), index)
            kind = ErrorKind.STAGE_LOST
            found = state.on_trouble(state.attempt, stage.endpoint, kind, 0.0)
            self.world.perform(found, None)

    def teardown(self):
        if self.world is None:
            return
        self.world.finish()
        assert self.world.state.phase is Phase.ENDED
        assert self.world.end == fx.FinishAnswer("length")
        assert len(self.world.delivered) == TOKENS


Recovery.TestCase.settings = settings(
    max_examples=400,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestRecovery = Recovery.TestCase


def test_stages_ahead_of_a_lost_last_stage_run_again():
    machine = Recovery()
    machine.begin(budget=1000)
    world = machine.world
    while len(world.delivered) < 2:
        machine.deliver(count=1, index=0)
    while not any(isinstance(each[0], fx.SendToken) for each in world.packets):
        machine.deliver(count=1, index=0)
    machine.delay_tokens()
    machine.deliver(count=3, index=0)
    world.restart(world.endpoints[world.state.stages[2].endpoint])
    world.notice_lost()
    machine.teardown()
