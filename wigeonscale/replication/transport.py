"""Transport port between replicas, and its adapter for gRPC."""

__all__ = ["GrpcTransport", "PeerClient", "ReplicationServicer", "Transport"]

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import grpc

from wigeonscale.adapters.channels import open_channel
from wigeonscale.errors import WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

logger = logging.getLogger(__name__)

Reply = TypeVar("Reply")


class PeerClient(Protocol):
    """Client of one peer. A call may hang; the caller sets the timeout."""

    async def append(self, req: wire.AppendRequest) -> wire.AppendReply:
        """Send one append request and return its reply; not to be called concurrently.

        Raises:
            ConnectionError: The connection failed.
        """

    async def vote(self, req: wire.VoteRequest) -> wire.VoteReply:
        """Send a vote request and return its reply.

        Raises:
            ConnectionError: The connection failed.
        """

    async def campaign(self, req: wire.CampaignRequest) -> wire.CampaignReply:
        """Ask the peer to campaign; returns once its election is decided.

        Raises:
            ConnectionError: The connection failed.
        """

    async def reset(self) -> None:
        """Drop the connection; the next call makes a new one."""


class Transport(Protocol):
    """Factory of peer clients."""

    def connect(self, address: str) -> PeerClient:
        """Return a client of the replica at ip:port; it connects on first use."""


class GrpcTransport:
    """Transport over gRPC.

    Args:
        channel: Opens a channel, with a separate connection, to an address.
    """

    def __init__(self, *, channel: Callable[[str], grpc.aio.Channel] = open_channel):
        self._open_channel = channel

    def connect(self, address: str) -> PeerClient:
        """Return a client of the replica at ip:port; it connects on first use."""
        return GrpcPeerClient(address=address, channel=self._open_channel)


class GrpcPeerClient:
    """Client with one Append stream and unary calls for elections.

    Args:
        address: ip:port of the peer.
        channel: Opens a channel to it.
    """

    def __init__(self, *, address: str, channel: Callable[[str], grpc.aio.Channel]):
        self._address = address
        self._open_channel = channel
        self._channel: grpc.aio.Channel | None = None
        self._stream: grpc.aio.StreamStreamCall | None = None

    async def append(self, req: wire.AppendRequest) -> wire.AppendReply:
        """Send one append request on the stream and return its reply."""
        if self._stream is None:
            self._stream = self._stub().Append()
        return await self._translate_errors(self._write_and_read(self._stream, req))

    async def vote(self, req: wire.VoteRequest) -> wire.VoteReply:
        """Send a vote request and return its reply."""
        return await self._translate_errors(self._stub().Vote(req))

    async def campaign(self, req: wire.CampaignRequest) -> wire.CampaignReply:
        """Ask the peer to campaign; returns once its election is decided."""
        return await self._translate_errors(self._stub().Campaign(req))

    async def reset(self) -> None:
        """Drop the connection; the next call makes a new one."""
        channel = self._channel
        self._channel = None
        self._stream = None
        if channel is not None:
            await channel.close()

    def _stub(self) -> wire_pb2_grpc.ReplicationStub:
        if self._channel is None:
            self._channel = self._open_channel(self._address)
        return wire_pb2_grpc.ReplicationStub(self._channel)

    async def _write_and_read(
        self, stream: grpc.aio.StreamStreamCall, req: wire.AppendRequest
    ) -> wire.AppendReply:
        await stream.write(req)
        reply = await stream.read()
        if reply is grpc.aio.EOF:
            raise ConnectionError(f"replica {self._address} closed the stream")
        return reply

    async def _translate_errors(self, call: Awaitable[Reply]) -> Reply:
        try:
            return await call
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise ConnectionError(f"replica {self._address}: {exc}") from exc


class ReplicationServicer(wire_pb2_grpc.ReplicationServicer):
    """gRPC servicer through which peers call a replica.

    Args:
        replica: A :class:`~wigeonscale.replication.replica.Replica`.
    """

    def __init__(self, *, replica):
        self._replica = replica

    async def Append(self, request_iterator, context):  # noqa: N802
        """Handle the append requests of one leader in order."""
        async for req in request_iterator:
            yield await self._reply_or_abort(self._replica.handle_append(req), context)

    async def Vote(self, request, context):  # noqa: N802
        """Handle a vote request."""
        return await self._reply_or_abort(self._replica.handle_vote(request), context)

    async def Campaign(self, request, context):  # noqa: N802
        """Handle the request of a leader to take over leadership."""
        return await self._reply_or_abort(
            self._replica.handle_campaign(request), context
        )

    async def _reply_or_abort(self, coro, context):
        try:
            return await coro
        except WigeonscaleError as exc:
            logger.warning("rejected a request of a peer: %s", exc.message)
            code = grpc.StatusCode.FAILED_PRECONDITION
            await context.abort(code, exc.message)
