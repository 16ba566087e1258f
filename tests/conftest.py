"""Fixtures of the tests with real processes."""

from __future__ import annotations

import asyncio

import pytest

from lacewingcourse.testing.deployment import Deployment, DeploymentOptions
from lacewingcourse.wire.client import new_http_client


@pytest.fixture(scope="module")
def deployment():
    """A small deployment that the tests of a module share."""
    started = Deployment(DeploymentOptions(entries=1, endpoints=4))
    try:
        started.up()
        yield started
    finally:
        started.down()


@pytest.fixture
def run():
    """Return a function that runs a coroutine function with an HTTP client."""

    def run_with_client(function, *arguments):
        async def call():
            return await function(new_http_client(), *arguments)

        return asyncio.run(call())

    return run_with_client
