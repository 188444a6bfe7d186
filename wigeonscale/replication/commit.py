"""Proposal, sync, commit and application of entries.

The leader syncs its log concurrently with replication; one sync covers all entries
appended in the meantime. After Kahveci, "Log replication in MicroRaft" (2023), and
section 10.2.1 of the Raft dissertation. ``bench/replication.py`` compares it with a
sync before sending.
"""

__all__ = [
    "advance_commit",
    "append_as_leader",
    "apply_up_to",
    "check_can_propose",
    "run_sync",
    "update_lease",
]

import logging
import math

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.replication.model import EntryKind, NotLeaderError, Role
from wigeonscale.replication.preparation import prepare_if_needed
from wigeonscale.replication.state import ReplicaState
from wigeonscale.replication.voters import majority_value
from wigeonscale.wire import wire_pb2 as wire

MAX_PENDING_PROPOSALS = 4096  # proposals that await their result

logger = logging.getLogger(__name__)


def check_can_propose(state: ReplicaState) -> None:
    """Reject a proposal that this replica could not commit.

    Raises:
        NotLeaderError: This replica is not the leader, or is stopping.
        WigeonscaleError: ``NO_QUORUM`` with run state ``NOT_RUN`` if no majority
            replied recently, ``OVERLOADED`` if too many proposals are pending.
    """
    if not state.leading or state.stopping:
        leader = "" if state.leading else state.leader_address
        raise NotLeaderError(node_id=state.node_id, leader=leader)
    update_lease(state)
    elapsed_s = state.clock.now() - state.majority_acked_at
    if elapsed_s > state.options.election_timeout_s / 2:
        raise WigeonscaleError(
            ErrorKind.NO_QUORUM,
            f"no majority has replied to {state.node_id} for {elapsed_s:.3f} s",
            run_state=RunState.NOT_RUN,
            retry_after=state.options.election_timeout_s,
        )
    if len(state.proposals) >= MAX_PENDING_PROPOSALS:
        raise WigeonscaleError(
            ErrorKind.OVERLOADED,
            f"{len(state.proposals)} proposals are pending, the limit is"
            f" {MAX_PENDING_PROPOSALS}",
            retry_after=state.options.election_timeout_s,
        )


def append_as_leader(state: ReplicaState, kind: EntryKind, data: bytes) -> int:
    """Append one entry in memory and trigger its sync and replication.

    Returns:
        Index of the entry.
    """
    index = state.storage.last_index + 1
    entry = wire.LogEntry(index=index, term=state.term, kind=kind, data=data)
    state.storage.append([entry])
    state.add_member_changes([entry])
    state.sync_requested.set()
    if not state.options.sync_before_send:
        state.wake_peers()
    return index


async def run_sync(state: ReplicaState) -> None:
    """Sync the entries that the leader appends, concurrently with replication."""
    while True:
        await state.sync_requested.wait()
        state.sync_requested.clear()
        await state.storage.sync()
        if state.leading:
            advance_commit(state)
            state.wake_peers()


def advance_commit(state: ReplicaState) -> None:
    """Commit and apply the entries that are durable on a majority.

    Notes:
        Only an entry of the leader's own term is committed by counting replicas;
        earlier entries are committed with it (section 5.4.2 of the Raft paper).
    """

    def durable_index(node_id: str) -> int:
        if node_id == state.node_id:
            return state.storage.synced_index
        peer = state.peers.get(node_id)
        return peer.match_index if peer and peer.admitted else 0

    state.progress.set()
    index = int(majority_value(state.members, durable_index))
    if index <= state.commit_index or state.storage.term_at(index) != state.term:
        return
    apply_up_to(state, index)
    state.wake_peers()
    if all(member.node_id != state.node_id for member in state.member_log.at(index)):
        logger.info(
            "replica %s steps down: it was removed from the members", state.node_id
        )
        state.role = Role.FOLLOWER
        state.proposals.fail_all(
            f"replica {state.node_id} was removed from the members"
        )


def update_lease(state: ReplicaState) -> None:
    """Update the newest time at which a majority still followed this leader.

    The leader's lease and the freshness of its state are measured from that time.
    """

    def last_acked_at(node_id: str) -> float:
        if node_id == state.node_id:
            return state.clock.now()
        peer = state.peers.get(node_id)
        return peer.acked_at if peer and peer.admitted else -math.inf

    state.majority_acked_at = max(
        state.majority_acked_at, majority_value(state.members, last_acked_at)
    )
    # Before an entry of its own term is committed, a leader may not know which
    # earlier entries are committed.
    all_applied = state.applied_index == state.commit_index
    if all_applied and state.applied_index >= state.term_start_index:
        state.advance_fresh_at(state.majority_acked_at)


def apply_up_to(state: ReplicaState, commit_index: int) -> None:
    """Advance the commit index and apply the entries up to it.

    An entry that needs preparation in a thread blocks the entries after it; they
    are applied once the preparation is done.
    """
    state.commit_index = max(state.commit_index, commit_index)
    before = state.applied_index
    while state.applied_index < state.commit_index:
        entry = state.storage.entry(state.applied_index + 1)
        if prepare_if_needed(state, entry, lambda: apply_up_to(state, 0)):
            break
        result = _apply(state, entry)
        state.applied_index = entry.index
        state.applied_term = entry.term
        state.proposals.resolve(entry, result)
    if state.applied_index > before:
        state.progress.set()
        _notify_subscribers(state)
    snapshot_index = state.storage.snapshot.index if state.storage.snapshot else 0
    if state.applied_index - snapshot_index >= state.options.snapshot_entries:
        state.snapshot_due.set()


def _apply(state: ReplicaState, entry: wire.LogEntry) -> object:
    if entry.kind != EntryKind.COMMAND:
        return None
    try:
        return state.machine.apply(entry.index, entry.term, entry.data)
    except Exception as exc:
        # Every replica fails in the same way, so skipping the entry keeps them equal.
        logger.exception("failed to apply entry %d", entry.index)
        return WigeonscaleError(
            ErrorKind.INTERNAL,
            f"failed to apply entry {entry.index}: {exc!r}",
            run_state=RunState.UNKNOWN,
        )


def _notify_subscribers(state: ReplicaState) -> None:
    try:
        state.on_applied.on_next(state.applied_index)
    except Exception:
        logger.exception("a subscriber of on_applied failed")
