"""Waits for the tasks that gRPC itself makes."""

__all__ = ["rpcs_ended"]

import asyncio

TIMEOUT_S = 30


async def rpcs_ended() -> None:
    """Wait until no task of gRPC's own is left, as a last clean-up.

    A stopped server's calls end shortly after ``stop`` has returned, and would
    count as tasks left over by the test. Register it before all servers and
    channels, so that it runs after their clean-up. A call that never ends fails
    the test by ``TimeoutError``.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while tasks := [task for task in asyncio.all_tasks() if _is_rpc(task)]:
            await asyncio.wait(tasks)


def _is_rpc(task: asyncio.Task) -> bool:
    return "_cython" in repr(task.get_coro())
