"""Who may vote: first start, lost disks and new members.

A replica with an empty folder cannot know whether it starts for the first time or
lost its disk. It asks all other voters: only when each of them answers and none
ever had a log does the cluster start for the first time. All, not a majority: two
replicas that lost their disks while the third is out of reach must not begin an
empty log over an accepted configuration.

A replica that lost its disk, or found it broken, has a new storage id and no vote
until the leader, once it has caught up, commits a change of members that names
that storage id. Neither does it count for that commit.
"""

__all__ = [
    "admit_if_caught_up",
    "append_members",
    "changed_members",
    "can_change_members",
    "update_admission",
    "run_bootstrap",
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

logger = logging.getLogger(__name__)


async def run_bootstrap(state: ReplicaState) -> None:
    """Find out whether an empty folder is a first start or a lost disk."""
    while state.storage.vote.admission is Admission.NEW:
        replies = await asyncio.gather(
            *(_query_log_history(state, peer) for peer in state.peers.values())
        )
        async with state.lock:
            await _decide_admission(state, replies)
        await state.clock.sleep(state.options.heartbeat_s)


async def update_admission(state: ReplicaState, *, caught_up: bool) -> None:
    """Vote once a committed change says so; holds the lock.

    Either it names this disk, or it just added this replica, without a vote. One
    that was just added never acknowledged or voted anything that counts, so there is
    nothing that it could have forgotten; it counts for its own vote then, which four
    voters with one gone could not commit otherwise.

    Args:
        state: State of the follower.
        caught_up: Whether its log has all that the leader knows to be committed: an
            older change may have added it too.
    """
    vote = state.storage.vote
    if vote.admission is not Admission.AWAITING:
        return
    names_disk = any(
        member.node_id == state.node_id and _is_admitted(member, vote.storage_id)
        for member in state.member_log.at(state.applied_index)
    )
    is_new = caught_up and any(
        member.node_id == state.node_id and not member.voting
        for member in state.member_log.at(state.applied_index)
    )
    if names_disk or is_new:
        logger.info("replica %s is admitted and may vote", state.node_id)
        await state.storage.save_vote(replace(vote, admission=Admission.ADMITTED))


def admit_if_caught_up(state: ReplicaState, peer: PeerState) -> None:
    """Append the change that gives a peer its vote, once it has caught up.

    Args:
        state: State of the leader.
        peer: Peer that just replied.
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
    logger.info("replica %s is to be admitted", member.node_id)
    append_members(state, members)


def _can_commit(state: ReplicaState, members: Sequence[Member]) -> bool:
    """Return whether those that are heard and count make a majority of members.

    A replica whose disk was lost does not count for its own admission. Were that
    change appended with too few others in reach, nothing after it would be committed
    either, not even the change that takes out one that is gone.
    """
    now = state.clock.now()
    peers = [
        state.peers[member.node_id]
        for member in members
        if member.voting and member.node_id != state.node_id
    ]
    heard = [
        peer
        for peer in peers
        if peer.admitted and now - peer.heard_at < state.options.election_timeout_s
    ]
    return 1 + len(heard) >= quorum_size(members)


def can_change_members(state: ReplicaState) -> bool:
    """Return whether a leader may begin a change of members.

    Notes:
        One change at a time, and only after an entry of the leader's own term is
        committed; otherwise two disjoint majorities could form.
    """
    own_term = state.commit_index >= state.term_start_index
    return own_term and state.member_log.index <= state.commit_index


def changed_members(
    members: Sequence[Member], *, add: Member | None, remove: str | None
) -> tuple[Member, ...]:
    """Return the members after one change.

    Args:
        members: Members before it.
        add: Member to add; it has no vote until it is admitted.
        remove: Node id of the member to remove.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` for a change that cannot be made.
    """
    if (add is None) == (remove is None):
        _reject("a change adds one member or removes one")
    known = {member.node_id for member in members}
    if add is not None:
        if add.node_id in known:
            _reject(f"{add.node_id} is a member already")
        changed = (*members, Member(add.node_id, add.address, voting=False))
    else:
        if remove not in known or len(members) == 1:
            _reject(f"{remove} cannot be removed from {sorted(known)}")
        changed = tuple(member for member in members if member.node_id != remove)
    _check_admissible(changed)
    return changed


def _check_admissible(members: Sequence[Member]) -> None:
    # The second voter of two is needed for each commit, that of its own admission
    # too, for which it does not count.
    voting = [member.node_id for member in members if member.voting]
    waiting = [member.node_id for member in members if not member.voting]
    if len(voting) == 1 and waiting:
        _reject(
            f"the single voter {voting[0]} cannot admit {', '.join(waiting)}; begin"
            " with three voters, or remove the waiting member first"
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
        logger.warning("replica %s has an empty disk and no vote", state.node_id)
        await state.storage.save_vote(replace(vote, admission=Admission.AWAITING))
        return
    if any(reply is None for reply in replies):
        return
    # Had this replica voted before it lost its disk, that term is among these.
    highest = max((reply.term for reply in replies), default=0)
    logger.info("replica %s starts for the first time", state.node_id)
    await state.storage.save_vote(
        VoteState(
            term=highest + 1 if highest else 0,
            storage_id=vote.storage_id,
            admission=Admission.ADMITTED,
        )
    )
