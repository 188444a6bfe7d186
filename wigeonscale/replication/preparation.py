"""Preparation of entries and snapshots by the state machine in a thread."""

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
    """Start the preparation of an entry if the state machine asks for it.

    Args:
        state: State of the replica.
        entry: The next entry to apply.
        on_ready: Called when the entry may be applied.

    Returns:
        True while a thread prepares the entry: it must not be applied yet, nor any
        later entry.
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
        # The error is reported again when the entry is applied.
        logger.exception("failed to prepare entry %d", index)
    state.preparing_index = 0
    state.prepared_index = index
    on_ready()


async def restore_machine(state: ReplicaState, data: bytes) -> None:
    """Restore the state machine from a snapshot.

    The snapshot is decoded in a thread if the state machine supports that.

    Args:
        state: State of the replica.
        data: The snapshot.
    """
    prepare = getattr(state.machine, "restore_preparation", None)
    work = prepare(data) if prepare else None
    if work is not None:
        await asyncio.to_thread(work)
    state.machine.restore(data)
