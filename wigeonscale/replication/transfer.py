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
from wigeonscale.replication.waiting import within
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


async def transfer_leadership(core: ReplicaState) -> bool:
    """Give up leading for good, to another voter where one can take over.

    Takes at most an election timeout; then this replica just steps down, and the
    others elect a leader once they miss it.

    Returns:
        Whether another voter leads.
    """
    core.leaving = True
    limit_s = core.options.election_timeout_s
    try:
        handed_over = await within(core.clock, limit_s, _try_voters(core))
    except TimeoutError:
        handed_over = False
    if core.leading and not handed_over:
        logger.warning("replica %s found no successor", core.node_id)
    step_down(core, "it stops")
    return handed_over


async def handle_campaign(
    core: ReplicaState, req: wire.CampaignRequest
) -> wire.CampaignReply:
    """Campaign at once, as the leader asks, and answer whether it was won."""
    won = False
    async with core.lock:
        willing = _can_succeed(core, req)
        if willing:
            await begin_candidacy(core)
    if willing:
        won = await run_candidacy(core, req.term + 1, transfer=True)
    return wire.CampaignReply(node_id=core.node_id, term=core.term, won=won)


def _can_succeed(core: ReplicaState, req: wire.CampaignRequest) -> bool:
    position = (core.storage.last_term, core.storage.last_index)
    return (
        core.may_campaign
        and (core.term, core.leader_id) == (req.term, req.leader_id)
        and position >= (req.last_term, req.last_index)
    )


async def _try_voters(core: ReplicaState) -> bool:
    await _until(core, lambda: core.role is not Role.CANDIDATE)
    if not core.leading:
        return False
    await _until(core, lambda: not core.leading or _all_answered(core))
    for peer in _by_progress(core):
        await _until(core, lambda peer=peer: not core.leading or _is_level(core, peer))
        if not core.leading:
            return False
        if await _ask_to_campaign(core, peer):
            logger.info(
                "replica %s handed over to %s", core.node_id, peer.member.node_id
            )
            return True
    return False


async def _until(core: ReplicaState, condition: Callable[[], bool]) -> None:
    while not condition():
        core.progress.clear()
        await core.progress.wait()


def _all_answered(core: ReplicaState) -> bool:
    return core.applied_index == core.storage.last_index


def _is_level(core: ReplicaState, peer: PeerState) -> bool:
    return peer.match_index == core.storage.last_index


def _by_progress(core: ReplicaState) -> list[PeerState]:
    """Return the peers, the most caught-up one first; one without a vote declines."""

    def progress(peer: PeerState) -> tuple[int, float]:
        return peer.match_index, peer.acked_at

    return sorted(core.peers.values(), key=progress, reverse=True)


async def _ask_to_campaign(core: ReplicaState, peer: PeerState) -> bool:
    req = wire.CampaignRequest(
        leader_id=core.node_id,
        term=core.term,
        last_index=core.storage.last_index,
        last_term=core.storage.last_term,
    )
    call = peer.client.campaign(req)
    try:
        reply = await within(core.clock, core.append_timeout_s, call)
    except (TimeoutError, ConnectionError) as exc:
        logger.info("%s does not campaign: %s", peer.member.node_id, exc)
        return False
    return reply.won
