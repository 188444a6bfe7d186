"""Dynamic membership of control replicas, without listing them in the settings.

A replica that is not a member, or that receives no messages from a leader, asks the
others to join. The leader adds it by a committed membership change. The leader removes
a member that has been silent for a long time only if another member or candidate takes
its place, so that a short network partition of one of three replicas changes nothing.
"""

__all__ = ["ReplicaMembership", "member_to_remove"]

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel
from wigeonscale.control.commands import Commands
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Member, Replica, Role
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

CHECK_INTERVAL_S = 0.5
# Elections take much less time. A replica without a message from a leader for this long
# is disconnected or has been removed.
NO_LEADER_TIMEOUT_S = 3.0
# Time without a message after which a member may be replaced. A restart takes one or
# two seconds.
REPLACE_AFTER_S = 3.0
# A smaller group cannot tolerate the loss of a member.
MIN_MEMBERS = 3
# A single voter could not admit anyone; see ``replication/admission.py``.
MIN_RESPONSIVE_VOTERS = 2
CALL_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


def member_to_remove(
    members: Sequence[Member],
    silence_s: Mapping[str, float],
    *,
    has_candidate: bool,
) -> str | None:
    """Return the member that the leader should remove now, or None.

    Args:
        members: All members.
        silence_s: Time since the last message of each other member, in seconds, by
            node id.
        has_candidate: Whether another replica has asked to be added.

    Returns:
        Node id of the member that has been silent longest, provided that it has been
        silent for ``REPLACE_AFTER_S``, that enough members remain, and that the
        responsive members form a majority of those that remain.

    Example:
        >>> trio = [Member(name, "") for name in "abc"]
        >>> member_to_remove(trio, {"b": 0.1, "c": 9.0}, has_candidate=True)
        'c'
        >>> member_to_remove(trio, {"b": 0.1, "c": 9.0}, has_candidate=False)
    """
    silent = {
        member.node_id: silence_s[member.node_id]
        for member in members
        if silence_s.get(member.node_id, 0.0) > REPLACE_AFTER_S
    }
    if not silent or len(members) - (not has_candidate) < MIN_MEMBERS:
        return None
    responsive = sum(m.voting for m in members if m.node_id not in silent)
    remaining = sum(m.voting for m in members) - 1
    if responsive <= remaining // 2 or responsive < MIN_RESPONSIVE_VOTERS:
        return None
    return max(silent, key=silent.get)


class ReplicaMembership:
    """Joins this replica to the group and, as leader, adds and removes members.

    Args:
        node_id: Node id of this replica.
        address: ip:port of this replica's gRPC server.
        seeds: gRPC addresses of replicas given in the settings.
        replica: Local replica of the log.
        commands: Submits commands to the replicated log; gets the members' addresses.
        clock: Time source.
        tls: Files for mutual TLS, or None for plain TCP.
        dial: Sends a join request to an address; None for gRPC.
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        seeds: Sequence[str],
        replica: Replica,
        commands: Commands,
        clock: Clock,
        tls: TlsFiles | None = None,
        dial: Callable | None = None,
    ):
        self._join_request = wire.JoinRequest(node_id=node_id, address=address)
        self._seeds = tuple(seeds)
        self._replica = replica
        self._commands = commands
        self._clock = clock
        self._tls = tls
        self._dial = dial or self._send_join
        self._reported_addresses: tuple[str, ...] = ()
        self._tracked_since: dict[str, float] = {}
        self._change_lock = asyncio.Lock()
        self._guard = StepGuard(task="replica membership", clock=clock)

    async def run(self) -> None:
        """Join the group and maintain its members until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            with self._guard.step():
                await self._maintain()

    async def _maintain(self) -> None:
        self._commands.set_addresses(self._addresses())
        if self._replica.role is Role.LEADER:
            await self._review_members()
            return
        self._tracked_since.clear()
        if self._has_no_leader():
            await self._ask_to_join()

    def follow_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds.

        Args:
            seeds: gRPC addresses of replicas given in the settings.
        """
        self._seeds = tuple(seeds)

    async def answer(self, req: wire.JoinRequest) -> wire.JoinReply:
        """Handle the request of a replica to become a member.

        Args:
            req: Request with the node id and address of the replica.

        Returns:
            Whether the replica is a member now, the leader, and all members.
        """
        members = self._replica.members()
        reply = wire.JoinReply(
            leader=self._replica.leader_address,
            control=[member.address for member in members],
        )
        if self._replica.role is not Role.LEADER:
            return reply
        reply.taken = any(m.node_id == req.node_id for m in members)
        if not reply.taken and not self._change_lock.locked():
            async with self._change_lock:
                reply.taken = await self._admit(req)
        return reply

    def _addresses(self) -> list[str]:
        known = [member.address for member in self._replica.members()]
        return list(dict.fromkeys([*known, *self._reported_addresses, *self._seeds]))

    def _has_no_leader(self) -> bool:
        return self._replica.seconds_since_leader_contact() > NO_LEADER_TIMEOUT_S

    async def _ask_to_join(self) -> None:
        for address in self._addresses():
            if address == self._join_request.address:
                continue
            reply = await self._dial(address, self._join_request)
            if reply is None:
                continue
            self._reported_addresses = tuple(reply.control) or self._reported_addresses
            if not reply.taken and reply.leader not in ("", address):
                reply = await self._dial(reply.leader, self._join_request)
            if reply is not None and reply.taken:
                logger.info(
                    "replica %s was admitted through %s",
                    self._join_request.node_id,
                    address,
                )
                return

    async def _send_join(
        self, address: str, req: wire.JoinRequest
    ) -> wire.JoinReply | None:
        try:
            async with open_channel(address, tls=self._tls) as channel:
                stub = wire_pb2_grpc.ControlStub(channel)
                return await stub.Join(req, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            logger.info("join request to replica %s failed: %s", address, exc.code())
            return None

    async def _review_members(self) -> None:
        if self._change_lock.locked():
            return
        async with self._change_lock:
            await self._remove_silent(has_candidate=False)

    async def _admit(self, req: wire.JoinRequest) -> bool:
        await self._remove_silent(has_candidate=True)
        return await self._change_members(add=Member(req.node_id, req.address))

    async def _remove_silent(self, *, has_candidate: bool) -> None:
        members = self._replica.members()
        silence_s = self._peer_silence_s(members)
        name = member_to_remove(members, silence_s, has_candidate=has_candidate)
        if name is not None:
            logger.warning(
                "removing replica %s after %.1f s of silence", name, silence_s[name]
            )
            await self._change_members(remove=name)

    def _peer_silence_s(self, members: Sequence[Member]) -> dict[str, float]:
        """Return how long each other member has been silent towards this leader."""
        now = self._clock.now()
        others = [m.node_id for m in members if m.node_id != self._join_request.node_id]
        # A member that this leader has tracked only briefly may be about to answer.
        self._tracked_since = {
            name: self._tracked_since.get(name, now) for name in others
        }
        return {
            name: min(
                self._replica.seconds_since_peer_contact(name),
                now - self._tracked_since[name],
            )
            for name in others
        }

    async def _change_members(self, **change: object) -> bool:
        try:
            await self._replica.change_members(**change)
        except WigeonscaleError as exc:
            logger.info("membership change failed: %s", exc.message)
            return False
        return True
