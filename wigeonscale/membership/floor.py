"""Queries a majority of control replicas for a lower bound on fencing tokens."""

__all__ = ["query_fencing_floor"]

import asyncio
import logging
import random
from collections.abc import Sequence

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel
from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.timeouts import with_timeout
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

QUERY_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


async def query_fencing_floor(
    *,
    addresses: Sequence[str],
    clock: Clock,
    rng: random.Random,
    tls: TlsFiles | None = None,
) -> tuple[int, int]:
    """Return the largest log position of a majority of the replicas.

    Any order committed before the call is at or below the result, because any two
    majorities share a replica.

    Args:
        addresses: Addresses of all voters.
        clock: Clock of this process.
        rng: Random source for jitter between rounds.
        tls: Files for mutual TLS; None for plain TCP.

    Returns:
        Term and index. Retries with backoff until a majority answers.
    """
    majority = len(addresses) // 2 + 1
    backoff = Backoff(rng=rng)
    while True:
        replies = await asyncio.gather(
            *(_query(address, clock, tls) for address in addresses)
        )
        # Keyed by node id, because two addresses may belong to one replica.
        floors = {
            reply.node_id: (reply.term, reply.index)
            for reply in replies
            if reply is not None
        }
        if len(floors) >= majority:
            return max(floors.values())
        logger.info(
            "fencing floor: only %d of %d replicas answered; retrying",
            len(floors),
            len(addresses),
        )
        await clock.sleep(backoff.next_wait())


async def _query(
    address: str, clock: Clock, tls: TlsFiles | None
) -> wire.FloorReply | None:
    async with open_channel(address, tls=tls) as channel:
        stub = wire_pb2_grpc.ControlStub(channel)
        try:
            return await with_timeout(clock, QUERY_TIMEOUT_S, _floor(stub))
        except (grpc.aio.AioRpcError, TimeoutError):
            return None


async def _floor(stub: wire_pb2_grpc.ControlStub) -> wire.FloorReply:
    return await stub.Floor(wire.FloorRequest())
