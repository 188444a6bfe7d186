"""A gRPC proxy in front of an agent that duplicates every message."""

__all__ = ["Duplicator"]

from collections.abc import AsyncIterator

import grpc

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.wire import wire_pb2_grpc


class Duplicator(wire_pb2_grpc.AgentServicer):
    """Forwards each request and each reply of a stream twice.

    Args:
        target: ``ip:port`` of the agent.
    """

    def __init__(self, *, target: str):
        self._target = target
        self._server, self.address = new_server("127.0.0.1:0")
        wire_pb2_grpc.add_AgentServicer_to_server(self, self._server)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop the server and close every connection."""
        await self._server.stop(grace=0)

    async def Dispatch(self, request_iterator, context):  # noqa: N802
        """Forward the stream of an entry."""
        async with open_channel(self._target) as channel:
            async for event in self._forward(channel, "Dispatch", request_iterator):
                yield event

    async def Steps(self, request_iterator, context):  # noqa: N802
        """Forward the stream of a stage."""
        async with open_channel(self._target) as channel:
            async for reply in self._forward(channel, "Steps", request_iterator):
                yield reply

    async def _forward(self, channel, method: str, requests) -> AsyncIterator:
        call = getattr(wire_pb2_grpc.AgentStub(channel), method)(_duplicated(requests))
        try:
            async for answer in _duplicated(call):
                yield answer
        except grpc.aio.AioRpcError:
            return
        finally:
            call.cancel()


async def _duplicated(messages) -> AsyncIterator:
    async for message in messages:
        yield message
        yield message
