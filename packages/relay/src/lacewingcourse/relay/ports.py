"""Ports of an entry: interfaces and data types that are independent of the platform."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

from lacewingcourse.core.pipelines.incarnation import UNKNOWN_START
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.pipelines.send_history import SendOutcome

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.log_position import LogPosition
    from lacewingcourse.core.pipelines.path import Path
    from lacewingcourse.core.pipelines.routing import RoutingTable
    from lacewingcourse.core.pipelines.shape import Layers
    from lacewingcourse.relay.decoding import Undecodable


@attrs.define
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        id: Identifier of this attempt of the caller.
        method: HTTP method.
        target: Path with query, as sent.
        host: Host that the request names.
        key: The caller's key, None for none.
        timeout: Seconds for which the caller waits, None if unknown.
        prompt: Number of tokens in the prompt, 0 if it has none.
        max_answer_tokens: Maximum number of tokens in the answer, 0 if unknown.
        answer_hint: Number of tokens that the caller expects, None if unknown.
        resume_after: Identifier of the last event that the caller received, or empty.
        headers: All headers.
        body: The body.
        prompt_parts: Identifiers of the parts of the prompt, in order. Requests share
            parts; the last one belongs to the request or its session alone.
        received_at: When the head had arrived, seconds.
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
    prompt_parts: tuple[str, ...] = ()

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
        time_left: Seconds until the answer is no longer useful.
        organisation: Name of the caller's organisation, empty for none.
        strip_key: Whether the caller's key is not forwarded.
        resume_after: Identifier of the last event that was forwarded, or empty.
        urgency: From 0, which is served first, to 9.
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

    @property
    def incarnations(self) -> tuple[str, ...]:
        """Ids of the incarnations of all endpoints that take part in an answer."""
        if self.path is None:
            return (self.incarnation,)
        return self.path.endpoints


class AnswerKind(Enum):
    """Kinds of answers, by what their heads say about the request."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    FOREIGN = "foreign"
    BROKEN = "broken"

    @property
    def send_outcome(self) -> SendOutcome:
        """What such an answer says of the send."""
        return SEND_OUTCOMES.get(self, SendOutcome.MAY_HAVE_RUN)


#: What answers that say something of a run say of it.
SEND_OUTCOMES = {
    AnswerKind.ANSWERED: SendOutcome.ANSWERED,
    AnswerKind.REJECTED: SendOutcome.REJECTED,
}


@attrs.frozen
class AnswerHead:
    """The head of an endpoint's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: Its headers, as received.
        answer_kind: Whether the endpoint answered the request, rejected it without
            running it, answered another request, or sent no valid answer.
        fault_address: Address of the endpoint at fault on a path, or empty.
        misdirected: Whether the request reached another endpoint than the intended
            one, or one without the layers.
        keep_alive: Seconds for which the connection may stay idle, None if unknown.
        reason: What is wrong with the answer, for the log.
        limit: Requests per second that the endpoint accepts from all entries together,
            `NO_LIMIT` if it names none.
        leaving: Whether the endpoint says that it is leaving.
        retry_after: Seconds for which the endpoint asks for no further request, None if
            it asks for none.
    """

    status: int
    headers: HTTPHeaders
    answer_kind: AnswerKind
    fault_address: str = ""
    misdirected: bool = False
    keep_alive: float | None = None
    reason: str = ""
    limit: float | Undecodable = NO_LIMIT
    leaving: bool = False
    retry_after: float | Undecodable | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint answered with success."""
        return self.answer_kind is AnswerKind.ANSWERED and 200 <= self.status < 300


class RequestCodec(Protocol):
    """Encodes and decodes requests and answers in the form of the platform."""

    def decode(
        self, method: str, target: str, headers: HTTPHeaders, now: float
    ) -> CallerRequest | Refusal:
        """Return a caller's request without its body, or why it is refused."""

    def outgoing(self, request: CallerRequest, sending: Sending) -> HTTPHeaders:
        """Return the headers with which a request is sent to an endpoint."""

    def head(
        self, status: int, headers: HTTPHeaders, request: CallerRequest
    ) -> AnswerHead:
        """Return the head of an endpoint's answer, decoded."""

    def for_caller(self, head: AnswerHead) -> HTTPHeaders:
        """Return the headers of an endpoint's answer as they go to the caller."""

    def refusal(
        self, refusal: Refusal, request: CallerRequest | None
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return the status, headers and body with which a request is refused."""


@attrs.frozen
class Unavailable:
    """A sentinel value: the platform gave no usable answer.

    Attributes:
        reason: What happened.
        maybe_applied: Whether the requested change may have been made, or may still be
            made.
        refused: Whether the connection was refused, so that no process is there.
        connected: Whether it accepted the connection, so that a process is there.
    """

    reason: str
    maybe_applied: bool = False
    refused: bool = False
    connected: bool = False


@attrs.frozen
class EndpointEntry:
    """A change of one entry of the directory.

    Attributes:
        name: Name of the endpoint.
        endpoint: The listed endpoint, None if the entry was removed.
    """

    name: str
    endpoint: Endpoint | None


@attrs.frozen
class UnreadableEntry:
    """An entry of the directory that does not describe a usable endpoint.

    Attributes:
        name: Key of the entry, cut if it is long.
        reason: What is wrong with the entry.
    """

    name: str
    reason: str


@attrs.frozen
class DirectoryUpdate:
    """The result of one read of the directory.

    Attributes:
        whole: Whether it lists all entries instead of the changes.
        entries: Entries in the order in which they were written.
        position: Position up to which the directory was read.
        unreadable: Unusable entries, which may come from other writers.
    """

    whole: bool
    entries: tuple[EndpointEntry, ...]
    position: LogPosition
    unreadable: tuple[UnreadableEntry, ...] = ()


@attrs.frozen
class ConfigurationUpdate:
    """The result of one read of the configuration.

    Attributes:
        table: Newest version that was read, None if none was read, or why the only one
            cannot be decoded.
        records: Number of records that were read.
        behind: Number of later records that the source holds, 0 if the newest one was
            read.
        waited: Seconds after the request during which certainly no newer record was
            written.
    """

    table: RoutingTable | Undecodable | None
    records: int = 0
    behind: int = 0
    waited: float = 0.0


class ConfigurationSource(Protocol):
    """Source of the accepted configuration."""

    async def newest(self) -> ConfigurationUpdate | Unavailable:
        """Return the newest version."""

    async def next(self, wait: float) -> ConfigurationUpdate | Unavailable:
        """Wait up to some seconds for a version after the last returned one."""

    def decode(self, document: bytes) -> RoutingTable | Undecodable:
        """Return the version that a published document contains."""


class EndpointDirectory(Protocol):
    """Directory of endpoints."""

    async def poll(self, position: LogPosition | None) -> DirectoryUpdate | Unavailable:
        """Return the changes after a position, or a listing of all entries for None."""


class OrderOutcome(Enum):
    """Outcomes of orders."""

    DONE = "done"
    BEGUN = "begun"
    MISFIT = "misfit"
    FENCED = "fenced"
    WRONG_INCARNATION = "wrong_incarnation"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class Orders(Protocol):
    """Sends orders to endpoints."""

    async def place(
        self, endpoint: Endpoint, layers: Layers, fencing: int, accepted: int | None
    ) -> OrderOutcome:
        """Order an endpoint to hold a range of layers.

        Args:
            endpoint: The endpoint.
            layers: The layers.
            fencing: Fencing number of the entry that orders.
            accepted: Number of orders that the endpoint must have accepted since its
                start to carry out this one, so that a late order has no effect; None
                for any number.
        """


@attrs.frozen
class StalledRequest:
    """A request that is stalled because an endpoint on its path does not answer.

    Attributes:
        request: Identifier of the request.
        address: Address of that endpoint.
    """

    request: str
    address: str


@attrs.frozen
class EngineReport:
    """The report of an engine on its state.

    Attributes:
        stalled: Stalled requests for which this engine is the first of the path.
        slowdown: Ratio of the duration of its steps to the published duration.
        born: Unix time of its start in milliseconds, `UNKNOWN_START` if unknown.
        accepted: Number of orders that it has accepted since its start, None if
            unknown.
        busy: Whether it is carrying out an order.
    """

    stalled: tuple[StalledRequest, ...] = ()
    slowdown: float = 1.0
    born: int = UNKNOWN_START
    accepted: int | None = None
    busy: bool = False


class EngineReports(Protocol):
    """Requests the reports of engines."""

    async def report(
        self, address: str, timeout: float
    ) -> EngineReport | Unavailable | Undecodable:
        """Return the report of the engine at an address.

        Args:
            address: The address.
            timeout: Seconds after which the engine counts as unavailable.
        """


@attrs.frozen
class Lease:
    """The lease of a duty.

    Attributes:
        holder: Name of the holder.
        fencing: Its fencing number, greater than those of earlier holders.
    """

    holder: str
    fencing: int


class LeaseStore(Protocol):
    """Store of the lease of a duty."""

    async def current(self) -> Lease | None | Unavailable:
        """Return the present lease, None if there never was one."""

    async def acquire(
        self, holder: str, after: Lease | None
    ) -> Lease | None | Unavailable:
        """Acquire the duty unless the lease has changed since it was read.

        Args:
            holder: Name of the new holder.
            after: The lease that was read, None if there was none.

        Returns:
            The new lease, None if another holder has acquired the duty.
        """


@attrs.frozen
class StoredRefusal:
    """A refusal of a prompt part as it is stored.

    Attributes:
        part: The part, with its service.
        count: Refusals in succession.
        companions: Parts that a request must hold as well to be refused.
    """

    part: str
    count: int
    companions: list[str] = attrs.field(factory=list)


class RefusalStore(Protocol):
    """Store of the refusals of prompt parts."""

    async def stored(self) -> list[StoredRefusal] | Unavailable:
        """Return all stored refusals."""

    async def store_refusal(self, refusal: StoredRefusal) -> Unavailable | None:
        """Store a refusal; return why that failed, None on success."""

    async def remove(self, part: str) -> Unavailable | None:
        """Remove the refusal of a part; return why that failed, None on success."""


class PeerRegistry(Protocol):
    """Registry of the addresses of entries."""

    async def announce(self, name: str, address: str) -> Unavailable | None:
        """Register the address of an entry; return why that failed, None on success."""

    async def listed(self) -> dict[str, str] | Unavailable:
        """Return the registered addresses by entry, also those of ended entries."""
