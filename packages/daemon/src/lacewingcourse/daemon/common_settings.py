"""Settings that every daemon has, to be copied into each settings class."""

from __future__ import annotations

import environ

from lacewingcourse.daemon.checks import (
    address,
    advertised,
    boolean,
    count,
    name,
    one_of,
    port,
    positive,
    secret,
    url,
)


def listen_address() -> str:
    """Return the setting for the address to listen on."""
    return environ.var(
        default="127.0.0.1", converter=address, help="IP number to listen on"
    )


def listen_port() -> int:
    """Return the setting for the port to listen on."""
    return environ.var(default="0", converter=port, help="TCP port to listen on")


def advertised_url() -> str:
    """Return the setting for the URL under which others reach the process."""
    return environ.var(
        converter=advertised,
        help="Base URL with IP number and port under which peers reach it",
    )


def instance_id() -> str:
    """Return the setting for the name of the instance."""
    return environ.var(
        converter=name, help="Name of the instance in the platform's instance list"
    )


def availability_zone() -> str:
    """Return the setting for the availability zone."""
    return environ.var(converter=name, help="Availability zone of the instance")


def shared_secret() -> str:
    """Return the setting for the deployment's shared secret."""
    return environ.var(converter=secret, help="Secret shared by all processes")


def log_url() -> str:
    """Return the setting for the log service."""
    return environ.var(converter=url, help="Base URL of the platform's log service")


def instance_list_url() -> str:
    """Return the setting for the instance list."""
    return environ.var(converter=url, help="Base URL of the platform's instance list")


def key_tenure() -> float:
    """Return the setting for the tenure of a home of keys."""
    return environ.var(
        default="21600",
        converter=positive,
        help="Seconds that a home of keys may serve without the log",
    )


def key_skew() -> float:
    """Return the setting for the difference of clocks."""
    return environ.var(
        default="5",
        converter=positive,
        help="Seconds by which the clock of a caller may be ahead",
    )


def instance_skew() -> float:
    """Return the setting for the difference of the instances' clocks."""
    return environ.var(
        default="1",
        converter=positive,
        help="Seconds by which the clocks of two instances may differ",
    )


def key_retention() -> float:
    """Return the setting for the memory of keys."""
    return environ.var(
        default="82800",
        converter=positive,
        help="Seconds that keys are remembered; below the log's retention",
    )


def log_format() -> str:
    """Return the setting for the form of log lines."""
    return environ.var(
        default="human", converter=one_of("human", "json"), help="human or json"
    )


def log_level() -> str:
    """Return the setting for the lowest level of log lines."""
    return environ.var(
        default="INFO",
        converter=one_of("DEBUG", "INFO", "WARNING", "ERROR"),
        help="Lowest level of log lines",
    )


def max_body_bytes() -> int:
    """Return the setting for the size of a request's body."""
    return environ.var(
        default="4194304", converter=count, help="Bytes of a request's body at most"
    )


def memory_mb() -> int:
    """Return the setting for the memory of the process."""
    return environ.var(
        default="512",
        converter=count,
        help="MiB of memory that the process may use; bounds what clients hold",
    )


def max_descriptors() -> int:
    """Return the setting for the descriptors of the process."""
    return environ.var(
        default="4096",
        converter=count,
        help="Descriptors that the process may open; bounds its connections",
    )


def idle_timeout() -> float:
    """Return the setting for idle connections."""
    return environ.var(
        default="3600", converter=positive, help="Seconds a connection may be idle"
    )


def header_timeout() -> float:
    """Return the setting for the arrival of headers."""
    return environ.var(
        default="10",
        converter=positive,
        help="Seconds in which headers must arrive once begun",
    )


def body_timeout() -> float:
    """Return the setting for the arrival of a body."""
    return environ.var(
        default="30", converter=positive, help="Seconds in which a body must arrive"
    )


def drain_timeout() -> float:
    """Return the setting for the longest drain."""
    return environ.var(
        default="600", converter=positive, help="Seconds that a drain may take"
    )


__all__ = [
    "advertised_url",
    "availability_zone",
    "body_timeout",
    "boolean",
    "drain_timeout",
    "header_timeout",
    "idle_timeout",
    "instance_id",
    "instance_skew",
    "instance_list_url",
    "key_retention",
    "key_skew",
    "key_tenure",
    "listen_address",
    "listen_port",
    "log_format",
    "log_level",
    "log_url",
    "max_body_bytes",
    "max_descriptors",
    "memory_mb",
    "shared_secret",
]
