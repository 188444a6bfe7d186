"""Proposal, sync, commit and application of entries.

The leader's sync runs beside replication and covers all that was appended
meanwhile. The idea is from Kahveci, "Log replication in MicroRaft" (2023), after
section 10.2.1 of the Raft dissertation; ``bench/replication.py`` holds it against a
sync before sending.
"""

__all__ = [
    "advance_commit",
    "advance_round",
    "append_as_leader",
    "apply_up_to",
    "require_majority",
    "run_sync",
]

import logging
import math

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.replication.model import EntryKind, NotLeaderError, Role
from wigeonscale.replication.preparation import is_in_preparation
from wigeonscale.replication.state import ReplicaState
from wigeonscale.replication.voters import majority_value
from wigeonscale.wire import wire_pb2 as wire

MAX_WAITING = 4096  # proposals without an outcome

logger = logging.getLogger(__name__)


def require_majority(core: ReplicaState) -> None:
    """Refuse a proposal that this replica could not commit.

    Raises:
        NotLeaderError: This replica does not lead, or leaves.
        WigeonscaleError: ``NO_QUORUM`` with run state ``NOT_RUN`` when no majority
            answered lately, ``OVERLOADED`` when too many proposals wait.
    """
    if not core.leading or core.leaving:
        leader = "" if core.leading else core.leader_address
        raise NotLeaderError(node_id=core.node_id, leader=leader)
    advance_round(core)
    silence = core.clock.now() - core.majority_at
    if silence > core.options.election_timeout_s / 2:
        raise WigeonscaleError(
            ErrorKind.NO_QUORUM,
            f"no majority has answered {core.node_id} for {silence:.3f} s",
            run_state=RunState.NOT_RUN,
            retry_after=core.options.election_timeout_s,
        )
    if len(core.proposals) >= MAX_WAITING:
        raise WigeonscaleError(
            ErrorKind.OVERLOADED,
            f"{len(core.proposals)} proposals wait, at most {MAX_WAITING} may",
            retry_after=core.options.election_timeout_s,
        )


def append_as_leader(core: ReplicaState, kind: EntryKind, data: bytes) -> int:
    """Append one entry in memory and let it be synced and sent.

    Returns:
        Index of the entry.
    """
    index = core.storage.last_index + 1
    entry = wire.LogEntry(index=index, term=core.term, kind=kind, data=data)
    core.storage.append([entry])
    core.note_members([entry])
    core.unsynced.set()
    if not core.options.sync_before_send:
        core.wake_peers()
    return index


async def run_sync(core: ReplicaState) -> None:
    """Sync what this replica appends as leader; runs beside replication."""
    while True:
        await core.unsynced.wait()
        core.unsynced.clear()
        await core.storage.sync()
        if core.leading:
            advance_commit(core)
            core.wake_peers()


def advance_commit(core: ReplicaState) -> None:
    """Commit and apply what a majority has made durable.

    Notes:
        Only entries of the leader's own term are counted; earlier ones are
        committed by them.
    """

    def durable_at(node_id: str) -> int:
        if node_id == core.node_id:
            return core.storage.synced_index
        peer = core.peers.get(node_id)
        return peer.match_index if peer and peer.admitted else 0

    core.progress.set()
    index = int(majority_value(core.members, durable_at))
    if index <= core.commit_index or core.storage.term_at(index) != core.term:
        return
    apply_up_to(core, index)
    core.wake_peers()
    if all(member.node_id != core.node_id for member in core.member_log.at(index)):
        logger.info("replica %s was removed and steps down", core.node_id)
        core.role = Role.FOLLOWER
        core.proposals.fail_all(f"replica {core.node_id} was removed")


def advance_round(core: ReplicaState) -> None:
    """Note the newest instant at which a majority still followed this leader."""

    def followed_at(node_id: str) -> float:
        if node_id == core.node_id:
            return core.clock.now()
        peer = core.peers.get(node_id)
        return peer.acked_at if peer and peer.admitted else -math.inf

    core.majority_at = max(core.majority_at, majority_value(core.members, followed_at))
    # Before its first own commit a leader may not know all that was committed.
    all_applied = core.applied_index == core.commit_index
    if all_applied and core.applied_index >= core.term_start_index:
        core.note_fresh(core.majority_at)


def apply_up_to(core: ReplicaState, commit_index: int) -> None:
    """Advance the commit index and apply what it covers.

    An entry that is prepared in a thread first holds up those after it; they are
    applied when it is done.
    """
    core.commit_index = max(core.commit_index, commit_index)
    before = core.applied_index
    while core.applied_index < core.commit_index:
        entry = core.storage.entry(core.applied_index + 1)
        if is_in_preparation(core, entry, lambda: apply_up_to(core, 0)):
            break
        result = _apply(core, entry)
        core.applied_index = entry.index
        core.applied_term = entry.term
        core.proposals.answer(entry, result)
    if core.applied_index > before:
        core.progress.set()
        _publish(core)
    covered = core.storage.snapshot.index if core.storage.snapshot else 0
    if core.applied_index - covered >= core.options.snapshot_entries:
        core.snapshot_due.set()


def _apply(core: ReplicaState, entry: wire.LogEntry) -> object:
    if entry.kind != EntryKind.COMMAND:
        return None
    try:
        return core.machine.apply(entry.index, entry.term, entry.data)
    except Exception as exc:
        # Every replica fails alike, so going on keeps them equal.
        logger.exception("entry %d could not be applied", entry.index)
        return WigeonscaleError(
            ErrorKind.INTERNAL,
            f"entry {entry.index} could not be applied: {exc!r}",
            run_state=RunState.UNKNOWN,
        )


def _publish(core: ReplicaState) -> None:
    try:
        core.on_applied.on_next(core.applied_index)
    except Exception:
        logger.exception("a subscriber to applied entries failed")
