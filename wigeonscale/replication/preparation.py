"""Work that the state machine does in a thread before an entry is applied."""

__all__ = ["is_in_preparation", "restore_machine"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.replication.model import EntryKind
from wigeonscale.replication.state import ReplicaState
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


def is_in_preparation(
    core: ReplicaState, entry: wire.LogEntry, resume: Callable[[], None]
) -> bool:
    """Return whether an entry must wait, and those after it with it.

    Args:
        core: State of the replica.
        entry: The next entry to apply.
        resume: Called when the entry may be applied.

    Returns:
        True while a thread prepares it, which this call may have begun.
    """
    if core.preparing_index == entry.index:
        return True
    prepare = getattr(core.machine, "preparation", None)
    is_command = entry.kind == EntryKind.COMMAND
    if prepare is None or not is_command or core.prepared_index == entry.index:
        return False
    work = prepare(entry.data)
    if work is None:
        return False
    core.preparing_index = entry.index
    task = asyncio.create_task(_prepare(core, entry.index, work, resume))
    core.running.add(task)
    task.add_done_callback(core.running.discard)
    return True


async def _prepare(
    core: ReplicaState, index: int, work: Callable[[], None], resume: Callable[[], None]
) -> None:
    try:
        await asyncio.to_thread(work)
    except Exception:
        # Applying it will tell what is wrong with it.
        logger.exception("entry %d could not be prepared", index)
    core.preparing_index = 0
    core.prepared_index = index
    resume()


async def restore_machine(core: ReplicaState, data: bytes) -> None:
    """Replace the machine's state by a snapshot, read in a thread where it can be.

    Args:
        core: State of the replica.
        data: The snapshot.
    """
    prepare = getattr(core.machine, "restore_preparation", None)
    work = prepare(data) if prepare else None
    if work is not None:
        await asyncio.to_thread(work)
    core.machine.restore(data)
