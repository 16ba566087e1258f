"""Who is a member: a fold over the list, agents' words, hops seen and failures."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from lacewingcourse.core.endpoints import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewingcourse.core.messages import Status

#: Seconds without any word after which a suspected member is lost.
LOST_AFTER = 3.0
#: Seconds between two questions to a suspected member.
SUSPECT_INTERVAL = 0.5
#: Factor by which the time between questions to a lost member grows.
LOST_BACKOFF = 1.5
#: Seconds between two questions to a lost member at the most.
LOST_INTERVAL = 5.0
#: Seconds in which a joining member comes to its full share of work.
RAMP_TIME = 10.0
#: Share of its turns that a member gets at the moment it joins.
RAMP_START = 0.1
#: Seconds for which a member that the list calls gone is kept if it is heard.
GONE_GRACE = 10.0
#: Seconds without a word after which a member that the list omits is forgotten.
FORGET_AFTER = 600.0


class MemberState(Enum):
    """What is believed of a member."""

    UNHEARD = "unheard"
    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"


@attrs.frozen
class ListedEndpoint:
    """An endpoint as the platform's list shows it.

    Attributes:
        id: Name of the instance.
        url: Base URL of its agent.
        leaving: Whether the list says that it leaves.
        gone: Whether the list says that it is gone.
    """

    id: str
    url: str
    leaving: bool = False
    gone: bool = False


@attrs.define
class Member:
    """What is known of one endpoint and its agent.

    Attributes:
        listed: What the list last showed.
        is_listed: Whether the last list showed it.
        gone_at: When the list first called it gone, or None.
        joined_at: When this incarnation was first heard; None: full share at once.
        state: What is believed of it.
        status: The newest word of its agent, or None.
        heard_at: When anything was last heard of it, seconds.
        reported_at: When the status was received, seconds.
        suspected_at: When it was last suspected, seconds.
        next_question: When to ask it again while it is not live, seconds.
        question_interval: Seconds between questions while it is lost.
        past: Incarnations that a newer one has replaced.
    """

    listed: ListedEndpoint
    is_listed: bool = True
    gone_at: float | None = None
    joined_at: float | None = None
    state: MemberState = MemberState.UNHEARD
    status: Status | None = None
    heard_at: float = 0.0
    reported_at: float = 0.0
    suspected_at: float = 0.0
    next_question: float = 0.0
    question_interval: float = SUSPECT_INTERVAL
    past: set[str] = attrs.field(factory=set)

    def admitted_share(self, now: float) -> float:
        """Return the share of its turns at which it may be chosen now."""
        if self.joined_at is None:
            return 1.0
        grown = (now - self.joined_at) / RAMP_TIME
        return min(1.0, RAMP_START + (1.0 - RAMP_START) * grown)


@attrs.define
class Membership:
    """All members that one entry knows.

    Two entries may differ in what they believe. That costs detours, no promise:
    every message names an incarnation, which the receiver itself checks.

    Attributes:
        members: Members by name.
        first_list: Whether no list was read yet.
    """

    members: dict[str, Member] = attrs.field(factory=dict)
    first_list: bool = True

    def on_list(self, listed: Iterable[ListedEndpoint], now: float) -> list[str]:
        """Take a list; return the names of the members that are dropped.

        The list lags and errs: what it omits is kept for long, and what it still shows
        may be lost. Only its word `gone` ends new work.
        """
        for member in self.members.values():
            member.is_listed = False
        for endpoint in listed:
            self._list(endpoint, now)
        self.first_list = False
        dropped = [name for name, each in self.members.items() if _ended(each, now)]
        for name in dropped:
            del self.members[name]
        return dropped

    def _list(self, endpoint: ListedEndpoint, now: float) -> None:
        """Take one endpoint of the list."""
        member = self.members.get(endpoint.id)
        if member is None:
            if endpoint.gone:
                return
            joined_at = None if self.first_list else now
            member = Member(endpoint, joined_at=joined_at)
            self.members[endpoint.id] = member
        if endpoint.url != member.listed.url:
            self._suspect(member, now)
        if not endpoint.gone:
            member.gone_at = None
        elif member.gone_at is None:
            member.gone_at = now
        member.listed = endpoint
        member.is_listed = True

    def on_status(self, status: Status, now: float) -> bool:
        """Take an agent's word; return whether it is news.

        Late words of a replaced incarnation, or older than one already known, are
        dropped.
        """
        member = self.members.get(status.endpoint)
        if member is None or status.incarnation in member.past:
            return False
        known = member.status
        if known is not None and known.incarnation == status.incarnation:
            if status.sequence < known.sequence:
                return False
        elif known is not None:
            member.past.add(known.incarnation)
            member.joined_at = now
        returned = member.state is MemberState.LOST
        if returned and known.incarnation == status.incarnation:
            member.joined_at = now
        member.status = status
        member.reported_at = now
        self._hear(member, now)
        return True

    def on_seen(self, name: str, incarnation: str, now: float) -> None:
        """Note that a message of an incarnation came in: it lives."""
        member = self.members.get(name)
        if member is None or member.status is None:
            return
        if member.status.incarnation == incarnation:
            self._hear(member, now)

    def on_failure(self, name: str, incarnation: str, now: float) -> bool:
        """Suspect a member after a failed message; return whether that is news.

        Args:
            name: Name of the member.
            incarnation: The incarnation that failed, or empty if not known.
            now: Present time in seconds.
        """
        member = self.members.get(name)
        if member is None or member.state is not MemberState.LIVE:
            return False
        if incarnation and incarnation != member.status.incarnation:
            return False
        self._suspect(member, now)
        return True

    def questions(self, silence: float, now: float) -> list[str]:
        """Return the members to ask now, and note that they are asked.

        Args:
            silence: Seconds without a status after which a live member is asked.
            now: Present time in seconds.
        """
        asked = []
        for name, member in self.members.items():
            self._age(member, now)
            if member.state is MemberState.LIVE:
                due = now >= max(member.reported_at + silence, member.next_question)
            else:
                due = now >= member.next_question
            if due:
                member.next_question = now + self._interval(member)
                asked.append(name)
        return asked

    def endpoint_state(self, name: str, now: float) -> EndpointState | None:
        """Return what route policies see of a member, None before its first word."""
        member = self.members[name]
        status = member.status
        if status is None:
            return None
        return EndpointState(
            id=name,
            incarnation=status.incarnation,
            availability_zone=status.availability_zone,
            agent_url=member.listed.url,
            model=status.model,
            layers=status.layers,
            service=status.service,
            version=status.version,
            leaving=status.leaving or member.listed.leaving or member.listed.gone,
            ready=status.ready and member.state is MemberState.LIVE,
            running=status.running,
            queued=status.queued,
            step_time=status.step_time,
            reported_at=member.reported_at,
            load=status.load,
            admitted_share=member.admitted_share(now),
        )

    def ramping(self, now: float) -> list[str]:
        """Return the members whose share of work still grows."""
        return [
            name
            for name, member in self.members.items()
            if member.joined_at is not None and now < member.joined_at + RAMP_TIME * 1.2
        ]

    def _hear(self, member: Member, now: float) -> None:
        member.state = MemberState.LIVE
        member.heard_at = now
        member.question_interval = SUSPECT_INTERVAL

    def _suspect(self, member: Member, now: float) -> None:
        if member.state is MemberState.LIVE:
            member.state = MemberState.SUSPECT
            member.suspected_at = now
            member.next_question = now

    def _age(self, member: Member, now: float) -> None:
        """Take a member for lost that was suspected for long."""
        if member.state is not MemberState.SUSPECT:
            return
        if now >= member.suspected_at + LOST_AFTER:
            member.state = MemberState.LOST

    def _interval(self, member: Member) -> float:
        """Return the seconds until the same member is asked again."""
        if member.state is not MemberState.LOST:
            return SUSPECT_INTERVAL
        member.question_interval = min(
            LOST_INTERVAL, member.question_interval * LOST_BACKOFF
        )
        return member.question_interval


def _ended(member: Member, now: float) -> bool:
    """Tell whether a member that the list calls gone or omits may be dropped."""
    if member.gone_at is not None and now >= member.gone_at + GONE_GRACE:
        return True
    if member.state is MemberState.LIVE:
        return False
    if member.gone_at is not None:
        return True
    return not member.is_listed and now >= member.heard_at + FORGET_AFTER
