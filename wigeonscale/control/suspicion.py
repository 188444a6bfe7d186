"""Forwards a suspicion to the replica that an agent is attached to."""

__all__ = ["forward_suspicion"]

import asyncio
import logging

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

FORWARD_TIMEOUT_S = 2.0
CONTROL = "control"

logger = logging.getLogger(__name__)


async def forward_suspicion(
    node_id: str,
    address: str,
    suspicion: wire.Suspect,
    *,
    tls: TlsFiles | None = None,
) -> bool:
    """Forward a suspicion to another replica, without retries.

    Args:
        node_id: Node id of this replica.
        address: ip:port of the other replica.
        suspicion: Suspicion that names the incarnation.
        tls: Files for mutual TLS, or None for plain TCP.

    Returns:
        Whether the other replica received it.
    """
    hello = wire.Hello(node_id=node_id, role=CONTROL)
    try:
        async with (
            asyncio.timeout(FORWARD_TIMEOUT_S),
            open_channel(address, tls=tls) as channel,
        ):
            call = wire_pb2_grpc.ControlStub(channel).Watch()
            await call.write(wire.WatchRequest(hello=hello))
            await call.write(wire.WatchRequest(suspect=suspicion))
            await call.done_writing()
            async for _ in call:
                pass
        return True
    except (TimeoutError, grpc.aio.AioRpcError) as exc:
        logger.info("could not forward suspicion of %s: %r", suspicion.agent_id, exc)
        return False
