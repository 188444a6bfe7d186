"""Replication by the leader: one task per peer, one outstanding append request.

Entries proposed during a request are sent in the next one, so that batches grow with
the load. After Kahveci, "Log replication in MicroRaft" (2023), and section 10.2.2 of
the Raft dissertation. ``bench/replication.py`` compares it with one entry per request.
"""

__all__ = ["run_peer"]

import logging

from wigeonscale.replication.admission import admit_if_caught_up
from wigeonscale.replication.commit import advance_commit, update_lease
from wigeonscale.replication.echo import MICROSECONDS_PER_S
from wigeonscale.replication.election import adopt_term_of_reply
from wigeonscale.replication.snapshots import next_chunk
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.waiting import with_timeout
from wigeonscale.wire import wire_pb2 as wire

AGE_UNKNOWN_US = -1  # age_us until a majority has confirmed this leader

logger = logging.getLogger(__name__)


async def run_peer(state: ReplicaState, peer: PeerState) -> None:
    """Replicate the log to one peer while this replica leads; runs until cancelled."""
    try:
        while True:
            if not state.leading:
                await peer.wake.wait()
                peer.wake.clear()
                continue
            if await _try_send_append(state, peer):
                await _wait_for_work(state, peer)
            else:
                await state.clock.sleep(state.options.heartbeat_s / 2)
    finally:
        await peer.client.reset()


async def _try_send_append(state: ReplicaState, peer: PeerState) -> bool:
    try:
        return await _send_append(state, peer)
    except OSError:
        raise  # the data folder failed, which stops this replica
    except Exception:
        logger.exception(
            "unexpected error while replicating to %s", peer.member.node_id
        )
        return False


async def _send_append(state: ReplicaState, peer: PeerState) -> bool:
    """Send one append request and handle its reply; return whether it succeeded."""
    peer.wake.clear()
    req = _next_request(state, peer)
    sent_at = state.clock.now()
    try:
        reply = await with_timeout(
            state.clock, state.append_timeout_s, peer.client.append(req)
        )
    except (TimeoutError, ConnectionError) as exc:
        logger.debug("append to %s failed: %s", peer.member.node_id, exc)
        # A connection that stopped responding does not recover; a new one may work.
        await peer.client.reset()
        peer.echo_us = 0
        peer.outgoing_snapshot = None
        return False
    peer.last_contact_at = state.clock.now()
    await adopt_term_of_reply(state, reply.term)
    same_term = req.term == reply.term == state.term
    if state.leading and same_term and reply.echo_us == req.round_us:
        _handle_reply(state, peer, req, reply, sent_at)
    return True


def _next_request(state: ReplicaState, peer: PeerState) -> wire.AppendRequest:
    req = wire.AppendRequest(
        leader_id=state.node_id,
        leader_address=state.address,
        term=state.term,
        commit_index=state.commit_index,
        round_us=state.echo.now(),
        echo_us=peer.echo_us,
        age_us=_age_us(state),
    )
    if state.shared is not None:
        req.shared = state.shared.to_peer(peer.member.node_id)
    peer.sent_commit_index = state.commit_index
    if peer.outgoing_snapshot is None and peer.next_index <= state.storage.base_index:
        peer.outgoing_snapshot = state.storage.snapshot
        peer.snapshot_bytes_sent = 0
    if peer.outgoing_snapshot is not None:
        req.snapshot.CopyFrom(next_chunk(peer))
        return req
    req.previous_index = peer.next_index - 1
    req.previous_term = state.storage.term_at(peer.next_index - 1)
    req.entries.extend(_next_entries(state, peer))
    return req


def _next_entries(state: ReplicaState, peer: PeerState) -> list[wire.LogEntry]:
    options = state.options
    if not options.sync_before_send:
        return state.storage.batch(
            peer.next_index, options.batch_entries, options.batch_bytes
        )
    durable = state.storage.synced_index - peer.next_index + 1
    max_entries = max(0, min(options.batch_entries, durable))
    return state.storage.batch(peer.next_index, max_entries, options.batch_bytes)


def _handle_reply(
    state: ReplicaState,
    peer: PeerState,
    req: wire.AppendRequest,
    reply: wire.AppendReply,
    sent_at: float,
) -> None:
    peer.echo_us = reply.follower_us
    if state.shared is not None and reply.shared:
        state.shared.from_peer(reply.node_id, reply.shared)
    if reply.storage_id != peer.storage_id:
        peer.match_index = 0  # what it acknowledged is lost with its disk
    peer.admitted = not reply.needs_admission
    peer.storage_id = reply.storage_id
    peer.acked_at = sent_at
    if req.HasField("snapshot"):
        _handle_snapshot_reply(state, peer, req.snapshot, reply)
    elif reply.success:
        _update_match_index(state, peer, reply.match_index)
    else:
        peer.next_index = min(peer.next_index - 1, reply.match_index + 1)
        peer.next_index = max(peer.next_index, 1)
    advance_commit(state)
    if state.leading:
        update_lease(state)
        admit_if_caught_up(state, peer)


def _update_match_index(state: ReplicaState, peer: PeerState, index: int) -> None:
    # Bounded by the local log, whatever the reply contains.
    index = min(index, state.storage.last_index)
    peer.match_index = max(peer.match_index, index)
    peer.next_index = peer.match_index + 1


def _handle_snapshot_reply(
    state: ReplicaState,
    peer: PeerState,
    chunk: wire.SnapshotChunk,
    reply: wire.AppendReply,
) -> None:
    if not reply.success:
        peer.snapshot_bytes_sent = 0
    elif reply.match_index >= chunk.last_index:
        peer.outgoing_snapshot = None
        _update_match_index(state, peer, reply.match_index)
    else:
        peer.snapshot_bytes_sent += len(chunk.data)


def _age_us(state: ReplicaState) -> int:
    """Return the microseconds since a majority confirmed this leader, rounded up."""
    confirmed = state.applied_index >= state.term_start_index
    if not confirmed:
        return AGE_UNKNOWN_US
    update_lease(state)
    return int((state.clock.now() - state.majority_acked_at) * MICROSECONDS_PER_S) + 1


async def _wait_for_work(state: ReplicaState, peer: PeerState) -> None:
    if _has_work(state, peer):
        return
    try:
        await with_timeout(
            state.clock, state.options.heartbeat_s, _wait_until_has_work(state, peer)
        )
    except TimeoutError:
        return


async def _wait_until_has_work(state: ReplicaState, peer: PeerState) -> None:
    while not _has_work(state, peer):
        await peer.wake.wait()
        peer.wake.clear()


def _has_work(state: ReplicaState, peer: PeerState) -> bool:
    last = state.storage.last_index
    if state.options.sync_before_send:
        last = state.storage.synced_index
    return (
        not state.leading
        or peer.outgoing_snapshot is not None
        or peer.next_index <= last
        or peer.sent_commit_index < state.commit_index
    )
