"""The command that runs the measurements."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from lacewingcourse.bench import (  # noqa: F401
    decisions,
    events,
    failures,
    goodput,
    overhead,
    path_choices,
    pipelines,
    recovery,
    slopes,
    throughput,
)
from lacewingcourse.bench.baseline import baseline_subject
from lacewingcourse.bench.figures import Outcome, paired_table, table
from lacewingcourse.bench.machine import CpuMeter
from lacewingcourse.bench.sections import SECTIONS, Options, Subject
from lacewingcourse.wire.codec import CONVERTER

if TYPE_CHECKING:
    from lacewingcourse.bench.machine import CpuUse

#: Runs of each version when two are compared.
PAIRED_RUNS = 3


def valued(name: str, help_text: str, default: str = ""):
    """Return an option with a value."""
    return option(name, None, help_text, flag=False, default=default)


class RunCommand(Command):
    """Runs sections and prints their figures."""

    name = "run"
    description = "Run sections of the bench and print medians with quartiles"
    options = [
        valued("section", "Sections, comma between; empty for all"),
        valued("baseline", "Revision that the same sections are run against"),
        valued("scale", "Factor on step times and targets", "1"),
        valued("seconds", "Seconds that one load level is measured", "10"),
        valued("levels", "Loads as multiples of the bound", "0.5,0.9,1.5,3"),
        valued("policies", "Route policies, comma between; empty for all"),
        valued("seed", "Seed of all that is drawn", "1"),
        valued("output", "Directory that gets the figures as JSON", "out/bench"),
    ]

    def handle(self) -> int:
        names = split(self.option("section")) or SECTIONS.names()
        revision = self.option("baseline")
        if not revision:
            for name in names:
                self.run_section(name, Subject("here"))
            return 0
        with baseline_subject(revision) as baseline:
            for name in names:
                self.compare(name, baseline)
        return 0

    def section_options(self, subject: Subject) -> Options:
        """Return the options of one run."""
        return Options(
            subject=subject,
            scale=float(self.option("scale")),
            seconds=float(self.option("seconds")),
            levels=tuple(float(each) for each in split(self.option("levels"))),
            policies=tuple(split(self.option("policies"))),
            seed=int(self.option("seed")),
            progress=self.line,
        )

    def run_section(self, name: str, subject: Subject) -> Outcome:
        """Run a section once, print it and keep it."""
        meter = CpuMeter({})
        outcome = SECTIONS.get(name)(self.section_options(subject))
        use = meter.read()
        self.line(table(outcome))
        self.line(machine_line(use))
        self.line("")
        self.keep(outcome, subject, use)
        return outcome

    def compare(self, name: str, baseline: Subject) -> None:
        """Run a section in turn for the baseline and for what is here."""
        subjects = [baseline, Subject("here")]
        runs: list[list[Outcome]] = [[], []]
        for _ in range(PAIRED_RUNS):
            for subject, outcomes in zip(subjects, runs, strict=True):
                outcomes.append(self.run_section(name, subject))
        self.line(f"== {name}: medians of {PAIRED_RUNS} runs each, in turn ==")
        self.line(paired_table([each.label for each in subjects], runs))

    def keep(self, outcome: Outcome, subject: Subject, use: CpuUse) -> None:
        """Add an outcome to the section's file."""
        directory = Path(self.option("output"))
        directory.mkdir(parents=True, exist_ok=True)
        entry = {
            "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "version": subject.label,
            "machine_busy": use.machine,
            "seconds": use.seconds,
            "outcome": CONVERTER.unstructure(outcome),
        }
        with open(directory / f"{outcome.section}.jsonl", "a") as file:
            file.write(json.dumps(entry) + "\n")


def split(text: str) -> list[str]:
    """Return the parts of a list with commas."""
    return [part.strip() for part in text.split(",") if part.strip()]


def machine_line(use: CpuUse) -> str:
    """Return how busy the machine was during a section."""
    return f"{use.seconds:.0f} s, machine {use.machine:.0%} busy meanwhile"


def main() -> None:
    """Run the command that the arguments name."""
    application = Application("lacewingcourse-bench")
    application.add(RunCommand())
    sys.exit(application.run())
