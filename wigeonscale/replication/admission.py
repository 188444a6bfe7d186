"""Voting rights: bootstrap of a cluster, lost disks and new members.

A replica with an empty folder cannot know whether it starts for the first time or
lost its disk. It asks all other members. The cluster is bootstrapped only if each of
them replies and none ever had a log. A majority is not enough: two replicas that
lost their disks while the third is unreachable would start an empty log and lose the
accepted configuration.

At the first start of the cluster, as stated by its settings, an empty folder has never
voted nor acknowledged anything, so it is a follower like any other. A majority of the
initial members suffices then, and the cluster can be bootstrapped although one of them
was lost before it was up.

A replica that lost its disk, or found its files damaged, has a new storage id and may
not vote until it has caught up and the leader has committed a change of members that
contains that storage id. The replica does not count towards that commit.
"""

__all__ = [
    "admit_if_caught_up",
    "append_members",
    "can_change_members",
    "changed_members",
    "run_bootstrap",
    "update_admission",
]

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import replace
from typing import NoReturn

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.commit import append_as_leader
from wigeonscale.replication.files import Admission, VoteState
from wigeonscale.replication.model import EntryKind, Member
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.voters import members_to_wire, quorum_size
from wigeonscale.replication.waiting import with_timeout
from wigeonscale.wire import wire_pb2 as wire

# Time for which the first start of a cluster waits for all initial members.
FIRST_START_WAIT_S = 1.0

logger = logging.getLogger(__name__)


async def run_bootstrap(state: ReplicaState) -> None:
    """Determine whether an empty folder means bootstrap or a lost disk."""
    majority_suffices_at = state.clock.now() + FIRST_START_WAIT_S
    while state.storage.vote.admission in (Admission.NEW, Admission.FIRST_START):
        replies = await asyncio.gather(
            *(_query_log_history(state, peer) for peer in state.peers.values())
        )
        async with state.lock:
            if state.storage.vote.admission is Admission.FIRST_START:
                waits = state.clock.now() < majority_suffices_at
                await _decide_first_start(state, replies, waits_for_all=waits)
            else:
                await _decide_admission(state, replies)
        await state.clock.sleep(state.options.heartbeat_s)


async def update_admission(state: ReplicaState, *, caught_up: bool) -> None:
    """Admit this replica once a committed change allows it; the caller holds the lock.

    The change either contains this storage id or has just added this replica as a
    non-voting member. No vote or acknowledgement of a member that was just added
    has ever counted, so it cannot have lost any. It may therefore count towards
    the change that makes it a voting member; otherwise four voters of which one is
    lost could not commit that change.

    Args:
        state: State of the follower.
        caught_up: Whether its log contains everything that the leader knows to be
            committed. If not, the change that added it may be an older one.
    """
    vote = state.storage.vote
    if vote.admission not in (Admission.AWAITING, Admission.FIRST_START):
        return
    names_this_disk = any(
        member.node_id == state.node_id and _is_admitted(member, vote.storage_id)
        for member in state.member_log.at(state.applied_index)
    )
    is_new = caught_up and any(
        member.node_id == state.node_id and not member.voting
        for member in state.member_log.at(state.applied_index)
    )
    if names_this_disk or is_new:
        logger.info("replica %s was admitted and may vote", state.node_id)
        await state.storage.save_vote(replace(vote, admission=Admission.ADMITTED))


def admit_if_caught_up(state: ReplicaState, peer: PeerState) -> None:
    """Make a peer a voting member once it has caught up.

    Args:
        state: State of the leader.
        peer: Peer whose reply was just handled.
    """
    member = peer.member
    if _is_admitted(member, peer.storage_id) or (peer.admitted and member.voting):
        return
    if peer.match_index < state.commit_index or not can_change_members(state):
        return
    admitted = replace(member, voting=True, storage_id=peer.storage_id)
    members = tuple(
        admitted if m.node_id == member.node_id else m for m in state.members
    )
    if not _can_commit(state, members):
        return
    logger.info(
        "appending the change that makes replica %s a voting member", member.node_id
    )
    append_members(state, members)


def _can_commit(state: ReplicaState, members: Sequence[Member]) -> bool:
    """Return whether the reachable admitted replicas are a majority of the members.

    A replica that lost its disk does not count towards its own admission. If that
    change were appended while too few others are reachable, no later entry could be
    committed either, not even the change that removes a lost replica.
    """
    now = state.clock.now()
    peers = [
        state.peers[member.node_id]
        for member in members
        if member.voting and member.node_id != state.node_id
    ]
    reachable = [
        peer
        for peer in peers
        if peer.admitted
        and now - peer.last_contact_at < state.options.election_timeout_s
    ]
    return 1 + len(reachable) >= quorum_size(members)


def can_change_members(state: ReplicaState) -> bool:
    """Return whether the leader may append a change of members.

    Notes:
        Only one change may be in progress, and an entry of the leader's own term
        must be committed first; otherwise two disjoint majorities could form.
    """
    own_term = state.commit_index >= state.term_start_index
    return own_term and state.member_log.index <= state.commit_index


def changed_members(
    members: Sequence[Member], *, add: Member | None, remove: str | None
) -> tuple[Member, ...]:
    """Return the members after one change.

    Args:
        members: Members before the change.
        add: Member to add; it has no vote until it is admitted.
        remove: Node id of the member to remove.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` for an invalid change.
    """
    if (add is None) == (remove is None):
        _reject("a change must either add or remove exactly one member")
    known = {member.node_id for member in members}
    if add is not None:
        if add.node_id in known:
            _reject(f"{add.node_id} is already a member")
        changed = (*members, Member(add.node_id, add.address, voting=False))
    else:
        if remove not in known or len(members) == 1:
            _reject(f"{remove} cannot be removed from {sorted(known)}")
        changed = tuple(member for member in members if member.node_id != remove)
    _check_admissible(changed)
    return changed


def _check_admissible(members: Sequence[Member]) -> None:
    # With two voters each commit needs both, but the second voter does not count
    # towards the commit of its own admission.
    voting = [member.node_id for member in members if member.voting]
    waiting = [member.node_id for member in members if not member.voting]
    if len(voting) == 1 and waiting:
        _reject(
            f"the single voter {voting[0]} cannot admit {', '.join(waiting)}; start"
            " with three voters, or remove the non-voting member first"
        )


def _reject(message: str) -> NoReturn:
    raise WigeonscaleError(ErrorKind.BAD_REQUEST, message)


def append_members(state: ReplicaState, members: tuple[Member, ...]) -> int:
    """Append a change of members and return its index."""
    data = wire.VoterSet(voters=members_to_wire(members)).SerializeToString()
    return append_as_leader(state, EntryKind.MEMBERS, data)


def _is_admitted(member: Member, storage_id: str) -> bool:
    return member.voting and member.storage_id == storage_id


async def _query_log_history(
    state: ReplicaState, peer: PeerState
) -> wire.VoteReply | None:
    req = wire.VoteRequest(node_id=state.node_id, pre_vote=True)
    try:
        return await with_timeout(
            state.clock, state.append_timeout_s, peer.client.vote(req)
        )
    except (TimeoutError, ConnectionError):
        await peer.client.reset()
        return None


async def _decide_admission(
    state: ReplicaState, replies: Sequence[wire.VoteReply | None]
) -> None:
    vote = state.storage.vote
    if vote.admission is not Admission.NEW:
        return
    is_voter = any(member.node_id == state.node_id for member in state.members)
    had_log = any(reply is not None and reply.had_log for reply in replies)
    if had_log or not is_voter or not state.allow_bootstrap:
        await _await_admission(state)
        return
    if any(reply is None for reply in replies):
        return
    # If this replica voted before it lost its disk, a peer knows that term.
    highest = max((reply.term for reply in replies), default=0)
    logger.info("replica %s bootstraps a new cluster", state.node_id)
    await state.storage.save_vote(
        VoteState(
            term=highest + 1 if highest else 0,
            storage_id=vote.storage_id,
            admission=Admission.ADMITTED,
        )
    )


async def _decide_first_start(
    state: ReplicaState,
    replies: Sequence[wire.VoteReply | None],
    *,
    waits_for_all: bool,
) -> None:
    """Admit a replica of the first start once enough initial members replied.

    Logs with changes show that a majority has started before. Its leader admits this
    replica, which also serves one whose settings wrongly state the first start. Only if
    there is no leader although all initial members reply, the others are no majority.

    Args:
        state: State of the replica.
        replies: Reply of each other initial member; None for no reply.
        waits_for_all: Whether a majority of the initial members does not suffice yet.
    """
    if all(member.node_id != state.node_id for member in state.members):
        await _await_admission(state)
        return
    received = [reply for reply in replies if reply is not None]
    is_complete = len(received) == len(replies)
    has_changes = state.storage.has_changes or any(
        reply.has_changes for reply in received
    )
    if has_changes:
        is_leaderless = not waits_for_all and not state.has_recent_leader_contact
        if not is_complete or not is_leaderless:
            return
    elif not is_complete:
        if waits_for_all or 1 + len(received) < quorum_size(state.members):
            return
    logger.info(
        "replica %s bootstraps a new cluster, %d of %d other members replied",
        state.node_id,
        len(received),
        len(replies),
    )
    # The term is kept: this folder has never voted.
    vote = replace(state.storage.vote, admission=Admission.ADMITTED)
    await state.storage.save_vote(vote)


async def _await_admission(state: ReplicaState) -> None:
    logger.warning(
        "replica %s has an empty data folder and may not vote until admitted",
        state.node_id,
    )
    vote = replace(state.storage.vote, admission=Admission.AWAITING)
    await state.storage.save_vote(vote)
