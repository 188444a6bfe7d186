"""Leader election: timeouts, pre-vote, votes and the leader's lease."""

__all__ = [
    "adopt_term",
    "adopt_term_of_reply",
    "begin_candidacy",
    "check_term",
    "handle_vote",
    "run_candidacy",
    "run_elections",
    "step_down",
]

import asyncio
import logging
from dataclasses import replace

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.commit import append_as_leader, update_lease
from wigeonscale.replication.files import Admission
from wigeonscale.replication.model import EntryKind, Role
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.voters import quorum_size
from wigeonscale.replication.waiting import run_shielded, with_timeout
from wigeonscale.wire import wire_pb2 as wire

JITTER_SHARE = 0.5  # maximum random extension of a timeout, as a share of it
MAX_TERM = 1 << 53
# Timeout after an election without a winner, as a share of the election timeout.
RETRY_TIMEOUT_SHARE = 0.25

logger = logging.getLogger(__name__)


async def run_elections(state: ReplicaState) -> None:
    """Start elections on election timeouts; step down when the lease expires."""
    timeout = _add_jitter(state, state.options.election_timeout_s)
    while True:
        if state.leading:
            await _check_lease(state)
            await state.clock.sleep(state.options.heartbeat_s)
            continue
        remaining_s = state.election_timer_start + timeout - state.clock.now()
        if remaining_s > 0 or not state.may_campaign:
            await state.clock.sleep(max(remaining_s, state.options.heartbeat_s))
            continue
        await _campaign(state)
        state.election_timer_start = state.clock.now()
        retry_s = state.options.election_timeout_s * RETRY_TIMEOUT_SHARE
        timeout = _add_jitter(state, state.options.election_timeout_s)
        if not state.leading and not state.has_recent_leader_contact:
            timeout = _add_jitter(state, retry_s)


async def adopt_term(state: ReplicaState, term: int) -> None:
    """Adopt a higher term; the caller holds the lock."""
    if term <= state.term:
        return
    step_down(state, f"newer term {term} started")
    await state.storage.save_vote(replace(state.storage.vote, term=term, voted_for=""))


async def adopt_term_of_reply(state: ReplicaState, term: int) -> None:
    """Adopt the term of a peer's reply if it is higher.

    Notes:
        Continues when the caller is cancelled. The lock must be held until the term
        is durable; otherwise another task would start from the previous term.
    """
    if state.term < term <= MAX_TERM:
        await run_shielded(state.shielded_tasks, _lock_and_adopt_term(state, term))


async def _lock_and_adopt_term(state: ReplicaState, term: int) -> None:
    async with state.lock:
        await adopt_term(state, term)


def check_term(term: int) -> None:
    """Reject a term that is out of range.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``.
    """
    if not 0 <= term <= MAX_TERM:
        raise WigeonscaleError(
            ErrorKind.BAD_REQUEST, f"term {term} is out of range 0..{MAX_TERM}"
        )


def step_down(state: ReplicaState, reason: str) -> None:
    """Become a follower immediately and fail the pending proposals."""
    if state.role is Role.FOLLOWER:
        return
    logger.info("replica %s steps down: %s", state.node_id, reason)
    state.role = Role.FOLLOWER
    state.leader_id = ""
    state.leader_address = ""
    state.election_timer_start = state.clock.now()
    state.proposals.fail_all(f"replica {state.node_id} stepped down: {reason}")
    state.progress.set()


async def handle_vote(state: ReplicaState, req: wire.VoteRequest) -> wire.VoteReply:
    """Answer a candidate, or a new replica that asks whether a log exists."""
    check_term(req.term)
    async with state.lock:
        if req.node_id in state.peers:
            state.peers[req.node_id].last_contact_at = state.clock.now()
        granted = await _decide_vote(state, req)
        return wire.VoteReply(
            node_id=state.node_id,
            term=state.term,
            granted=granted,
            had_log=_had_log(state),
            has_changes=state.storage.has_changes,
        )


async def _decide_vote(state: ReplicaState, req: wire.VoteRequest) -> bool:
    if not state.may_vote:
        return False
    # A returning or removed replica must not depose a leader that still sends messages.
    # A leadership transfer, which the leader itself requested, is exempt.
    if state.has_recent_leader_contact and not req.transfer:
        return False
    if req.pre_vote:
        return req.term > state.term and _is_up_to_date(state, req)
    await adopt_term(state, req.term)
    vote = state.storage.vote
    if req.term < vote.term or not _is_up_to_date(state, req):
        return False
    if vote.voted_for not in ("", req.node_id):
        return False
    if vote.voted_for == "":
        await state.storage.save_vote(replace(vote, voted_for=req.node_id))
    state.election_timer_start = state.clock.now()
    return True


def _is_up_to_date(state: ReplicaState, req: wire.VoteRequest) -> bool:
    storage = state.storage
    candidate_position = (req.last_term, req.last_index)
    return candidate_position >= (storage.last_term, storage.last_index)


def _had_log(state: ReplicaState) -> bool:
    awaiting = state.storage.vote.admission is Admission.AWAITING
    return awaiting or state.storage.last_index > 0


async def _check_lease(state: ReplicaState) -> None:
    update_lease(state)
    elapsed_s = state.clock.now() - state.majority_acked_at
    if elapsed_s > state.options.election_timeout_s:
        step_down(state, f"no reply from a majority for {elapsed_s:.3f} s")


async def _campaign(state: ReplicaState) -> None:
    election_timer_start = state.election_timer_start
    term = state.term + 1
    state.leader_id = ""
    state.leader_address = ""
    if not await _collect_votes(state, _vote_request(state, term, pre_vote=True)):
        return
    async with state.lock:
        # Do not become a candidate if a leader sent a message or a vote was granted
        # during the pre-vote, or if this replica is stopping.
        superseded = (
            state.election_timer_start != election_timer_start or state.term + 1 != term
        )
        if superseded or not state.may_campaign:
            return
        await begin_candidacy(state)
    await run_candidacy(state, term)


async def begin_candidacy(state: ReplicaState) -> None:
    """Start the next term and vote for this replica; the caller holds the lock."""
    state.role = Role.CANDIDATE
    vote = state.storage.vote
    await state.storage.save_vote(
        replace(vote, term=vote.term + 1, voted_for=state.node_id)
    )


async def run_candidacy(
    state: ReplicaState, term: int, *, transfer: bool = False
) -> bool:
    """Request votes and become the leader if a majority grants them.

    Args:
        state: State of the candidate.
        term: Term of the candidacy.
        transfer: Whether the leader of the previous term requested it.

    Returns:
        Whether this replica became the leader of the term.
    """
    requested_at = state.clock.now()
    req = _vote_request(state, term, transfer=transfer)
    won = await _collect_votes(state, req)
    async with state.lock:
        if state.role is not Role.CANDIDATE or state.term != term:
            return False
        state.role = Role.FOLLOWER
        if won:
            _become_leader(state, requested_at)
        state.progress.set()
    return won


def _become_leader(state: ReplicaState, requested_at: float) -> None:
    logger.info("replica %s became the leader of term %d", state.node_id, state.term)
    state.role = Role.LEADER
    state.leader_id = state.node_id
    state.leader_address = state.address
    state.majority_acked_at = requested_at
    for peer in state.peers.values():
        peer.reset_progress(last_index=state.storage.last_index)
    state.term_start_index = state.storage.last_index + 1
    append_as_leader(state, EntryKind.NO_OP, b"")


def _vote_request(
    state: ReplicaState, term: int, *, pre_vote: bool = False, transfer: bool = False
) -> wire.VoteRequest:
    return wire.VoteRequest(
        node_id=state.node_id,
        term=term,
        last_index=state.storage.last_index,
        last_term=state.storage.last_term,
        pre_vote=pre_vote,
        transfer=transfer,
    )


async def _collect_votes(state: ReplicaState, req: wire.VoteRequest) -> bool:
    """Return whether a majority, including this replica, grants its vote."""
    members = state.members
    if all(m.node_id != state.node_id or not m.voting for m in members):
        return False
    votes_needed = quorum_size(members) - 1
    voters = [peer for peer in state.peers.values() if peer.member.voting]
    tasks = {
        asyncio.create_task(_send_vote_request(state, peer, req)) for peer in voters
    }
    pending = tasks
    try:
        while 0 < votes_needed <= len(pending):
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            votes_needed -= sum(task.result() for task in done)
    finally:
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    return votes_needed <= 0


async def _send_vote_request(
    state: ReplicaState, peer: PeerState, req: wire.VoteRequest
) -> bool:
    try:
        reply = await with_timeout(
            state.clock, state.append_timeout_s, peer.client.vote(req)
        )
    except (TimeoutError, ConnectionError):
        await peer.client.reset()
        return False
    peer.last_contact_at = state.clock.now()
    await adopt_term_of_reply(state, reply.term)
    return reply.granted and (req.pre_vote or reply.term == req.term)


def _add_jitter(state: ReplicaState, seconds: float) -> float:
    return seconds * (1 + JITTER_SHARE * state.rng.random())
