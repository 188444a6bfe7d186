"""The agent's gRPC service: dispatch streams of entries and step streams of agents."""

__all__ = ["AgentServicer"]

import asyncio
import logging
from collections.abc import Callable

import grpc

from wigeonscale.agent.dispatch import DispatchHandler
from wigeonscale.agent.prefixes import PrefixFeed
from wigeonscale.agent.stream import EntryStream
from wigeonscale.pipelines.constants import ENTRY_TIMEOUT_S
from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

logger = logging.getLogger(__name__)


class AgentServicer(wire_pb2_grpc.AgentServicer):
    """Implements the gRPC service ``Agent``.

    Args:
        dispatch_handler: Handles the dispatch messages of entries.
        stage: Executes pipeline steps; None for a plain service.
        load: Returns the current load report.
        clock: Clock port.
        prefixes: Cache events of the engine; None for a plain service.
        entry_timeout_s: Seconds without a message after which an entry no longer
            counts as a live reader.
    """

    def __init__(
        self,
        *,
        dispatch_handler: DispatchHandler,
        stage: StageRunner | None,
        load: Callable[[], wire.LoadWord],
        clock: Clock,
        prefixes: PrefixFeed | None = None,
        entry_timeout_s: float = ENTRY_TIMEOUT_S,
    ):
        self._dispatch_handler = dispatch_handler
        self._stage = stage
        self._load = load
        self._clock = clock
        self._prefixes = prefixes
        self._entry_timeout_s = entry_timeout_s
        self._streams: set[EntryStream] = set()
        self._steps: set[asyncio.Task] = set()

    def announce_load(self) -> None:
        """Send the load report on all dispatch streams."""
        for stream in self._streams:
            stream.wake()

    async def close(self) -> None:
        """Cancel running steps, whose replies can no longer be delivered."""
        for task in self._steps:
            task.cancel()
        await asyncio.gather(*self._steps, return_exceptions=True)

    async def Dispatch(self, request_iterator, context):  # noqa: N802
        """Serve the dispatch stream of one entry until it ends."""
        outbox = self._prefixes.subscribe() if self._prefixes is not None else None
        stream = EntryStream(
            load=self._load,
            clock=self._clock,
            prefixes=outbox,
            entry_timeout_s=self._entry_timeout_s,
        )
        writer = asyncio.create_task(stream.write(context.write))
        self._streams.add(stream)
        try:
            async for req in request_iterator:
                self._handle(req, stream)
        finally:
            self._streams.discard(stream)
            if outbox is not None:
                self._prefixes.unsubscribe(outbox)
            stream.close()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    async def Steps(self, request_iterator, context):  # noqa: N802
        """Serve the step stream of a head or a previous stage until it ends."""
        if self._stage is None:
            text = "the agent of a plain service does not execute steps"
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, text)
        write_lock = asyncio.Lock()

        async def write(reply: wire.StepReply) -> None:
            async with write_lock:
                await context.write(reply)

        async for req in request_iterator:
            if not req.steps and not req.cancelled:
                await write(wire.StepReply(batch_id=req.batch_id))
                continue
            # The task outlives this stream: its reply must be recorded in full in case
            # the request is sent again.
            task = asyncio.create_task(self._step(req, write))
            self._steps.add(task)
            task.add_done_callback(self._steps.discard)

    async def _step(self, req: wire.StepRequest, write) -> None:
        try:
            reply = await self._stage.run(req)
        except Exception:
            logger.exception("step request of chain %s failed", req.chain_id)
            return
        try:
            await write(reply)
        except Exception as exc:
            logger.info("could not deliver a step reply: %r", exc)

    def _handle(self, req: wire.DispatchRequest, stream: EntryStream) -> None:
        stream.record_activity()
        try:
            self._dispatch_handler.handle(req, stream)
        except Exception:
            logger.exception("handling a message from entry %s failed", stream.name)
