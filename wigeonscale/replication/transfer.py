"""Transfer of leadership when the leader stops as planned.

The leader takes no more proposals, waits until those in flight are committed and
answered, and asks a voter that holds its whole log to campaign at once. The voter
needs no pre-vote and the others vote although they still hear the leader, because
the leader itself asked. After section 3.10 of the Raft dissertation (Ongaro, 2014).
"""

__all__ = ["handle_campaign", "transfer_leadership"]

import logging
from collections.abc import Callable

from wigeonscale.replication.election import (
    begin_candidacy,
    run_candidacy,
    step_down,
)
from wigeonscale.replication.model import Role
from wigeonscale.replication.state import PeerState, ReplicaState
from wigeonscale.replication.waiting import with_timeout
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


async def transfer_leadership(state: ReplicaState) -> bool:
    """Give up leading for good, to another voter where one can take over.

    Takes at most an election timeout; then this replica just steps down, and the
    others elect a leader once they miss it.

    Returns:
        Whether another voter leads.
    """
    state.stopping = True
    limit_s = state.options.election_timeout_s
    try:
        transferred = await with_timeout(
            state.clock, limit_s, _transfer_to_any_peer(state)
        )
    except TimeoutError:
        transferred = False
    if state.leading and not transferred:
        logger.warning("replica %s found no successor", state.node_id)
    step_down(state, "it stops")
    return transferred


async def handle_campaign(
    state: ReplicaState, req: wire.CampaignRequest
) -> wire.CampaignReply:
    """Campaign at once, as the leader asks, and answer whether it was won."""
    won = False
    async with state.lock:
        accepted = _can_take_over(state, req)
        if accepted:
            await begin_candidacy(state)
    if accepted:
        won = await run_candidacy(state, req.term + 1, transfer=True)
    return wire.CampaignReply(node_id=state.node_id, term=state.term, won=won)


def _can_take_over(state: ReplicaState, req: wire.CampaignRequest) -> bool:
    position = (state.storage.last_term, state.storage.last_index)
    return (
        state.may_campaign
        and (state.term, state.leader_id) == (req.term, req.leader_id)
        and position >= (req.last_term, req.last_index)
    )


async def _transfer_to_any_peer(state: ReplicaState) -> bool:
    await _wait_until(state, lambda: state.role is not Role.CANDIDATE)
    if not state.leading:
        return False
    await _wait_until(state, lambda: not state.leading or _all_applied(state))
    for peer in _peers_by_progress(state):
        await _wait_until(
            state, lambda peer=peer: not state.leading or _is_caught_up(state, peer)
        )
        if not state.leading:
            return False
        if await _ask_to_campaign(state, peer):
            logger.info(
                "replica %s handed over to %s", state.node_id, peer.member.node_id
            )
            return True
    return False


async def _wait_until(state: ReplicaState, condition: Callable[[], bool]) -> None:
    while not condition():
        state.progress.clear()
        await state.progress.wait()


def _all_applied(state: ReplicaState) -> bool:
    return state.applied_index == state.storage.last_index


def _is_caught_up(state: ReplicaState, peer: PeerState) -> bool:
    return peer.match_index == state.storage.last_index


def _peers_by_progress(state: ReplicaState) -> list[PeerState]:
    """Return the peers, the most caught-up one first; one without a vote declines."""

    def progress(peer: PeerState) -> tuple[int, float]:
        return peer.match_index, peer.acked_at

    return sorted(state.peers.values(), key=progress, reverse=True)


async def _ask_to_campaign(state: ReplicaState, peer: PeerState) -> bool:
    req = wire.CampaignRequest(
        leader_id=state.node_id,
        term=state.term,
        last_index=state.storage.last_index,
        last_term=state.storage.last_term,
    )
    call = peer.client.campaign(req)
    try:
        reply = await with_timeout(state.clock, state.append_timeout_s, call)
    except (TimeoutError, ConnectionError) as exc:
        logger.info("%s does not campaign: %s", peer.member.node_id, exc)
        return False
    return reply.won
