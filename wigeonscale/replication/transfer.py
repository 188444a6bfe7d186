"""Leadership transfer before a planned stop of the leader.

The leader rejects new proposals, waits until those in flight are committed and
answered, and asks a voter that has its complete log to campaign immediately. The voter
skips the pre-vote, and the others grant their votes although they are still in contact
with the leader, because the vote request is marked as a transfer that the leader
requested. After section 3.10 of the Raft dissertation (Ongaro, 2014).
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
    """Transfer leadership to another voter, if one can take over, and step down.

    Takes at most one election timeout. If the transfer fails, this replica steps down
    anyway, and the others elect a leader after their election timeouts.

    Returns:
        Whether another voter has become the leader.
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
        logger.warning(
            "replica %s could not transfer leadership to another replica", state.node_id
        )
    step_down(state, "it is stopping")
    return transferred


async def handle_campaign(
    state: ReplicaState, req: wire.CampaignRequest
) -> wire.CampaignReply:
    """Campaign immediately at the leader's request and report whether it was won."""
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
        if await _send_campaign_request(state, peer):
            logger.info(
                "replica %s transferred leadership to %s",
                state.node_id,
                peer.member.node_id,
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
    """Return the peers, most caught-up first; those that may not vote will decline."""

    def progress(peer: PeerState) -> tuple[int, float]:
        return peer.match_index, peer.acked_at

    return sorted(state.peers.values(), key=progress, reverse=True)


async def _send_campaign_request(state: ReplicaState, peer: PeerState) -> bool:
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
        logger.info("request to %s to campaign failed: %s", peer.member.node_id, exc)
        return False
    return reply.won
