"""Work that the state machine does in a thread before an entry is applied."""

__all__ = ["prepare_if_needed", "restore_machine"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.replication.model import EntryKind
from wigeonscale.replication.state import ReplicaState
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


def prepare_if_needed(
    state: ReplicaState, entry: wire.LogEntry, on_ready: Callable[[], None]
) -> bool:
    """Return whether an entry must wait, and those after it with it.

    Args:
        state: State of the replica.
        entry: The next entry to apply.
        on_ready: Called when the entry may be applied.

    Returns:
        True while a thread prepares it, which this call may have begun.
    """
    if state.preparing_index == entry.index:
        return True
    prepare = getattr(state.machine, "preparation", None)
    is_command = entry.kind == EntryKind.COMMAND
    if prepare is None or not is_command or state.prepared_index == entry.index:
        return False
    work = prepare(entry.data)
    if work is None:
        return False
    state.preparing_index = entry.index
    task = asyncio.create_task(_prepare(state, entry.index, work, on_ready))
    state.shielded_tasks.add(task)
    task.add_done_callback(state.shielded_tasks.discard)
    return True


async def _prepare(
    state: ReplicaState,
    index: int,
    work: Callable[[], None],
    on_ready: Callable[[], None],
) -> None:
    try:
        await asyncio.to_thread(work)
    except Exception:
        # Applying it will tell what is wrong with it.
        logger.exception("entry %d could not be prepared", index)
    state.preparing_index = 0
    state.prepared_index = index
    on_ready()


async def restore_machine(state: ReplicaState, data: bytes) -> None:
    """Replace the machine's state by a snapshot, read in a thread where it can be.

    Args:
        state: State of the replica.
        data: The snapshot.
    """
    prepare = getattr(state.machine, "restore_preparation", None)
    work = prepare(data) if prepare else None
    if work is not None:
        await asyncio.to_thread(work)
    state.machine.restore(data)
