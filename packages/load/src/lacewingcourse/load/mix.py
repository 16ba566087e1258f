"""What is sent: classes of work, organisations, and the requests drawn from both."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lacewingcourse.load.lengths import parse_lengths

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

#: Words that prompts are made of.
WORDS = (
    "name the room on this fresh scan explain why the robot skipped under bed "
    "count door tally for breakfast draft forecast note kitchen bread butter"
).split()


@attrs.frozen
class Target:
    """When an answer counts as in time; None leaves a part unjudged.

    Attributes:
        first_token: Seconds to the first token.
        between_tokens: Mean seconds between the tokens of one answer.
        answer: Seconds to the whole answer.
    """

    first_token: float | None = None
    between_tokens: float | None = None
    answer: float | None = None


@attrs.frozen
class ClassLoad:
    """One class of work in the mix.

    Attributes:
        name: Name of the class; empty leaves the choice to the model's default.
        share: Weight among the classes.
        prompt: Distribution of words in a prompt.
        answer: Distribution of tokens in an answer.
        target: What its answers are judged by.
        model: Name of its model; empty for that of the mix.
    """

    name: str = ""
    share: float = 1.0
    prompt: str = "fixed:8"
    answer: str = "fixed:16"
    target: Target = Target()
    model: str = ""


@attrs.frozen
class OrganisationLoad:
    """One organisation in the mix.

    Attributes:
        name: Name of the organisation.
        key: Its key.
        share: Weight among the organisations.
    """

    name: str
    key: str
    share: float = 1.0


@attrs.frozen
class Mix:
    """Classes and organisations that requests are drawn from.

    Attributes:
        model: Name of the model.
        classes: Classes of work.
        organisations: Organisations.
    """

    model: str
    classes: tuple[ClassLoad, ...]
    organisations: tuple[OrganisationLoad, ...]

    def check(self) -> None:
        """Check that requests can be drawn.

        Raises:
            ValueError: Something is missing or cannot be read.
        """
        if not self.classes or not self.organisations:
            raise ValueError("a mix needs at least one class and one organisation")
        if min(each.share for each in (*self.classes, *self.organisations)) < 0:
            raise ValueError("a share is below 0")
        for each in self.classes:
            parse_lengths(each.prompt)
            parse_lengths(each.answer)


@attrs.frozen
class PlannedRequest:
    """One request before it is sent.

    Attributes:
        due: When it is to be sent, in seconds from the start.
        organisation: Whose request it is.
        work_class: Its class of work.
        prompt: The prompt.
        max_tokens: Tokens of the answer.
    """

    due: float
    organisation: OrganisationLoad
    work_class: ClassLoad
    prompt: str
    max_tokens: int


def plan(
    mix: Mix, dues: Iterable[float], rng: random.Random
) -> Iterator[PlannedRequest]:
    """Draw one request for each due time."""
    class_shares = [each.share for each in mix.classes]
    organisation_shares = [each.share for each in mix.organisations]
    for due in dues:
        (work_class,) = rng.choices(mix.classes, class_shares)
        (organisation,) = rng.choices(mix.organisations, organisation_shares)
        yield PlannedRequest(
            due=due,
            organisation=organisation,
            work_class=work_class,
            prompt=draw_prompt(work_class, rng),
            max_tokens=parse_lengths(work_class.answer).draw(rng),
        )


def draw_prompt(work_class: ClassLoad, rng: random.Random) -> str:
    """Return a prompt of a drawn length."""
    count = parse_lengths(work_class.prompt).draw(rng)
    return " ".join(rng.choice(WORDS) for _ in range(count))
