"""Room that requests have taken on paths and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewingcourse.core.pipelines.fleet import Endpoint
    from lacewingcourse.core.pipelines.load import LoadTable
    from lacewingcourse.core.pipelines.path import Path


@attrs.define(eq=False)
class TakenRoom:
    """Room that a request has taken; however the request ends, it is freed once.

    Attributes:
        target: The path or endpoint.
        on_release: Called once, when the room becomes free.
        held: Whether the room is still taken.
    """

    target: Path | Endpoint
    on_release: Callable[[], None]
    held: bool = True

    def release(self) -> None:
        """Free the room unless it was freed before."""
        if self.held:
            self.held = False
            self.on_release()


def take_path(
    loads: LoadTable, path: Path, tokens: int, on_release: Callable[[], None]
) -> TakenRoom:
    """Take room on a path.

    Args:
        loads: Loads that choices read.
        path: The path.
        tokens: Tokens that the request is expected to hold.
        on_release: Called after the room was freed.
    """

    def free() -> None:
        loads.end(path, tokens)
        on_release()

    loads.begin(path, tokens)
    return TakenRoom(path, free)


def take_slot(
    loads: LoadTable, endpoint: Endpoint, on_release: Callable[[], None]
) -> TakenRoom:
    """Take a slot of a plain endpoint; arguments as for `take_path`."""

    def free() -> None:
        loads.end_call(endpoint.id)
        on_release()

    loads.begin_call(endpoint.id)
    return TakenRoom(endpoint, free)
