"""The demo: mixed requests, a killed endpoint, and a table of the outcomes."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import Counter

import attrs
from tornado.httpclient import HTTPRequest

from lacewingcourse.testing.caller import CallerResult, complete
from lacewingcourse.testing.deployment import MODEL, SERVICE, Deployment
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text
from lacewingcourse.wire.client import fetch, new_http_client

#: Completions of the burst.
COMPLETIONS = 24
#: Tokens of each.
TOKENS = 60
#: Tallies of the burst.
TALLIES = 12
#: Tokens that are out before the endpoint is killed.
TOKENS_BEFORE_KILL = 100


@attrs.define
class DemoReport:
    """Outcomes of the demo.

    Attributes:
        sent: Requests sent.
        whole: Answers that were whole and right.
        refused: Refusals by kind.
        doubled: Tallies that ran more than once.
        wrong: Answers whose text was not the expected one, or cut.
        untrue: Refusals whose outcome was untrue.
        recovery_time: Seconds from the kill to the next token of a hit answer.
    """

    sent: int = 0
    whole: int = 0
    refused: Counter = attrs.field(factory=Counter)
    doubled: int = 0
    wrong: int = 0
    untrue: int = 0
    recovery_time: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether nothing was lost, doubled, wrong or untrue."""
        bad = self.doubled + self.wrong + self.untrue
        return bad == 0 and self.whole + self.refused.total() == self.sent

    def table(self) -> str:
        """Return the report as a table."""
        refused = ", ".join(f"{kind}: {n}" for kind, n in sorted(self.refused.items()))
        rows = [
            ("sent", self.sent),
            ("whole", self.whole),
            ("refused by kind", refused or "none"),
            ("doubled", self.doubled),
            ("wrong", self.wrong),
            ("untrue refusals", self.untrue),
            ("recovery time", f"{self.recovery_time * 1000:.0f} ms"),
        ]
        return "\n".join(f"{name:<18}{value}" for name, value in rows)


@attrs.define
class KillWatch:
    """Kills an endpoint once answers are under way and times the recovery."""

    deployment: Deployment
    tokens: int = 0
    killed_at: float = 0.0
    longest_gap: float = 0.0
    last_token: dict[int, float] = attrs.field(factory=dict)

    def on_text(self, index: int) -> None:
        """Note a token of an answer."""
        now = time.monotonic()
        self.tokens += 1
        if self.killed_at and self.last_token.get(index, now) <= self.killed_at:
            self.longest_gap = max(self.longest_gap, now - self.killed_at)
        self.last_token[index] = now
        if not self.killed_at and self.tokens >= TOKENS_BEFORE_KILL:
            self.deployment.endpoints[1].engine.kill()
            self.killed_at = now


async def run_demo(deployment: Deployment) -> DemoReport:
    """Run the demo against a deployment that is up."""
    http = new_http_client()
    report = DemoReport()
    watch = KillWatch(deployment)
    answers = [
        _complete(http, deployment, watch, report, index)
        for index in range(COMPLETIONS)
    ]
    tallies = [_tally(http, deployment, report, index) for index in range(TALLIES)]
    await asyncio.gather(*answers, *tallies)
    report.recovery_time = watch.longest_gap
    _count_doubles(deployment, report)
    return report


async def _complete(http, deployment, watch, report, index) -> None:
    """Ask for one completion and judge its answer."""
    prompt = f"name room number {index} on the fresh scan"
    names = sorted(deployment.keys)
    key = deployment.keys[names[index % len(names)]]
    url = deployment.entries[index % len(deployment.entries)].url
    report.sent += 1
    result = await complete(
        http, url, key, MODEL, prompt, TOKENS, lambda _: watch.on_text(index)
    )
    wanted = expected_text(MODEL, "1", deployment.options.layers, prompt, TOKENS)
    judge(report, result, wanted)


def judge(report: DemoReport, result: CallerResult, wanted: str) -> None:
    """Count an answer as whole, refused, wrong or untrue."""
    if result.whole and result.text == wanted:
        report.whole += 1
    elif result.error and not result.text:
        report.refused[result.error.get("kind", "none")] += 1
    else:
        report.wrong += 1


async def _tally(http, deployment, report, index) -> None:
    """Send one tally."""
    entry = deployment.entries[index % len(deployment.entries)]
    report.sent += 1
    request = HTTPRequest(
        f"{entry.url}/services/{SERVICE}/tallies",
        method="POST",
        body=f'{{"door": {index}, "count": 1}}',
        headers={
            "Authorization": f"Bearer {deployment.keys['regie']}",
            "Idempotency-Key": str(uuid.uuid4()),
        },
    )
    response = await fetch(http, request)
    if response.code == 201:
        report.whole += 1
    else:
        report.refused[str(response.code)] += 1


def _count_doubles(deployment: Deployment, report: DemoReport) -> None:
    """Count tallies that ran more than once."""
    url = deployment.service.engine.url
    tallies = put_json(f"{url}/tallies", b"", "GET")["tallies"]
    runs = Counter(tally["key"] for tally in tallies)
    report.doubled = sum(count - 1 for count in runs.values())
