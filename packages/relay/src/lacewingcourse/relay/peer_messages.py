"""Messages that entries exchange."""

from __future__ import annotations

from enum import Enum
from typing import Any

import attrs
from attrs.validators import le

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.core.pipelines.log_position import UNKNOWN_EPOCH, LogPosition
from lacewingcourse.core.pipelines.prompt_parts import PartReport
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.pipelines.room_demand import RoomReport
from lacewingcourse.core.pipelines.stamps import Echo
from lacewingcourse.relay.decoding import Age, StrictDecoder, Undecodable

#: Decoder of all messages between entries.
DECODER = StrictDecoder()


#: Largest number of entries that a message may tell of. The share of the retries of an
#: entry shrinks with it.
MAX_ENTRIES = 10_000


def _are_entry_counts(_, attribute: attrs.Attribute, value: dict[str, int]) -> None:
    """Raise ValueError unless all values are numbers of entries."""
    if not all(0 <= count <= MAX_ENTRIES for count in value.values()):
        raise ValueError(f"{attribute.name} holds no number of entries")


class Scope(Enum):
    """Whose loads a message contains.

    Those of its sender, of the sender's zone, or of all but its receiver.
    """

    OWN = "own"
    ZONE = "zone"
    OTHERS = "others"


@attrs.frozen
class GossipMessage:
    """State that an entry sends to another one, several times a second.

    Attributes:
        name: Name of the sender.
        zone: Its availability zone.
        address: Its address for other entries.
        leaving: Whether it is ending.
        version: Version of its configuration, 0 before the first one.
        version_age: Seconds since that version was known to be the newest.
        position: Position up to which it has read the directory.
        position_age: Seconds since that position was known to be the last one.
        scope: Whose loads and link uses the message contains.
        loads: Number of requests, number of those of which the endpoint is the first
            part, and tokens times layers that they take, by endpoint.
        links: Shares of the time for which links between availability zones are in use,
            each as two zones and the share.
        suspects: Seconds for which each endpoint stays excluded.
        crashes: Seconds since the loss of endpoints that ran a request, by fingerprint
            and endpoint.
        parts: What the receiver needs to know of parts of prompts, by part.
        peers: Address, availability zone and seconds since the last message of each
            entry that the receiver needs to know, by name.
        counts: Number of live entries by availability zone.
        holder: Holder of the placement duty, empty if unknown.
        fencing: Fencing number of that holder.
        holder_age: Seconds since any entry received a message of that holder.
        released: Fencing number of the last holder that released the duty.
        silent: Excluded endpoints that do not answer at all.
        grades: Grades of the excluded endpoints for which another grade than the
            assumed one is known, by endpoint.
        speeds: Ratio of the step time of an endpoint to the published one, and seconds
            for which that ratio is used.
        ends_in: Seconds until the sender is expected to have ended, None if it is not
            ending.
        limits: Requests a second that endpoints named, None for no limit, and seconds
            since then.
        reads: Whether the platform answers the sender.
        stamp: Time of the sender's clock at composition, seconds.
        echo: Last stamp that the sender received from the receiver, None before that.
        epoch: Epoch of the directory to which the position belongs.
        room: Demand for room by service, as `encode_room` returns it. It is decoded
            apart, so that a report which cannot be read costs nothing else.
    """

    name: str
    zone: str
    address: str
    leaving: bool
    version: int
    version_age: Age
    position: int
    position_age: Age
    scope: Scope
    loads: dict[str, tuple[int, int, float]]
    links: list[tuple[str, str, float]]
    suspects: dict[str, float]
    crashes: dict[str, dict[str, Age]]
    peers: dict[str, tuple[str, str, Age]]
    counts: dict[str, int] = attrs.field(validator=_are_entry_counts)
    holder: str
    fencing: int
    silent: list[str] = attrs.field(factory=list)
    speeds: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    holder_age: Age = 0.0
    released: int = 0
    ends_in: float | None = None
    limits: dict[str, tuple[float | None, Age]] = attrs.field(factory=dict)
    reads: bool = True
    parts: dict[str, PartReport] = attrs.field(factory=dict)
    stamp: float = 0.0
    echo: Echo | None = None
    grades: dict[str, int] = attrs.field(factory=dict)
    epoch: int = UNKNOWN_EPOCH
    room: Any = attrs.field(factory=dict)

    @property
    def log_position(self) -> LogPosition:
        """Position up to which the sender has read the directory."""
        return LogPosition(self.epoch, self.position)


@attrs.frozen
class FleetSnapshot:
    """The endpoints that an entry knows.

    Attributes:
        position: Position up to which the entry has read the directory.
        age: Seconds since that position was known to be the last one.
        endpoints: The endpoints.
        lapsed: Seconds for which endpoints are kept whose directory entry is gone.
        epoch: Epoch of the directory to which the position belongs.
    """

    position: int
    age: Age
    endpoints: list[Endpoint]
    lapsed: dict[str, float]
    epoch: int = UNKNOWN_EPOCH

    @property
    def log_position(self) -> LogPosition:
        """Position up to which the entry has read the directory."""
        return LogPosition(self.epoch, self.position)


@attrs.frozen
class LoanRequest:
    """A request to borrow retries from another entry.

    Attributes:
        service: Service whose requests need the retries.
        count: Retries that the sender lacks.
        entries: Number of entries that share the budget, as far as the sender knows.
    """

    service: str
    count: int
    entries: int = attrs.field(validator=le(MAX_ENTRIES))


@attrs.frozen
class LoanReply:
    """The answer to a loan request.

    Attributes:
        count: Retries that are lent.
    """

    count: int


@attrs.frozen
class PermitRequest:
    """A request for permits, to the entry that issues those of an endpoint.

    Attributes:
        entry: Name of the sender.
        endpoint: Id of the endpoint.
        count: Permits that the sender lacks.
        ages: Seconds since those of its sends to the endpoint that the issuer may not
            know.
        named: Requests a second that the endpoint named, None for no limit.
        age: Seconds since the endpoint named it.
    """

    entry: str
    endpoint: str
    count: int
    ages: list[Age]
    named: float | None
    age: Age


@attrs.frozen
class PermitReply:
    """The answer to a permit request.

    Attributes:
        issuer: Process that counts the permits, empty if the entry that was asked is
            not the issuer by its own view.
        delays: Seconds until each permit may be used.
        retry_in: Seconds after which to ask again.
    """

    issuer: str
    delays: list[float]
    retry_in: float


#: Any message between entries.
PeerMessage = (
    GossipMessage
    | FleetSnapshot
    | LoanRequest
    | LoanReply
    | PermitRequest
    | PermitReply
)


def encode_limit(limit: float) -> float | None:
    """Return a limit as messages encode it, None for no limit."""
    return None if limit == NO_LIMIT else limit


def decode_limit(value: float | None) -> float:
    """Return the limit that a message encodes."""
    return NO_LIMIT if value is None else max(0.0, value)


def decode_loads(message: GossipMessage) -> dict[str, Load]:
    """Return the loads of a message by endpoint."""
    return {
        endpoint: Load(requests, leading, cells)
        for endpoint, (requests, leading, cells) in message.loads.items()
    }


def encode_room(reports: dict[str, RoomReport]) -> dict[str, Any]:
    """Return the demand for room by service as messages encode it."""
    return DECODER.converter.unstructure(reports)


def decode_room(document: Any) -> tuple[dict[str, RoomReport], dict[str, str]]:
    """Return the demand for room that a message encodes, by service.

    Returns:
        The reports, and why others cannot be decoded, by service.
    """
    if not isinstance(document, dict):
        return {}, {"": f"{type(document).__name__} in place of services"}
    reports, errors = {}, {}
    for service, encoded in document.items():
        report = DECODER.structure(encoded, RoomReport)
        if isinstance(report, Undecodable):
            errors[service] = report.reason
        else:
            reports[service] = report
    return reports, errors


def encode(message: PeerMessage) -> bytes:
    """Return a message as JSON."""
    return DECODER.converter.dumps(message)


def decode(body: bytes, kind: type) -> PeerMessage | Undecodable:
    """Return the message of a class that a body holds, or why it cannot be decoded."""
    return DECODER.decode(body, kind)
