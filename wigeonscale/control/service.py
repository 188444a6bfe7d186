"""The Control gRPC service: watch, submit, floor, join."""

__all__ = ["ControlServicer"]

import asyncio
import logging
from collections.abc import AsyncIterator

import grpc

from wigeonscale.control.announcements import commit_announcements
from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.liveness import Liveness
from wigeonscale.control.replica_membership import ReplicaMembership
from wigeonscale.control.watcher import Watcher
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

MAX_COMMANDS_IN_PROGRESS = 1024  # per Submit stream
AGENT = "agent"

logger = logging.getLogger(__name__)


class ControlServicer(wire_pb2_grpc.ControlServicer):
    """Serves watch streams, commands and join requests.

    Args:
        node_id: Node id of this replica.
        replica: Local replica of the log.
        hub: Watch hub of this replica.
        commands: Submits commands to the replicated log.
        liveness: Detects agents that are gone.
        clock: Time source.
        membership: Admits new replicas; None where the settings list all replicas.
    """

    def __init__(
        self,
        *,
        node_id: str,
        replica: Replica,
        hub: Hub,
        commands: Commands,
        liveness: Liveness,
        clock: Clock,
        membership: ReplicaMembership | None = None,
    ):
        self._node_id = node_id
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._liveness = liveness
        self._clock = clock
        self._membership = membership

    async def Watch(self, request_iterator, context):  # noqa: N802
        """Serve one watcher until its stream ends."""
        first = await anext(aiter(request_iterator), None)
        if first is None or first.WhichOneof("body") != "hello":
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "first message must be hello"
            )
        watcher = Watcher(hello=first.hello, clock=self._clock)
        self._hub.add(watcher)
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(self._write(watcher, context))]
                if watcher.role == AGENT:
                    committing = commit_announcements(
                        node_id=self._node_id,
                        watcher=watcher,
                        hub=self._hub,
                        commands=self._commands,
                        clock=self._clock,
                    )
                    tasks.append(group.create_task(committing))
                await self._read(watcher, request_iterator)
                for task in tasks:
                    task.cancel()
        finally:
            self._hub.remove(watcher)
            self._liveness.wake()

    async def Submit(self, request_iterator, context):  # noqa: N802
        """Answer the commands of one stream, each as soon as its result is known."""
        in_progress = asyncio.Semaphore(MAX_COMMANDS_IN_PROGRESS)
        write_lock = asyncio.Lock()

        async def answer(req):
            try:
                reply = await self._commands.answer(req)
                async with write_lock:
                    await context.write(reply)
            finally:
                in_progress.release()

        async with asyncio.TaskGroup() as group:
            async for req in request_iterator:
                await in_progress.acquire()
                group.create_task(answer(req))

    async def Floor(self, request, context):  # noqa: N802
        """Return the position of the last entry of this replica's log."""
        if not self._replica.may_vote:
            # The log is not loaded yet or was lost, so it may lack committed entries.
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, f"replica {self._node_id} has no vote"
            )
        term, index = self._replica.last_position()
        return wire.FloorReply(node_id=self._node_id, term=term, index=index)

    async def Join(self, request, context):  # noqa: N802
        """Handle the request of a replica to become a member."""
        if self._membership is None:
            await context.abort(
                grpc.StatusCode.UNIMPLEMENTED,
                "the settings list all replicas; none can join",
            )
        return await self._membership.answer(request)

    async def _read(self, watcher, requests: AsyncIterator):
        async for req in requests:
            watcher.last_message_at = self._clock.now()
            try:
                self._handle(watcher, req)
            except Exception:
                logger.exception("failed to handle message from %s", watcher.node_id)

    def _handle(self, watcher, req):
        match req.WhichOneof("body"):
            case "heartbeat":
                watcher.applied_revision = req.heartbeat.applied_revision
                watcher.pending_heartbeat = (req.heartbeat, watcher.last_message_at)
                if req.heartbeat.HasField("loads"):
                    watcher.loads = req.heartbeat.loads
                watcher.wake.set()
            case "announce" if req.announce.agent_id == watcher.node_id:
                self._hub.announce(watcher, req.announce)
            case "order_result":
                self._hub.handle_order_result(watcher, req.order_result)
            case "suspect":
                self._liveness.suspect(req.suspect, source_role=watcher.role)
            case other:
                logger.warning(
                    "ignoring unexpected message %s from %s", other, watcher.node_id
                )

    async def _write(self, watcher, context):
        while True:
            await watcher.wake.wait()
            watcher.wake.clear()
            for event in self._hub.pending_events(watcher):
                await context.write(event)
