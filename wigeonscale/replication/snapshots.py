"""Snapshots: creation, transfer in chunks and installation at a follower."""

__all__ = ["next_chunk", "receive_chunk", "run_snapshots"]

import logging
import zlib

from wigeonscale.replication.files import Snapshot
from wigeonscale.replication.preparation import restore_machine
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.voters import members_from_wire, members_to_wire
from wigeonscale.wire import wire_pb2 as wire

# A quarter of the entries of a snapshot interval is retained for lagging followers.
RETAINED_ENTRIES_DIVISOR = 4
CHUNK_BYTES = 256 * 1024

logger = logging.getLogger(__name__)


async def run_snapshots(state: ReplicaState) -> None:
    """Take a snapshot whenever one is due and compact the log."""
    while True:
        await state.snapshot_due.wait()
        state.snapshot_due.clear()
        async with state.lock:  # not while a snapshot of the leader is installed
            snapshot = _take_snapshot(state)
        if snapshot is not None:
            retained = state.options.snapshot_entries // RETAINED_ENTRIES_DIVISOR
            await state.storage.save_snapshot(snapshot, snapshot.index + 1 - retained)


def _take_snapshot(state: ReplicaState) -> Snapshot | None:
    index = state.applied_index
    try:
        data = state.machine.snapshot()
    except Exception:
        logger.exception("failed to take a snapshot at entry %d", index)
        return None
    return Snapshot(
        index=index,
        term=state.applied_term,
        members=state.member_log.at(index),
        data=data,
    )


def next_chunk(peer: PeerState) -> wire.SnapshotChunk:
    """Return the next chunk of the snapshot that is being sent to a peer."""
    snapshot = peer.outgoing_snapshot
    data = snapshot.data[
        peer.snapshot_bytes_sent : peer.snapshot_bytes_sent + CHUNK_BYTES
    ]
    final = peer.snapshot_bytes_sent + len(data) >= len(snapshot.data)
    chunk = wire.SnapshotChunk(
        last_index=snapshot.index,
        last_term=snapshot.term,
        offset=peer.snapshot_bytes_sent,
        data=data,
        final=final,
    )
    if final:
        chunk.voters.extend(members_to_wire(snapshot.members))
        chunk.crc = zlib.crc32(snapshot.data)
    return chunk


async def receive_chunk(
    state: ReplicaState, chunk: wire.SnapshotChunk
) -> tuple[bool, int]:
    """Receive one chunk of the leader's snapshot; install it after the last one.

    Args:
        state: State of the follower.
        chunk: The chunk.

    Returns:
        Whether the chunk was accepted (if not, the leader restarts the transfer), and
        the index up to which the log now matches the leader's; 0 if not known yet.
    """
    if chunk.last_index <= state.commit_index:
        return True, chunk.last_index
    data = _append_chunk(state, chunk)
    if data is None:
        return False, 0
    if not chunk.final:
        return True, 0
    state.incoming_snapshot = None
    if zlib.crc32(data) != chunk.crc:
        logger.warning(
            "received snapshot at entry %d has a wrong checksum", chunk.last_index
        )
        return False, 0
    await _install(state, chunk, bytes(data))
    return True, chunk.last_index


def _append_chunk(state: ReplicaState, chunk: wire.SnapshotChunk) -> bytearray | None:
    """Return the bytes received so far, or None if the chunk does not follow them."""
    position = (chunk.last_index, chunk.last_term)
    if chunk.offset == 0:
        state.incoming_snapshot = (*position, bytearray())
    if state.incoming_snapshot is None or state.incoming_snapshot[:2] != position:
        return None
    data = state.incoming_snapshot[2]
    if chunk.offset != len(data):
        return None
    data += chunk.data
    return data


async def _install(state: ReplicaState, chunk: wire.SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(
        index=chunk.last_index,
        term=chunk.last_term,
        members=members_from_wire(chunk.voters),
        data=data,
    )
    # Restore first: a snapshot that cannot be decoded must not become durable.
    await restore_machine(state, data)
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.applied_term = snapshot.term
    await state.storage.save_snapshot(snapshot, snapshot.index + 1)
    state.load_members()
    state.on_applied.on_next(state.applied_index)
