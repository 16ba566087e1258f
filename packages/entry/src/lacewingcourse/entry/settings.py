"""Settings of the entry."""

from __future__ import annotations

import environ

from lacewingcourse.core.routes import POLICIES
from lacewingcourse.daemon import common_settings as common
from lacewingcourse.daemon.checks import registered
from lacewingcourse.daemon.settings import PREFIX, count, one_of, positive, secret


@environ.config(prefix=PREFIX)
class EntrySettings:
    """Settings of one entry, each a flag and an environment variable."""

    instance_id: str = common.instance_id()
    availability_zone: str = common.availability_zone()
    advertised_url: str = common.advertised_url()
    shared_secret: str = common.shared_secret()
    admin_token: str = environ.var(
        converter=secret, help="Bearer token of the first administrator"
    )
    log_url: str = common.log_url()
    instance_list_url: str = common.instance_list_url()
    log_retention: float = environ.var(
        default="86400",
        converter=positive,
        help="Seconds for which the log keeps a record",
    )
    listen_address: str = common.listen_address()
    listen_port: int = common.listen_port()
    route_policy: str = environ.var(
        default="shortest",
        converter=registered(POLICIES),
        help=f"Route policy: {', '.join(POLICIES.names())}",
    )
    admission: str = environ.var(
        default="targets",
        converter=one_of("targets", "none"),
        help="targets, or none to let every request start (to compare with)",
    )
    route_patience: float = environ.var(
        default="10",
        converter=positive,
        help="Seconds for which a broken answer waits for a route",
    )
    message_timeout: float = environ.var(
        default="3", converter=positive, help="Seconds a message to an agent may take"
    )
    usual_restart_time: float = environ.var(
        default="20", converter=positive, help="Seconds a restart takes, to start from"
    )
    usual_load_time: float = environ.var(
        default="60", converter=positive, help="Seconds a load takes, to start from"
    )
    loads_at_once: int = environ.var(
        default="2", converter=count, help="Loads of weights in progress at most"
    )
    lease_duration: float = environ.var(
        default="6", converter=positive, help="Seconds for which a lease lasts"
    )
    call_timeout: float = environ.var(
        default="30", converter=positive, help="Seconds a plain call may take"
    )
    burn_summary_interval: float = environ.var(
        default="900",
        converter=positive,
        help="Seconds between two summaries of its counts in the log",
    )
    claim_timeout: float = environ.var(
        default="8", converter=positive, help="Seconds a claim of a key may take"
    )
    key_tenure: float = common.key_tenure()
    key_skew: float = common.key_skew()
    instance_skew: float = common.instance_skew()
    key_retention: float = common.key_retention()
    log_format: str = common.log_format()
    log_level: str = common.log_level()
    max_body_bytes: int = common.max_body_bytes()
    memory_mb: int = common.memory_mb()
    max_descriptors: int = common.max_descriptors()
    idle_timeout: float = common.idle_timeout()
    header_timeout: float = common.header_timeout()
    body_timeout: float = common.body_timeout()
    drain_timeout: float = common.drain_timeout()
