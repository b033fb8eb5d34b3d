"""Helpers that cancel a task at about the time at which the result that it awaits becomes ready."""

import asyncio
from collections.abc import Awaitable, Callable

LOOP_ITERATIONS = 20  # event loop iterations in which a task begins its wait, or ends after a cancellation
CANCEL_INTERVAL = 0.05  # seconds between the cancellations of a task that does not end


async def run_event_loop(iterations: int = LOOP_ITERATIONS) -> None:
    """Let the event loop run for the given number of iterations."""
    for _ in range(iterations):
        await asyncio.sleep(0)


async def await_then_block(awaitable: Awaitable[object]) -> None:
    """Await, then wait without end, like a caller that continues unless it is cancelled."""
    await awaitable
    await asyncio.get_running_loop().create_future()


async def cancel_after_result(
    task: asyncio.Task, make_ready: Callable[[], None], iterations: int = 1
) -> bool:
    """Cancel a waiting task some loop iterations after its result is ready; return whether it was cancelled.

    The task is ended in any case. A coroutine that is awaited in a separate task has its result after one
    iteration.
    """
    make_ready()
    await run_event_loop(iterations)
    task.cancel()
    for _ in range(LOOP_ITERATIONS):
        if task.done():
            break
        await asyncio.sleep(0)
    cancelled = task.done() and task.cancelled()
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_INTERVAL)
    return cancelled
