"""Snapshots: taken when due, sent in chunks, installed at a follower."""

__all__ = ["next_chunk", "run_snapshots", "take_chunk"]

import logging
import zlib

from wigeonscale.replication.files import Snapshot
from wigeonscale.replication.preparation import restore_machine
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.voters import members_from_wire, members_to_wire
from wigeonscale.wire import wire_pb2 as wire

KEPT_SHARE = 4  # a quarter of a snapshot's entries stay for followers that lag
CHUNK_BYTES = 256 * 1024

logger = logging.getLogger(__name__)


async def run_snapshots(core: ReplicaState) -> None:
    """Take a snapshot and drop old entries whenever one is due."""
    while True:
        await core.snapshot_due.wait()
        core.snapshot_due.clear()
        async with core.lock:  # not while one of the leader is being installed
            snapshot = _take_snapshot(core)
        if snapshot is not None:
            kept = core.options.snapshot_entries // KEPT_SHARE
            await core.storage.save_snapshot(snapshot, snapshot.index + 1 - kept)


def _take_snapshot(core: ReplicaState) -> Snapshot | None:
    index = core.applied_index
    try:
        data = core.machine.snapshot()
    except Exception:
        logger.exception("no snapshot could be taken at entry %d", index)
        return None
    return Snapshot(
        index=index,
        term=core.applied_term,
        members=core.member_log.at(index),
        data=data,
    )


def next_chunk(peer: PeerState) -> wire.SnapshotChunk:
    """Return the next chunk of the snapshot that is being sent to a peer."""
    snapshot = peer.sending
    data = snapshot.data[peer.sent_bytes : peer.sent_bytes + CHUNK_BYTES]
    final = peer.sent_bytes + len(data) >= len(snapshot.data)
    chunk = wire.SnapshotChunk(
        last_index=snapshot.index,
        last_term=snapshot.term,
        offset=peer.sent_bytes,
        data=data,
        final=final,
    )
    if final:
        chunk.voters.extend(members_to_wire(snapshot.members))
        chunk.crc = zlib.crc32(snapshot.data)
    return chunk


async def take_chunk(core: ReplicaState, chunk: wire.SnapshotChunk) -> tuple[bool, int]:
    """Take one chunk of the leader's snapshot; install it with the last one.

    Args:
        core: State of the follower.
        chunk: The chunk.

    Returns:
        Whether to go on (else the leader begins anew), and the index up to which
        this replica now holds the leader's log; 0 while that is not known.
    """
    if chunk.last_index <= core.commit_index:
        return True, chunk.last_index
    data = _collect(core, chunk)
    if data is None:
        return False, 0
    if not chunk.final:
        return True, 0
    core.incoming = None
    if zlib.crc32(data) != chunk.crc:
        logger.warning("snapshot at entry %d came broken", chunk.last_index)
        return False, 0
    await _install(core, chunk, bytes(data))
    return True, chunk.last_index


def _collect(core: ReplicaState, chunk: wire.SnapshotChunk) -> bytearray | None:
    """Return the bytes so far, or None when the chunk does not follow them."""
    position = (chunk.last_index, chunk.last_term)
    if chunk.offset == 0:
        core.incoming = (*position, bytearray())
    if core.incoming is None or core.incoming[:2] != position:
        return None
    data = core.incoming[2]
    if chunk.offset != len(data):
        return None
    data += chunk.data
    return data


async def _install(core: ReplicaState, chunk: wire.SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(
        index=chunk.last_index,
        term=chunk.last_term,
        members=members_from_wire(chunk.voters),
        data=data,
    )
    # Restored first: a state that cannot be read must not become durable.
    await restore_machine(core, data)
    core.commit_index = snapshot.index
    core.applied_index = snapshot.index
    core.applied_term = snapshot.term
    await core.storage.save_snapshot(snapshot, snapshot.index + 1)
    core.load_members()
    core.on_applied.on_next(core.applied_index)
