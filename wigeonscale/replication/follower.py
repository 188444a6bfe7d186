"""Handling of append requests by a follower."""

__all__ = ["handle_append"]

from typing import NoReturn

from google.protobuf.message import DecodeError

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.admission import update_admission
from wigeonscale.replication.commit import apply_up_to
from wigeonscale.replication.echo import MICROSECONDS_PER_S
from wigeonscale.replication.election import adopt_term, check_term, step_down
from wigeonscale.replication.model import EntryKind, Role
from wigeonscale.replication.snapshots import receive_chunk
from wigeonscale.replication.state import ReplicaState
from wigeonscale.wire import wire_pb2 as wire

REPLICATED_KINDS = (EntryKind.COMMAND, EntryKind.NO_OP, EntryKind.MEMBERS)


async def handle_append(
    state: ReplicaState, req: wire.AppendRequest
) -> wire.AppendReply:
    """Append entries or receive a snapshot chunk of the leader.

    Entries and a complete snapshot are durable when this returns.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` or ``CORRUPT_LOG`` for a request that a
            correct leader never sends; the log is unchanged.
    """
    _validate_request(req)
    async with state.lock:
        if req.term < state.term:
            return _reply(state, req, success=False, match_index=0)
        await adopt_term(state, req.term)
        _record_leader(state, req)
        if req.HasField("snapshot"):
            success, index = await receive_chunk(state, req.snapshot)
            reply = _reply(state, req, success=success, match_index=index)
        else:
            reply = await _append_entries(state, req)
        caught_up = reply.success and state.applied_index >= req.commit_index
        await update_admission(state, caught_up=caught_up)
        _update_fresh_at(state, req)
        reply.needs_admission = not state.may_vote
        if state.shared is not None:
            if req.shared:
                state.shared.from_peer(req.leader_id, req.shared)
            reply.shared = state.shared.to_peer(req.leader_id)
        return reply


def _validate_request(req: wire.AppendRequest) -> None:
    check_term(req.term)
    term = req.previous_term
    index = req.previous_index
    for entry in req.entries:
        follows = entry.index == index + 1 and term <= entry.term <= req.term
        if index < 0 or not follows:
            _reject(
                f"entry {entry.index} of term {entry.term} does not follow entry"
                f" {index} of term {term}"
            )
        _validate_entry(entry)
        index, term = entry.index, entry.term
    if req.HasField("snapshot"):
        _validate_chunk(req.snapshot, req.term)


def _validate_entry(entry: wire.LogEntry) -> None:
    if entry.kind not in REPLICATED_KINDS:
        _reject(f"entry {entry.index} has the unknown kind {entry.kind}")
    if entry.kind == EntryKind.MEMBERS and not _contains_members(entry.data):
        _reject(f"entry {entry.index} contains no valid list of members")


def _validate_chunk(chunk: wire.SnapshotChunk, term: int) -> None:
    if chunk.last_index < 1 or not 0 <= chunk.last_term <= term:
        _reject(f"invalid snapshot index {chunk.last_index} or term {chunk.last_term}")
    if chunk.final and not chunk.voters:
        _reject(f"snapshot at entry {chunk.last_index} contains no members")


def _contains_members(data: bytes) -> bool:
    try:
        return bool(wire.VoterSet.FromString(data).voters)
    except DecodeError:
        return False


def _reject(message: str) -> NoReturn:
    raise WigeonscaleError(ErrorKind.BAD_REQUEST, message)


def _record_leader(state: ReplicaState, req: wire.AppendRequest) -> None:
    if state.leading:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG,
            f"replica {req.leader_id} claims to be the leader of term {req.term}, but"
            f" {state.node_id} is",
        )
    if state.role is Role.CANDIDATE:
        step_down(state, f"{req.leader_id} is the leader of term {req.term}")
    state.leader_id = req.leader_id
    state.leader_address = req.leader_address
    state.leader_contact_at = state.clock.now()
    state.election_timer_start = state.leader_contact_at
    if req.leader_id in state.peers:
        state.peers[req.leader_id].last_contact_at = state.leader_contact_at


def _reply(
    state: ReplicaState, req: wire.AppendRequest, *, success: bool, match_index: int
) -> wire.AppendReply:
    return wire.AppendReply(
        node_id=state.node_id,
        term=state.term,
        success=success,
        match_index=match_index,
        echo_us=req.round_us,
        follower_us=state.echo.now(),
        needs_admission=not state.may_vote,
        storage_id=state.storage.vote.storage_id,
    )


async def _append_entries(
    state: ReplicaState, req: wire.AppendRequest
) -> wire.AppendReply:
    storage = state.storage
    mismatch = _find_mismatch(state, req)
    if mismatch is not None:
        return _reply(state, req, success=False, match_index=mismatch)
    for position, entry in enumerate(req.entries):
        if entry.index <= storage.base_index:
            continue  # included in the snapshot
        term = storage.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            await _truncate_from(state, entry.index)
        added = req.entries[position:]
        storage.append(added)
        state.add_member_changes(added)
        break
    await storage.sync()
    matched = req.previous_index + len(req.entries)
    apply_up_to(state, min(req.commit_index, matched))
    return _reply(state, req, success=True, match_index=matched)


def _find_mismatch(state: ReplicaState, req: wire.AppendRequest) -> int | None:
    """Return the index that the leader should try next, or None if the logs match."""
    storage = state.storage
    previous = req.previous_index
    if previous < storage.base_index:
        return None
    term = storage.term_at(previous)
    if term == req.previous_term:
        return None
    if term is None:
        return storage.last_index
    # Skip all entries of the conflicting term, but no committed entry.
    while previous > max(state.commit_index, storage.base_index):
        if storage.term_at(previous) != term:
            break
        previous -= 1
    return previous


async def _truncate_from(state: ReplicaState, index: int) -> None:
    if index <= state.commit_index:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG,
            f"entry {index} of the leader conflicts with the log committed up to entry"
            f" {state.commit_index}",
        )
    await state.storage.truncate_from(index)
    state.drop_member_changes_from(index)


def _update_fresh_at(state: ReplicaState, req: wire.AppendRequest) -> None:
    at = state.echo.local_time_of(req.echo_us)
    if at is None or req.age_us < 0 or state.applied_index < req.commit_index:
        return
    state.advance_fresh_at(at - req.age_us / MICROSECONDS_PER_S)
