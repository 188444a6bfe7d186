"""Waits for asyncio tasks that gRPC creates internally."""

__all__ = ["rpcs_ended"]

import asyncio

TIMEOUT_S = 30


async def rpcs_ended() -> None:
    """Wait until gRPC has no internal task left; register this as a cleanup.

    The RPCs of a stopped server end shortly after ``stop`` returns and would
    otherwise be reported as leftover tasks of the test. Cleanups run in reverse
    order, so register this one before any server or channel.

    Raises:
        TimeoutError: An RPC is still running after ``TIMEOUT_S``.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while tasks := [task for task in asyncio.all_tasks() if _is_rpc(task)]:
            await asyncio.wait(tasks)


def _is_rpc(task: asyncio.Task) -> bool:
    return "_cython" in repr(task.get_coro())
