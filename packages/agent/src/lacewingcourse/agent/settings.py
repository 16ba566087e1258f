"""Settings of the agent."""

from __future__ import annotations

import environ

from lacewingcourse.daemon import common_settings as common
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
        default="", help="Name of the plain service; empty beside a model engine"
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
    hop_timeout: float = environ.var(
        default="3", converter=positive, help="Seconds a hop may take to be taken"
    )
    checks_fencing: bool = environ.var(
        default="false",
        converter=boolean,
        help="Whether the endpoint itself refuses old fencing numbers",
    )
    log_format: str = common.log_format()
    log_level: str = common.log_level()
    max_body_bytes: int = common.max_body_bytes()
    idle_timeout: float = common.idle_timeout()
    body_timeout: float = common.body_timeout()
    drain_timeout: float = common.drain_timeout()
