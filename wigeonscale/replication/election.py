"""Election: timeouts, pre-vote, votes and the leader's lease."""

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
from wigeonscale.replication.commit import advance_round, append_as_leader
from wigeonscale.replication.files import Admission
from wigeonscale.replication.model import EntryKind, Role
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.voters import quorum_size
from wigeonscale.replication.waiting import run_to_end, within
from wigeonscale.wire import wire_pb2 as wire

JITTER = 0.5  # share of the election timeout added at random
MAX_TERM = 1 << 53
RETRY_SHARE = 0.25  # of the election timeout, between two tries without a winner

logger = logging.getLogger(__name__)


async def run_elections(core: ReplicaState) -> None:
    """Campaign when no leader is heard; step down when no majority is."""
    timeout = _draw(core, core.options.election_timeout_s)
    while True:
        if core.leading:
            await _check_lease(core)
            await core.clock.sleep(core.options.heartbeat_s)
            continue
        left = core.timer_from + timeout - core.clock.now()
        if left > 0 or not core.may_campaign:
            await core.clock.sleep(max(left, core.options.heartbeat_s))
            continue
        await _campaign(core)
        core.timer_from = core.clock.now()
        retry_s = core.options.election_timeout_s * RETRY_SHARE
        timeout = _draw(core, core.options.election_timeout_s)
        if not core.leading and not core.heard_leader_lately:
            timeout = _draw(core, retry_s)


async def adopt_term(core: ReplicaState, term: int) -> None:
    """Follow a higher term; the caller holds the lock."""
    if term <= core.term:
        return
    step_down(core, f"term {term} began")
    await core.storage.save_vote(replace(core.storage.vote, term=term, voted_for=""))


async def adopt_term_of_reply(core: ReplicaState, term: int) -> None:
    """Follow the term of a peer's reply when it is higher.

    Notes:
        Goes on when the caller is cancelled: the lock must be held until the term
        is durable, or another task would begin from the term before.
    """
    if core.term < term <= MAX_TERM:
        await run_to_end(core.running, _adopt_with_lock(core, term))


async def _adopt_with_lock(core: ReplicaState, term: int) -> None:
    async with core.lock:
        await adopt_term(core, term)


def check_term(term: int) -> None:
    """Refuse a term that no replica reaches.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``.
    """
    if not 0 <= term <= MAX_TERM:
        raise WigeonscaleError(
            ErrorKind.BAD_REQUEST, f"term {term} is not within 0..{MAX_TERM}"
        )


def step_down(core: ReplicaState, reason: str) -> None:
    """Stop leading or campaigning, at once."""
    if core.role is Role.FOLLOWER:
        return
    logger.info("replica %s steps down: %s", core.node_id, reason)
    core.role = Role.FOLLOWER
    core.leader_id = ""
    core.leader_address = ""
    core.timer_from = core.clock.now()
    core.proposals.fail_all(f"replica {core.node_id} stopped leading: {reason}")
    core.progress.set()


async def handle_vote(core: ReplicaState, req: wire.VoteRequest) -> wire.VoteReply:
    """Answer a candidate, or a replica that asks whether the log ever began."""
    check_term(req.term)
    async with core.lock:
        if req.node_id in core.peers:
            core.peers[req.node_id].heard_at = core.clock.now()
        granted = await _grant(core, req)
        return wire.VoteReply(
            node_id=core.node_id,
            term=core.term,
            granted=granted,
            had_log=_had_log(core),
        )


async def _grant(core: ReplicaState, req: wire.VoteRequest) -> bool:
    if not core.may_vote:
        return False
    # A leader in reach is not unseated, neither by a returning replica nor by one
    # that was removed, unless it asked for that itself.
    if core.heard_leader_lately and not req.transfer:
        return False
    if req.pre_vote:
        return req.term > core.term and _is_up_to_date(core, req)
    await adopt_term(core, req.term)
    vote = core.storage.vote
    if req.term < vote.term or not _is_up_to_date(core, req):
        return False
    if vote.voted_for not in ("", req.node_id):
        return False
    if vote.voted_for == "":
        await core.storage.save_vote(replace(vote, voted_for=req.node_id))
    core.timer_from = core.clock.now()
    return True


def _is_up_to_date(core: ReplicaState, req: wire.VoteRequest) -> bool:
    storage = core.storage
    theirs = (req.last_term, req.last_index)
    return theirs >= (storage.last_term, storage.last_index)


def _had_log(core: ReplicaState) -> bool:
    awaiting = core.storage.vote.admission is Admission.AWAITING
    return awaiting or core.storage.last_index > 0


async def _check_lease(core: ReplicaState) -> None:
    advance_round(core)
    silence = core.clock.now() - core.majority_at
    if silence > core.options.election_timeout_s:
        step_down(core, f"no majority answered for {silence:.3f} s")


async def _campaign(core: ReplicaState) -> None:
    timer_from = core.timer_from
    term = core.term + 1
    core.leader_id = ""
    core.leader_address = ""
    if not await _gather_votes(core, _vote_request(core, term, pre_vote=True)):
        return
    async with core.lock:
        # A leader was heard, or a vote given, since this began; or it stops.
        began_anew = core.timer_from != timer_from or core.term + 1 != term
        if began_anew or not core.may_campaign:
            return
        await begin_candidacy(core)
    await run_candidacy(core, term)


async def begin_candidacy(core: ReplicaState) -> None:
    """Begin the next term with the own vote; holds the lock."""
    core.role = Role.CANDIDATE
    vote = core.storage.vote
    await core.storage.save_vote(
        replace(vote, term=vote.term + 1, voted_for=core.node_id)
    )


async def run_candidacy(
    core: ReplicaState, term: int, *, transfer: bool = False
) -> bool:
    """Ask for votes and lead if a majority grants its own.

    Args:
        core: State of the candidate.
        term: Term that its candidacy began.
        transfer: Whether the leader of the term before asked for it.

    Returns:
        Whether this replica leads the term.
    """
    asked_at = core.clock.now()
    req = _vote_request(core, term, transfer=transfer)
    won = await _gather_votes(core, req)
    async with core.lock:
        if core.role is not Role.CANDIDATE or core.term != term:
            return False
        core.role = Role.FOLLOWER
        if won:
            _begin_leading(core, asked_at)
        core.progress.set()
    return won


def _begin_leading(core: ReplicaState, asked_at: float) -> None:
    logger.info("replica %s leads term %d", core.node_id, core.term)
    core.role = Role.LEADER
    core.leader_id = core.node_id
    core.leader_address = core.address
    core.majority_at = asked_at
    for peer in core.peers.values():
        peer.begin_term(last_index=core.storage.last_index)
    core.term_start_index = core.storage.last_index + 1
    append_as_leader(core, EntryKind.NO_OP, b"")


def _vote_request(
    core: ReplicaState, term: int, *, pre_vote: bool = False, transfer: bool = False
) -> wire.VoteRequest:
    return wire.VoteRequest(
        node_id=core.node_id,
        term=term,
        last_index=core.storage.last_index,
        last_term=core.storage.last_term,
        pre_vote=pre_vote,
        transfer=transfer,
    )


async def _gather_votes(core: ReplicaState, req: wire.VoteRequest) -> bool:
    """Return whether a majority, this replica included, grants its vote."""
    members = core.members
    if all(m.node_id != core.node_id or not m.voting for m in members):
        return False
    missing = quorum_size(members) - 1
    voters = [peer for peer in core.peers.values() if peer.member.voting]
    tasks = {asyncio.create_task(_ask(core, peer, req)) for peer in voters}
    pending = tasks
    try:
        while 0 < missing <= len(pending):
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            missing -= sum(task.result() for task in done)
    finally:
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    return missing <= 0


async def _ask(core: ReplicaState, peer: PeerState, req: wire.VoteRequest) -> bool:
    try:
        reply = await within(core.clock, core.append_timeout_s, peer.client.vote(req))
    except (TimeoutError, ConnectionError):
        await peer.client.reset()
        return False
    peer.heard_at = core.clock.now()
    await adopt_term_of_reply(core, reply.term)
    return reply.granted and (req.pre_vote or reply.term == req.term)


def _draw(core: ReplicaState, seconds: float) -> float:
    return seconds * (1 + JITTER * core.rng.random())
