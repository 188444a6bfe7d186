"""The follower's side of replication."""

__all__ = ["handle_append"]

from typing import NoReturn

from google.protobuf.message import DecodeError

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.admission import note_admission
from wigeonscale.replication.commit import apply_up_to
from wigeonscale.replication.echo import MICROSECONDS
from wigeonscale.replication.election import adopt_term, check_term, step_down
from wigeonscale.replication.model import EntryKind, Role
from wigeonscale.replication.snapshots import take_chunk
from wigeonscale.replication.state import ReplicaState
from wigeonscale.wire import wire_pb2 as wire

SENT_KINDS = (EntryKind.COMMAND, EntryKind.NO_OP, EntryKind.MEMBERS)


async def handle_append(
    core: ReplicaState, req: wire.AppendRequest
) -> wire.AppendReply:
    """Take entries or a snapshot chunk of the leader; durable when it returns.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` or ``CORRUPT_LOG`` for a request that no
            leader sends; nothing was changed.
    """
    _check(req)
    async with core.lock:
        if req.term < core.term:
            return _reply(core, req, success=False, match_index=0)
        await adopt_term(core, req.term)
        _note_leader(core, req)
        if req.HasField("snapshot"):
            success, index = await take_chunk(core, req.snapshot)
            reply = _reply(core, req, success=success, match_index=index)
        else:
            reply = await _take_entries(core, req)
        caught_up = reply.success and core.applied_index >= req.commit_index
        await note_admission(core, caught_up=caught_up)
        _note_fresh(core, req)
        reply.needs_admission = not core.may_vote
        if core.shared is not None:
            if req.shared:
                core.shared.from_peer(req.leader_id, req.shared)
            reply.shared = core.shared.to_peer(req.leader_id)
        return reply


def _check(req: wire.AppendRequest) -> None:
    check_term(req.term)
    term = req.previous_term
    index = req.previous_index
    for entry in req.entries:
        follows = entry.index == index + 1 and term <= entry.term <= req.term
        if index < 0 or not follows:
            _refuse(
                f"entry {entry.index} of term {entry.term} does not follow entry"
                f" {index} of term {term}"
            )
        _check_kind(entry)
        index, term = entry.index, entry.term
    if req.HasField("snapshot"):
        _check_chunk(req.snapshot, req.term)


def _check_kind(entry: wire.LogEntry) -> None:
    if entry.kind not in SENT_KINDS:
        _refuse(f"entry {entry.index} is of the unknown kind {entry.kind}")
    if entry.kind == EntryKind.MEMBERS and not _holds_voters(entry.data):
        _refuse(f"entry {entry.index} changes the members to none")


def _check_chunk(chunk: wire.SnapshotChunk, term: int) -> None:
    if chunk.last_index < 1 or not 0 <= chunk.last_term <= term:
        _refuse(f"snapshot at entry {chunk.last_index} of term {chunk.last_term}")
    if chunk.final and not chunk.voters:
        _refuse(f"snapshot at entry {chunk.last_index} names no members")


def _holds_voters(data: bytes) -> bool:
    try:
        return bool(wire.VoterSet.FromString(data).voters)
    except DecodeError:
        return False


def _refuse(message: str) -> NoReturn:
    raise WigeonscaleError(ErrorKind.BAD_REQUEST, message)


def _note_leader(core: ReplicaState, req: wire.AppendRequest) -> None:
    if core.leading:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG,
            f"replica {req.leader_id} claims to lead term {req.term}, which"
            f" {core.node_id} leads",
        )
    if core.role is Role.CANDIDATE:
        step_down(core, f"{req.leader_id} leads term {req.term}")
    core.leader_id = req.leader_id
    core.leader_address = req.leader_address
    core.leader_heard_at = core.clock.now()
    core.timer_from = core.leader_heard_at
    if req.leader_id in core.peers:
        core.peers[req.leader_id].heard_at = core.leader_heard_at


def _reply(
    core: ReplicaState, req: wire.AppendRequest, *, success: bool, match_index: int
) -> wire.AppendReply:
    return wire.AppendReply(
        node_id=core.node_id,
        term=core.term,
        success=success,
        match_index=match_index,
        echo_us=req.round_us,
        follower_us=core.echo.now(),
        needs_admission=not core.may_vote,
        storage_id=core.storage.vote.storage_id,
    )


async def _take_entries(
    core: ReplicaState, req: wire.AppendRequest
) -> wire.AppendReply:
    storage = core.storage
    mismatch = _mismatch(core, req)
    if mismatch is not None:
        return _reply(core, req, success=False, match_index=mismatch)
    for position, entry in enumerate(req.entries):
        if entry.index <= storage.base_index:
            continue  # covered by the snapshot
        term = storage.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            await _truncate_from(core, entry.index)
        added = req.entries[position:]
        storage.append(added)
        core.note_members(added)
        break
    await storage.sync()
    matched = req.previous_index + len(req.entries)
    apply_up_to(core, min(req.commit_index, matched))
    return _reply(core, req, success=True, match_index=matched)


def _mismatch(core: ReplicaState, req: wire.AppendRequest) -> int | None:
    """Return where the leader should try next, or None when the logs meet."""
    storage = core.storage
    previous = req.previous_index
    if previous < storage.base_index:
        return None
    term = storage.term_at(previous)
    if term == req.previous_term:
        return None
    if term is None:
        return storage.last_index
    # Skip the whole conflicting term, but never what is committed.
    while previous > max(core.commit_index, storage.base_index):
        if storage.term_at(previous) != term:
            break
        previous -= 1
    return previous


async def _truncate_from(core: ReplicaState, index: int) -> None:
    if index <= core.commit_index:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG,
            f"entry {index} of the leader contradicts committed entry"
            f" {core.commit_index}",
        )
    await core.storage.truncate_from(index)
    core.forget_members_from(index)


def _note_fresh(core: ReplicaState, req: wire.AppendRequest) -> None:
    at = core.echo.time_of(req.echo_us)
    if at is None or req.age_us < 0 or core.applied_index < req.commit_index:
        return
    core.note_fresh(at - req.age_us / MICROSECONDS)
