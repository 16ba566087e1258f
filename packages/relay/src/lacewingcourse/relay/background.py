"""Background work of an entry, which goes on after errors."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from typing import Any

    from lacewingcourse.relay.decisions import DecisionLog

#: Seconds after which a loop that failed begins again.
RETRY_DELAY = 0.1
#: Maximum of these seconds; they double with each failure in succession.
MAX_RETRY_DELAY = 2.0
#: Seconds without an error after which a failure is no longer one in succession.
RESET_TIME = 5.0


def start_task(
    name: str, work: Coroutine[Any, Any, None], log: DecisionLog
) -> asyncio.Task[None]:
    """Start a task that nothing awaits; an error of it is logged.

    Args:
        name: Name of the work in log lines.
        work: The work.
        log: Decision log.
    """
    task = asyncio.ensure_future(work)
    task.add_done_callback(partial(_log_error, name, log))
    return task


def _log_error(name: str, log: DecisionLog, task: asyncio.Task) -> None:
    """Log the error of a task that has ended."""
    if not task.cancelled() and task.exception() is not None:
        log.failed(task.exception(), name)


async def run_repeatedly(
    loop: Callable[[], Awaitable[None]],
    on_error: Callable[[Exception], None],
    clock: Callable[[], float],
) -> None:
    """Run a loop, again after each error, until it returns or is cancelled.

    Args:
        loop: The loop, which keeps its state elsewhere.
        on_error: Called with each error.
        clock: Returns the present time in seconds.
    """
    delay = RETRY_DELAY
    while True:
        began_at = clock()
        try:
            await loop()
            return
        except Exception as error:
            on_error(error)
        if clock() - began_at > RESET_TIME:
            delay = RETRY_DELAY
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RETRY_DELAY)


@attrs.define
class BackgroundTasks:
    """Runs the loops of an entry, none of which an error ends.

    Attributes:
        log: Decision log.
        clock: Returns the present time in seconds.
        tasks: Tasks that were started.
    """

    log: DecisionLog
    clock: Callable[[], float]
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def supervise(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until cancelled; after an error it begins again.

        Args:
            name: Name of the loop in log lines.
            loop: The loop, which keeps its state elsewhere.
        """
        on_error = partial(self.log.failed, task=name)
        self.start(name, run_repeatedly(loop, on_error, self.clock))

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Start work that runs once."""
        self.tasks.append(start_task(name, work, self.log))

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error in a callback or task, as a handler of the event loop."""
        error = context.get("exception")
        if isinstance(error, Exception):
            self.log.failed(error, context.get("message", ""))
        else:
            loop.default_exception_handler(context)
