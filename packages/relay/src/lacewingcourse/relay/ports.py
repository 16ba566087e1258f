"""What the entry needs of the platform that it runs on, in the project's own words."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.pipelines.incarnation import UNTOLD
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.routing import RoutingTable
    from lacewingcourse.core.pipelines.shape import Layers
    from lacewingcourse.relay.decoding import Undecodable


@attrs.define
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        id: Identifier of this try of the caller.
        method: HTTP method.
        target: Path with query, as sent.
        host: Host that it names.
        key: Key that it carries, None for none.
        patience: Seconds that the caller waits, None if it does not tell.
        prompt: Tokens of the prompt, 0 if it has none.
        most_answer: Tokens that the answer may have at the most.
        answer_hint: Tokens that the caller expects, None if it does not tell.
        resume_after: Identifier of the last event that the caller has, or empty.
        headers: All its headers.
        body: Its body.
        received_at: When its head had arrived, seconds.
    """

    id: str
    method: str
    target: str
    host: str
    key: str | None
    timeout: float | None
    prompt: int
    max_answer_tokens: int
    answer_hint: int | None
    resume_after: str
    headers: HTTPHeaders
    received_at: float
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Sending:
    """One send of a request to an endpoint.

    Attributes:
        endpoint: Name of the endpoint that must answer.
        address: Its address.
        path: Path through several endpoints, None for a plain service.
        time_left: Seconds in which the answer is still wanted.
        organisation: Name of the caller's organisation, empty for none.
        strip_key: Whether the caller's key stops here.
        resume_after: Identifier of the last event passed on, or empty.
        urgency: 0 to 9, 0 for what is served first.
        incarnation: Id of the endpoint's incarnation.
    """

    endpoint: str
    address: str
    path: Path | None
    time_left: float
    organisation: str
    strip_key: bool
    resume_after: str = ""
    urgency: int = 5
    incarnation: str = attrs.field(
        default=attrs.Factory(lambda sending: sending.endpoint, takes_self=True)
    )


class AnswerKind(Enum):
    """What the head of an answer says of the request."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    FOREIGN = "foreign"
    BROKEN = "broken"


@attrs.frozen
class AnswerHead:
    """The head of an endpoint's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: Its headers, as received.
        standing: What it says of the request: answered by the endpoint, rejected
            without having run, an answer to another request, or no valid answer.
        fault_address: Address of the endpoint at fault on a path, or empty.
        misdirected: Whether it is not the one that was meant, or lacks the layers.
        keep_alive: Seconds for which the connection may stay idle, None if untold.
        reason: What is wrong with it, for the log.
        limit: Requests a second that the endpoint takes from all entries together,
            `NO_LIMIT` if it names none.
    """

    status: int
    headers: HTTPHeaders
    answer_kind: AnswerKind
    fault_address: str = ""
    misdirected: bool = False
    keep_alive: float | None = None
    reason: str = ""
    limit: float | Undecodable = NO_LIMIT

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint answered with success."""
        return self.answer_kind is AnswerKind.ANSWERED and 200 <= self.status < 300


class RequestCodec(Protocol):
    """How requests and answers look on the platform."""

    def decode(
        self, method: str, target: str, headers: HTTPHeaders, now: float
    ) -> CallerRequest | Refusal:
        """Return a caller's request, without its body yet."""

    def outgoing(self, request: CallerRequest, sending: Sending) -> HTTPHeaders:
        """Return the headers with which a request is sent to an endpoint."""

    def head(
        self, status: int, headers: HTTPHeaders, request: CallerRequest
    ) -> AnswerHead:
        """Return the head of an endpoint's answer, decoded."""

    def for_caller(self, head: AnswerHead) -> HTTPHeaders:
        """Return the headers that a caller gets with an endpoint's answer."""

    def refusal(
        self, refusal: Refusal, request: CallerRequest | None
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return status, headers and body with which a request is refused."""


@attrs.frozen
class Unavailable:
    """A sentinel value: the platform gave no answer that can be used.

    Attributes:
        reason: What happened.
        unknown: Whether a change may have been made, or may still be.
    """

    reason: str
    maybe_applied: bool = False


@attrs.frozen
class EndpointEntry:
    """A change of one entry of the directory.

    Attributes:
        name: Name of the endpoint.
        endpoint: What its entry tells, None if the entry was removed.
    """

    name: str
    endpoint: Endpoint | None


@attrs.frozen
class UnreadableEntry:
    """An entry of the directory that names no endpoint to use.

    Attributes:
        name: Name under which it stands, shortened if it is long.
        reason: What is wrong with it.
    """

    name: str
    reason: str


@attrs.frozen
class DirectoryUpdate:
    """What the directory tells.

    Attributes:
        whole: Whether this is a listing of all entries, not of changes.
        entries: Entries in the order in which they were written.
        position: How far the directory was read.
        unreadable: Entries that another writer may have left.
    """

    whole: bool
    entries: tuple[EndpointEntry, ...]
    position: int
    unreadable: tuple[UnreadableEntry, ...] = ()


@attrs.frozen
class ConfigurationUpdate:
    """What one read of the configuration brought.

    Attributes:
        table: Newest version that was read, None if none was, or why the only one
            cannot be decoded.
        records: Records that were read.
        behind: Records that the source holds after these, 0 if the newest is among
            them.
        waited: Seconds after the question until which nothing newer had come for
            certain.
    """

    table: RoutingTable | Undecodable | None
    records: int = 0
    behind: int = 0
    waited: float = 0.0


class ConfigurationSource(Protocol):
    """Where accepted configuration comes from."""

    async def newest(self) -> ConfigurationUpdate | Unavailable:
        """Return the newest version."""

    async def next(self, wait: float) -> ConfigurationUpdate | Unavailable:
        """Wait some seconds for a version after the last one returned."""

    def decode(self, document: bytes) -> RoutingTable | Undecodable:
        """Return the version that a published document holds."""


class EndpointDirectory(Protocol):
    """Where endpoints are listed."""

    async def poll(self, position: int | None) -> DirectoryUpdate | Unavailable:
        """Return what changed after a position, or a whole listing for None."""


class OrderOutcome(Enum):
    """What became of an order."""

    DONE = "done"
    BEGUN = "begun"
    MISFIT = "misfit"
    FENCED = "fenced"
    WRONG_INCARNATION = "wrong_incarnation"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class Orders(Protocol):
    """Orders to endpoints."""

    async def place(
        self, endpoint: Endpoint, layers: Layers, fencing: int, accepted: int | None
    ) -> OrderOutcome:
        """Order an endpoint to hold a range of layers.

        Args:
            endpoint: The endpoint.
            layers: The layers.
            fencing: Fencing number of who orders.
            accepted: Orders that the endpoint must have accepted since its start, so
                that one that arrives late is not carried out; None for any number.
        """


@attrs.frozen
class StalledRequest:
    """A request that stands still behind an endpoint that does not answer.

    Attributes:
        request: Its identifier.
        address: Address of that endpoint.
    """

    request: str
    address: str


@attrs.frozen
class EngineReport:
    """What an engine tells of itself.

    Attributes:
        stalled: Requests that stand still at it as the first of their path.
        pace: Times that its steps take as long as published.
        born: Unix milliseconds of its start, `UNTOLD` if it does not tell.
        accepted: Orders that it has accepted since its start, None if it does not tell.
        busy: Whether it is carrying one out.
    """

    stalled: tuple[StalledRequest, ...] = ()
    slowdown: float = 1.0
    born: int = UNTOLD
    accepted: int | None = None
    busy: bool = False


class EngineReports(Protocol):
    """What engines tell of themselves."""

    async def report(
        self, address: str, timeout: float
    ) -> EngineReport | Unavailable | Undecodable:
        """Return what the engine at an address tells within some seconds."""


@attrs.frozen
class Lease:
    """Who holds a duty.

    Attributes:
        holder: Name of the holder.
        fencing: Its fencing number; later holders have greater ones.
    """

    holder: str
    fencing: int


class LeaseStore(Protocol):
    """Where the holder of a duty is agreed on."""

    async def current(self) -> Lease | None | Unavailable:
        """Return the present holder, None if there never was one."""

    async def acquire(
        self, holder: str, after: Lease | None
    ) -> Lease | None | Unavailable:
        """Take the duty unless somebody else took it after a given holder."""


class PeerRegistry(Protocol):
    """Where entries leave their addresses for one another."""

    async def announce(self, name: str, address: str) -> Unavailable | None:
        """Leave the address of an entry; return why that failed."""

    async def listed(self) -> dict[str, str] | Unavailable:
        """Return the addresses of entries by name, gone ones among them."""
