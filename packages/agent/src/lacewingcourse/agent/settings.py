"""Settings of the agent."""

from __future__ import annotations

import environ

from lacewingcourse.daemon import common_settings as common
from lacewingcourse.daemon.checks import name_or_empty
from lacewingcourse.daemon.settings import PREFIX, boolean, count, positive, url


@environ.config(prefix=PREFIX)
class AgentSettings:
    """Settings of one agent, each a flag and an environment variable."""

    instance_id: str = common.instance_id()
    availability_zone: str = common.availability_zone()
    advertised_url: str = common.advertised_url()
    endpoint_url: str = environ.var(
        converter=url, help="Base URL of the engine or plain service beside it"
    )
    service: str = environ.var(
        default="",
        converter=name_or_empty,
        help="Name of the plain service; empty beside a model engine",
    )
    shared_secret: str = common.shared_secret()
    log_url: str = common.log_url()
    instance_list_url: str = common.instance_list_url()
    listen_address: str = common.listen_address()
    listen_port: int = common.listen_port()
    batch_items: int = environ.var(
        default="32", converter=count, help="Items of one engine step at most"
    )
    steps_in_flight: int = environ.var(
        default="2", converter=count, help="Steps given to the engine at one time"
    )
    max_streams: int = environ.var(
        default="512", converter=count, help="Streams that run here at one time at most"
    )
    endpoint_timeout: float = environ.var(
        default="30", converter=positive, help="Seconds an endpoint may take"
    )
    resume_buffer_bytes: int = environ.var(
        default="16777216",
        converter=count,
        help="Bytes of outputs kept to resume streams after a stage is lost",
    )
    orphan_timeout: float = environ.var(
        default="30",
        converter=positive,
        help="Seconds after which the entry of a quiet stream is asked for it",
    )
    hop_timeout: float = environ.var(
        default="3", converter=positive, help="Seconds a hop may take to be taken"
    )
    checks_fencing: bool = environ.var(
        default="false",
        converter=boolean,
        help="Whether the endpoint itself refuses old fencing numbers",
    )
    key_prompt_window: float = environ.var(
        default="30",
        converter=positive,
        help="Seconds after its making in which a UUIDv7 key is claimed without log",
    )
    key_accept_window: float = environ.var(
        default="79200",
        converter=positive,
        help="Seconds after its making in which a UUIDv7 key may first be used",
    )
    key_tenure: float = common.key_tenure()
    key_skew: float = common.key_skew()
    instance_skew: float = common.instance_skew()
    key_retention: float = common.key_retention()
    claim_timeout: float = environ.var(
        default="5", converter=positive, help="Seconds a claim may wait for the log"
    )
    journal_interval: float = environ.var(
        default="0.05", converter=positive, help="Seconds between two journal records"
    )
    handover_after: float = environ.var(
        default="5",
        converter=positive,
        help="Seconds without the endpoint after which keys get another home",
    )
    handover_timeout: float = environ.var(
        default="5",
        converter=positive,
        help="Seconds that a leaving agent waits for a log that is down",
    )
    answer_bytes: int = environ.var(
        default="16777216", converter=count, help="Bytes of stored answers at most"
    )
    answer_time: float = environ.var(
        default="3600", converter=positive, help="Seconds an answer is stored"
    )
    log_format: str = common.log_format()
    log_level: str = common.log_level()
    max_body_bytes: int = common.max_body_bytes()
    memory_mb: int = common.memory_mb()
    max_descriptors: int = common.max_descriptors()
    idle_timeout: float = common.idle_timeout()
    header_timeout: float = common.header_timeout()
    body_timeout: float = common.body_timeout()
    drain_timeout: float = common.drain_timeout()
