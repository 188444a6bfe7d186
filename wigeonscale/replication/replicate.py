"""The leader's side of replication: one task a peer, one append at a time.

What is proposed while an append is under way goes out in the next one, so that
batches grow with the load. The idea is from Kahveci, "Log replication in MicroRaft"
(2023), after section 10.2.2 of the Raft dissertation; ``bench/replication.py``
holds it against one entry an append.
"""

__all__ = ["run_peer"]

import logging

from wigeonscale.replication.admission import admit_when_due
from wigeonscale.replication.commit import advance_commit, advance_round
from wigeonscale.replication.echo import MICROSECONDS
from wigeonscale.replication.election import adopt_term_of_reply
from wigeonscale.replication.snapshots import next_chunk
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.waiting import within
from wigeonscale.wire import wire_pb2 as wire

NOT_CONFIRMED = -1  # age_us when no majority has confirmed this leader yet

logger = logging.getLogger(__name__)


async def run_peer(core: ReplicaState, peer: PeerState) -> None:
    """Bring one peer up to date while this replica leads; ends when cancelled."""
    try:
        while True:
            if not core.leading:
                await peer.wake.wait()
                peer.wake.clear()
                continue
            if await _try_exchange(core, peer):
                await _wait_for_work(core, peer)
            else:
                await core.clock.sleep(core.options.heartbeat_s / 2)
    finally:
        await peer.client.reset()


async def _try_exchange(core: ReplicaState, peer: PeerState) -> bool:
    try:
        return await _exchange(core, peer)
    except OSError:
        raise  # the data folder failed, and with it this replica
    except Exception:
        logger.exception("exchange with %s failed", peer.member.node_id)
        return False


async def _exchange(core: ReplicaState, peer: PeerState) -> bool:
    """Send one append and take its reply; return whether the link works."""
    peer.wake.clear()
    req = _next_request(core, peer)
    sent_at = core.clock.now()
    try:
        reply = await within(core.clock, core.append_timeout_s, peer.client.append(req))
    except (TimeoutError, ConnectionError) as exc:
        logger.debug("append to %s failed: %s", peer.member.node_id, exc)
        # A connection that went silent stays so; a new one may work.
        await peer.client.reset()
        peer.echo_us = 0
        peer.sending = None
        return False
    peer.heard_at = core.clock.now()
    await adopt_term_of_reply(core, reply.term)
    same_term = req.term == reply.term == core.term
    if core.leading and same_term and reply.echo_us == req.round_us:
        _take_reply(core, peer, req, reply, sent_at)
    return True


def _next_request(core: ReplicaState, peer: PeerState) -> wire.AppendRequest:
    req = wire.AppendRequest(
        leader_id=core.node_id,
        leader_address=core.address,
        term=core.term,
        commit_index=core.commit_index,
        round_us=core.echo.now(),
        echo_us=peer.echo_us,
        age_us=_age_us(core),
    )
    if core.shared is not None:
        req.shared = core.shared.to_peer(peer.member.node_id)
    peer.sent_commit = core.commit_index
    if peer.sending is None and peer.next_index <= core.storage.base_index:
        peer.sending = core.storage.snapshot
        peer.sent_bytes = 0
    if peer.sending is not None:
        req.snapshot.CopyFrom(next_chunk(peer))
        return req
    req.previous_index = peer.next_index - 1
    req.previous_term = core.storage.term_at(peer.next_index - 1)
    req.entries.extend(_next_entries(core, peer))
    return req


def _next_entries(core: ReplicaState, peer: PeerState) -> list[wire.LogEntry]:
    options = core.options
    if not options.sync_before_send:
        return core.storage.batch(
            peer.next_index, options.batch_entries, options.batch_bytes
        )
    durable = core.storage.synced_index - peer.next_index + 1
    most = max(0, min(options.batch_entries, durable))
    return core.storage.batch(peer.next_index, most, options.batch_bytes)


def _take_reply(
    core: ReplicaState,
    peer: PeerState,
    req: wire.AppendRequest,
    reply: wire.AppendReply,
    sent_at: float,
) -> None:
    peer.echo_us = reply.follower_us
    if core.shared is not None and reply.shared:
        core.shared.from_peer(reply.node_id, reply.shared)
    if reply.storage_id != peer.storage_id:
        peer.match_index = 0  # what it acknowledged went with its disk
    peer.admitted = not reply.needs_admission
    peer.storage_id = reply.storage_id
    peer.acked_at = sent_at
    if req.HasField("snapshot"):
        _take_snapshot_reply(core, peer, req.snapshot, reply)
    elif reply.success:
        _note_match(core, peer, reply.match_index)
    else:
        peer.next_index = min(peer.next_index - 1, reply.match_index + 1)
        peer.next_index = max(peer.next_index, 1)
    advance_commit(core)
    if core.leading:
        advance_round(core)
        admit_when_due(core, peer)


def _note_match(core: ReplicaState, peer: PeerState, index: int) -> None:
    # Never beyond the own log, whatever a reply says.
    index = min(index, core.storage.last_index)
    peer.match_index = max(peer.match_index, index)
    peer.next_index = peer.match_index + 1


def _take_snapshot_reply(
    core: ReplicaState,
    peer: PeerState,
    chunk: wire.SnapshotChunk,
    reply: wire.AppendReply,
) -> None:
    if not reply.success:
        peer.sent_bytes = 0
    elif reply.match_index >= chunk.last_index:
        peer.sending = None
        _note_match(core, peer, reply.match_index)
    else:
        peer.sent_bytes += len(chunk.data)


def _age_us(core: ReplicaState) -> int:
    confirmed = core.applied_index >= core.term_start_index
    if not confirmed:
        return NOT_CONFIRMED
    advance_round(core)
    return int((core.clock.now() - core.majority_at) * MICROSECONDS) + 1


async def _wait_for_work(core: ReplicaState, peer: PeerState) -> None:
    if _has_work(core, peer):
        return
    try:
        await within(core.clock, core.options.heartbeat_s, _until_work(core, peer))
    except TimeoutError:
        return


async def _until_work(core: ReplicaState, peer: PeerState) -> None:
    while not _has_work(core, peer):
        await peer.wake.wait()
        peer.wake.clear()


def _has_work(core: ReplicaState, peer: PeerState) -> bool:
    last = core.storage.last_index
    if core.options.sync_before_send:
        last = core.storage.synced_index
    return (
        not core.leading
        or peer.sending is not None
        or peer.next_index <= last
        or peer.sent_commit < core.commit_index
    )
