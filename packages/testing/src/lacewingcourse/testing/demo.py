"""The demo: mixed requests, a killed endpoint, and a table of the outcomes."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.core.keys import mint_key
from lacewingcourse.entry.openai import chat_prompt
from lacewingcourse.testing.caller import CallerResult, ask, parse_problem
from lacewingcourse.testing.demo_report import DemoReport, Refused
from lacewingcourse.testing.deployment import MODEL, SERVICE
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text
from lacewingcourse.wire.client import fetch, new_http_client

if TYPE_CHECKING:
    from lacewingcourse.testing.deployment import Deployment

#: Requests of each form: streamed completion, chat, and completion in one piece.
ANSWERS_OF_A_FORM = 8
#: Tokens of each answer.
TOKENS = 60
#: Tallies; each is sent again under its key through another entry.
TALLIES = 12
#: Tokens that are out before the endpoint is killed.
TOKENS_BEFORE_KILL = 100
#: Seed of the tallies' keys.
SEED = 7
#: Seconds that a tally may take.
TALLY_TIMEOUT = 60.0


@attrs.define
class KillWatch:
    """Kills an endpoint once answers are under way and times the recovery.

    Attributes:
        deployment: The deployment.
        tokens: Tokens of all answers so far.
        killed_at: When the endpoint was killed, or 0.0.
        longest_gap: Longest time from the kill to an answer's next token, seconds.
        last_token: Time of the last token by answer.
    """

    deployment: Deployment
    tokens: int = 0
    killed_at: float = 0.0
    longest_gap: float = 0.0
    last_token: dict[str, float] = attrs.field(factory=dict)

    def on_text(self, prompt: str) -> None:
        """Note a token of an answer."""
        now = time.monotonic()
        self.tokens += 1
        if self.killed_at and self.last_token.get(prompt, now) <= self.killed_at:
            self.longest_gap = max(self.longest_gap, now - self.killed_at)
        self.last_token[prompt] = now
        if not self.killed_at and self.tokens >= TOKENS_BEFORE_KILL:
            self.deployment.endpoints[1].engine.kill()
            self.killed_at = now


@attrs.frozen
class Question:
    """A request to the model.

    Attributes:
        path: Path of the interface.
        body: The request.
        prompt: The prompt that the engines see.
    """

    path: str
    body: dict
    prompt: str


@attrs.frozen
class TallyAnswer:
    """What the caller of a tally got.

    Attributes:
        body: The tally.
        status: HTTP status.
        problem: The problem document, or an empty one.
    """

    body: str
    status: int
    problem: dict


def questions() -> list[Question]:
    """Return the requests to the model, each with a prompt of its own."""
    found = []
    for index in range(ANSWERS_OF_A_FORM):
        for form in ("streamed", "whole", "chat"):
            prompt = f"name the rooms of {form} scan {index}"
            found.append(question(form, prompt))
    return found


def question(form: str, prompt: str) -> Question:
    """Return one request of a form."""
    body = {"model": MODEL, "max_tokens": TOKENS, "stream": form != "whole"}
    if form != "chat":
        return Question("/v1/completions", {**body, "prompt": prompt}, prompt)
    messages = [{"role": "user", "content": prompt}]
    seen = chat_prompt([f"user: {prompt}"])
    return Question("/v1/chat/completions", {**body, "messages": messages}, seen)


class Demo:
    """One run of the demo against a deployment that is up.

    Attributes:
        deployment: The deployment.
        http: The callers' HTTP client.
        watch: Kills the endpoint.
        report: Outcomes so far.
        rng: Source of randomness for the tallies' keys.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.http = new_http_client()
        self.watch = KillWatch(deployment)
        self.report = DemoReport()
        self.rng = random.Random(SEED)

    async def run(self) -> DemoReport:
        """Send everything, then judge it."""
        asked = questions()
        results, tallies = await asyncio.gather(
            asyncio.gather(*(self._ask(i, each) for i, each in enumerate(asked))),
            asyncio.gather(*(self._tally(index) for index in range(TALLIES))),
        )
        self.report.recovery_time = self.watch.longest_gap
        prompts = self._prompts_run()
        for each, result in zip(asked, results, strict=True):
            self._judge(each, result, each.prompt in prompts)
        self._judge_tallies([answer for pair in tallies for answer in pair])
        return self.report

    def _entry(self, index: int) -> str:
        entries = self.deployment.entries
        return entries[index % len(entries)].url

    async def _ask(self, index: int, each: Question) -> CallerResult:
        keys = [key for _, key in sorted(self.deployment.keys.items())]
        url = self._entry(index) + each.path
        key = keys[index % len(keys)]
        self.report.sent += 1
        return await ask(
            self.http, url, key, each.body, lambda _: self.watch.on_text(each.prompt)
        )

    async def _tally(self, index: int) -> list[TallyAnswer]:
        """Send a tally and send it again under its key through another entry.

        Every second one is sent again while the first is still under way.
        """
        body = json.dumps({"door": index, "count": 1})
        key = mint_key(time.time(), self.rng) if index % 3 else f"opaque-{index}"
        first = self._send_tally(index, key, body)
        again = self._send_tally(index + 1, key, body)
        if index % 2:
            return list(await asyncio.gather(first, again))
        return [await first, await again]

    async def _send_tally(self, index: int, key: str, body: str) -> TallyAnswer:
        self.report.sent += 1
        request = HTTPRequest(
            f"{self._entry(index)}/services/{SERVICE}/tallies",
            method="POST",
            body=body,
            headers={
                "Authorization": f"Bearer {self.deployment.keys['regie']}",
                "Idempotency-Key": key,
            },
            request_timeout=TALLY_TIMEOUT,
        )
        response = await fetch(self.http, request)
        problem = {} if response.code == 201 else parse_problem(response.body or b"")
        return TallyAnswer(body, response.code, problem)

    def _prompts_run(self) -> set[str]:
        """Return the prompts that the engines that still run have run."""
        prompts: set[str] = set()
        for pair in self.deployment.endpoints:
            if pair.engine.alive():
                stats = put_json(f"{pair.engine.url}/stats", None, "GET")
                prompts.update(stats["prompts"])
        return prompts

    def _judge(self, each: Question, result: CallerResult, ran: bool) -> None:
        """Count an answer of the model."""
        layers = self.deployment.options.layers
        wanted = expected_text(MODEL, "1", layers, each.prompt, TOKENS)
        if result.whole and result.text == wanted:
            self.report.whole += 1
        elif result.status != 200 and result.error:
            self.report.refused.append(refused(result.error, ran))
        else:
            self.report.wrong += 1

    def _judge_tallies(self, answers: list[TallyAnswer]) -> None:
        """Count tallies against what the service really ran."""
        runs = []
        for pair in self.deployment.services:
            url = f"{pair.engine.url}/tallies"
            listed = put_json(url, None, "GET")["tallies"]
            runs += [tally["body"] for tally in listed]
        self.report.doubled = len(runs) - len(set(runs))
        for answer in answers:
            ran = answer.body in runs
            if answer.status != 201:
                self.report.refused.append(refused(answer.problem, ran))
            elif ran:
                self.report.whole += 1
            else:
                self.report.wrong += 1


def refused(problem: dict, ran: bool) -> Refused:
    """Return the refusal that a problem document tells of."""
    kind = problem.get("kind", "unreadable")
    return Refused(kind, problem.get("outcome", "unknown"), ran)


async def run_demo(deployment: Deployment) -> DemoReport:
    """Run the demo against a deployment that is up."""
    return await Demo(deployment).run()
