"""Messages between entries."""

from __future__ import annotations

from enum import Enum

import attrs

from lacewingcourse.core.pipelines.fleet import Endpoint
from lacewingcourse.core.pipelines.load import Load
from lacewingcourse.core.pipelines.request_limits import NO_LIMIT
from lacewingcourse.core.pipelines.stamps import Echo
from lacewingcourse.relay.decoding import StrictDecoder, Undecodable

#: Decoder of all messages between entries.
DECODER = StrictDecoder()


class Scope(Enum):
    """Whose loads a message tells: its sender's, its zone's, all but its reader's."""

    OWN = "own"
    ZONE = "zone"
    OTHERS = "others"


@attrs.frozen
class GossipMessage:
    """What an entry tells another one, several times a second.

    Attributes:
        name: Name of the sender.
        zone: Its availability zone.
        address: Its address for entries.
        leaving: Whether it is ending.
        version: Version of its configuration, 0 before there is one.
        version_age: Seconds since it was known to be the newest.
        position: How far it knows the directory.
        position_age: Seconds since that was known to be all.
        scope: Whose loads and uses of links are told.
        loads: Requests, requests led, and tokens times layers, by endpoint.
        links: Shares of the time of links between zones, as pairs of zones and share.
        suspects: Seconds for which each endpoint is left out.
        crashes: Seconds since the loss of endpoints under requests, by fingerprint
            and endpoint.
        peers: Address, availability zone and seconds since it was heard of each entry
            that the reader needs to know, by name.
        counts: Entries alive in availability zones.
        holder: Holder of the duty of placing, empty if unknown.
        fencing: Fencing number of that holder.
        holder_age: Seconds since anybody heard that holder.
        released: Fencing number of the last holder that gave the duty back.
        silent: Those among the endpoints left out that do not answer at all.
        speeds: Times that the steps of endpoints take as long as published, and the
            seconds for which that is believed.
        ends_in: Seconds until the sender expects to have ended, None if it is not
            ending.
        limits: Requests a second that endpoints named, None for no limit, and seconds
            since they did.
        reads: Whether the platform answers the sender.
        stamp: Time of the sender's clock, seconds.
        echo: Time of the reader's clock that the reader sent, None before it did.
    """

    name: str
    zone: str
    address: str
    leaving: bool
    version: int
    version_age: float
    position: int
    position_age: float
    scope: Scope
    loads: dict[str, tuple[int, int, float]]
    links: list[tuple[str, str, float]]
    suspects: dict[str, float]
    crashes: dict[str, dict[str, float]]
    peers: dict[str, tuple[str, str, float]]
    counts: dict[str, int]
    holder: str
    fencing: int
    silent: list[str] = attrs.field(factory=list)
    speeds: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    holder_age: float = 0.0
    released: int = 0
    ends_in: float | None = None
    limits: dict[str, tuple[float | None, float]] = attrs.field(factory=dict)
    reads: bool = True
    stamp: float = 0.0
    echo: Echo | None = None


@attrs.frozen
class FleetSnapshot:
    """The endpoints that an entry knows.

    Attributes:
        position: How far it knows the directory.
        age: Seconds since that was known to be all.
        endpoints: The endpoints.
        lapsed: Seconds for which each of those is kept whose entry is gone.
    """

    position: int
    age: float
    endpoints: list[Endpoint]
    lapsed: dict[str, float]


@attrs.frozen
class LoanRequest:
    """What an entry asks another one for whose retries are used up.

    Attributes:
        service: Service for whose requests they are.
        count: Retries that it lacks.
        entries: Entries that share the budget, as far as it knows.
    """

    service: str
    count: int
    entries: int


@attrs.frozen
class LoanReply:
    """What an entry lends.

    Attributes:
        count: Retries that it does not use itself.
    """

    count: int


@attrs.frozen
class PermitRequest:
    """What an entry asks the one that gives out an endpoint's permits.

    Attributes:
        entry: Name of the entry that asks.
        endpoint: Id of the endpoint.
        count: Permits that it lacks.
        ages: Seconds since its sends to the endpoint that the issuer may not know.
        named: Requests a second that the endpoint named, None for no limit.
        age: Seconds since it did.
    """

    entry: str
    endpoint: str
    count: int
    ages: list[float]
    named: float | None
    age: float


@attrs.frozen
class PermitReply:
    """What the issuer of permits gives.

    Attributes:
        issuer: Who counts them, empty if the entry does not take itself for it.
        delays: Seconds until each permit may be used.
        retry_in: Seconds after which it is worth asking again.
    """

    issuer: str
    delays: list[float]
    retry_in: float


#: What entries send one another.
PeerMessage = (
    GossipMessage
    | FleetSnapshot
    | LoanRequest
    | LoanReply
    | PermitRequest
    | PermitReply
)


def encode_limit(limit: float) -> float | None:
    """Return a limit as messages tell it."""
    return None if limit == NO_LIMIT else limit


def decode_limit(value: float | None) -> float:
    """Return the limit that a message tells."""
    return NO_LIMIT if value is None else max(0.0, value)


def decode_loads(news: GossipMessage) -> dict[str, Load]:
    """Return the loads that a message tells."""
    return {
        endpoint: Load(requests, leading, cells)
        for endpoint, (requests, leading, cells) in news.loads.items()
    }


def encode(message: PeerMessage) -> bytes:
    """Return a message as JSON."""
    return DECODER.converter.dumps(message)


def decode(body: bytes, kind: type) -> PeerMessage | Undecodable:
    """Return the message of a kind that a body holds, or what is wrong with it."""
    return DECODER.decode(body, kind)
