"""Fixtures of the tests with real processes."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from functools import partial

import pytest

from lacewingcourse.testing.deployment import Deployment, DeploymentOptions
from lacewingcourse.wire.client import new_http_client


def _start(stack: ExitStack, **options) -> Deployment:
    """Start a deployment that a stack of callbacks stops."""
    started = Deployment(DeploymentOptions(**options))
    stack.callback(started.down)
    started.up()
    return started


@pytest.fixture(scope="module")
def start_deployment():
    """Return a function that starts a deployment with options of its own.

    The deployment is stopped when the module's tests have ended.
    """
    with ExitStack() as stack:
        yield partial(_start, stack)


@pytest.fixture
def start_deployment_once():
    """Return a function that starts a deployment, which is stopped after the test."""
    with ExitStack() as stack:
        yield partial(_start, stack)


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """A small deployment that the tests of a module share."""
    return start_deployment(entries=1, endpoints=4)


@pytest.fixture
def run():
    """Return a function that runs a coroutine function with an HTTP client."""

    def run_with_client(function, *arguments):
        async def call():
            return await function(new_http_client(), *arguments)

        return asyncio.run(call())

    return run_with_client
