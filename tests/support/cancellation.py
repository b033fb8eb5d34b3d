"""Cancellations that reach a task together with the result that it waits for."""

import asyncio
from collections.abc import Awaitable, Callable

TURNS = 20  # of the event loop, for a task to begin its wait, or to end after its cancellation
CANCEL_INTERVAL = 0.05  # seconds between the cancellations of a task that went on


async def let_run(turns: int = TURNS) -> None:
    """Let the event loop turn so many times."""
    for _ in range(turns):
        await asyncio.sleep(0)


async def followed_by_wait(awaitable: Awaitable[object]) -> None:
    """Await, and then wait without end, as a caller that goes on if it is not cancelled."""
    await awaitable
    await asyncio.get_running_loop().create_future()


async def ends_cancelled(task: asyncio.Task, make_ready: Callable[[], None], turns: int = 1) -> bool:
    """Cancel a waiting task so many turns after its result is ready; return whether that ended it cancelled.

    The task is ended in any case. What was awaited in a task of its own has its result after one turn.
    """
    make_ready()
    await let_run(turns)
    task.cancel()
    for _ in range(TURNS):
        if task.done():
            break
        await asyncio.sleep(0)
    cancelled = task.done() and task.cancelled()
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_INTERVAL)
    return cancelled
