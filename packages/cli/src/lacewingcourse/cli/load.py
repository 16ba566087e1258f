"""The command `load`: sends load to entries and reports what came of it."""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.core.errors import Refusal
from lacewingcourse.load.arrivals import ARRIVALS
from lacewingcourse.load.mix import (
    ClassLoad,
    Mix,
    OrganisationLoad,
    Target,
    plan,
)
from lacewingcourse.load.report import Report, report, table
from lacewingcourse.load.runner import LoadRunner, RunOptions
from lacewingcourse.wire.codec import decode, encode

#: Exit code for options that make no sense.
BAD_OPTIONS = 2


def valued(name: str, help_text: str, default: str | None = None):
    """Return an option with a value."""
    return option(name, None, help_text, flag=False, default=default)


class LoadCommand(Command):
    """Sends load to entries."""

    name = "load"
    description = "Send load to entries and report what came of it"
    options = [
        option("entry", None, "URL of an entry; repeat", flag=False, multiple=True),
        valued("mix", "JSON file with model, classes and organisations"),
        valued("model", "Model, without a mix file"),
        valued("key", "Key of the organisation, without a mix file"),
        valued("class", "Class of work, without a mix file", ""),
        valued("prompt", "Words of a prompt, such as uniform:4:32", "fixed:8"),
        valued("answer", "Tokens of an answer, such as lognormal:40:0.8", "fixed:16"),
        valued("first-token", "Target: seconds to the first token"),
        valued("between-tokens", "Target: mean seconds between tokens"),
        valued("whole-answer", "Target: seconds to the whole answer"),
        valued("rate", "Requests a second (open loop)", "1"),
        valued("arrivals", "Open loop: poisson, even or burst", "poisson"),
        valued("callers", "Callers that send one by one (closed loop)"),
        valued("seconds", "How long requests are sent", "10"),
        valued("patience", "Seconds after which a caller goes away", "60"),
        valued("resends", "Times a refused request comes back", "3"),
        valued("in-flight", "Requests in flight at most", "2000"),
        valued("seed", "Seed of all that is drawn", "1"),
        valued("json", "File that gets the report as JSON"),
    ]

    def handle(self) -> int:
        try:
            mix = self.mix()
            made = asyncio.run(self.run_load(mix, self.run_options(mix)))
        except (ValueError, LookupError, OSError) as error:
            self.line_error(f"bad option: {error}")
            return BAD_OPTIONS
        self.line(table(made))
        if self.option("json"):
            Path(self.option("json")).write_bytes(encode(made))
        return 0

    def mix(self) -> Mix:
        """Return the mix of the file or of the flags.

        Raises:
            ValueError: It cannot be read.
        """
        mix = self._mix_of_file() if self.option("mix") else self._mix_of_flags()
        mix.check()
        return mix

    def _mix_of_file(self) -> Mix:
        mix = decode(Path(self.option("mix")).read_bytes(), Mix)
        if isinstance(mix, Refusal):
            raise ValueError(mix.reason)
        return mix

    def _mix_of_flags(self) -> Mix:
        model, key = self.option("model"), self.option("key")
        if not model or not key:
            raise ValueError("either --mix or --model and --key are needed")
        target = Target(
            first_token=self._seconds("first-token"),
            between_tokens=self._seconds("between-tokens"),
            answer=self._seconds("whole-answer"),
        )
        work_class = ClassLoad(
            name=self.option("class"),
            prompt=self.option("prompt"),
            answer=self.option("answer"),
            target=target,
        )
        return Mix(model, (work_class,), (OrganisationLoad("caller", key),))

    def _seconds(self, name: str) -> float | None:
        value = self.option(name)
        return float(value) if value else None

    def run_options(self, mix: Mix) -> RunOptions:
        """Return how requests are sent.

        Raises:
            ValueError: An option cannot be read.
        """
        urls = tuple(self.option("entry"))
        if not urls:
            raise ValueError("--entry is needed")
        return RunOptions(
            urls=urls,
            model=mix.model,
            patience=float(self.option("patience")),
            resends=int(self.option("resends")),
            in_flight=int(self.option("in-flight")),
        )

    async def run_load(self, mix: Mix, options: RunOptions) -> Report:
        """Send the load and return its report."""
        rng = random.Random(int(self.option("seed")))
        seconds = float(self.option("seconds"))
        runner = LoadRunner(options)
        if self.option("callers"):
            requests = plan(mix, itertools.repeat(0.0), rng)
            callers = int(self.option("callers"))
            return report(await runner.run_closed(requests, callers, seconds))
        arrivals = ARRIVALS.get(self.option("arrivals"))
        dues = arrivals(float(self.option("rate")), seconds, rng)
        return report(await runner.run_open(plan(mix, dues, rng)))
