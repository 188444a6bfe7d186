"""gRPC step streams to other stages, with probes, reconnects and resends."""

__all__ = ["PeerLostError", "StepLink", "StepLinks"]

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import grpc

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import (
    LINK_IDLE_S,
    PROBE_AFTER_S,
    RECONNECT_AFTER_S,
)
from wigeonscale.pipelines.waiting import wait_event
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

logger = logging.getLogger(__name__)

MAX_SILENT_CONNECTIONS = 2
"""Consecutive connections without a message after which the peer counts as lost."""


class PeerLostError(WigeonscaleError):
    """The peer sent no message on two consecutive connections.

    Args:
        address: ``ip:port`` of the peer.
    """

    def __init__(self, *, address: str):
        super().__init__(
            ErrorKind.BACKEND_FAILED,
            f"no reply from the stage at {address} on two connections",
            run_state=RunState.UNKNOWN,
        )


@dataclass(slots=True)
class _Call:
    req: wire.StepRequest
    fut: asyncio.Future


class StepLink:
    """A step stream to one peer, opened on demand and closed when idle.

    Several requests may be open at once. After a reconnect, open requests are resent
    with a larger attempt number; the peer answers repeated steps from its records.

    Args:
        address: ``ip:port`` of the peer's gRPC server.
        dial: Returns a new channel to an address.
        clock: Clock port.
        probe_after_s: Seconds without a message before a probe is sent.
        reconnect_after_s: Seconds without a message before a reconnect.
        idle_s: Seconds without open requests before the connection is closed.

    Attributes:
        last_message_at: Clock time of the last message from the peer, shifted by
            pauses of this process.
    """

    def __init__(
        self,
        *,
        address: str,
        dial: Callable[[str], grpc.aio.Channel],
        clock: Clock,
        probe_after_s: float = PROBE_AFTER_S,
        reconnect_after_s: float = RECONNECT_AFTER_S,
        idle_s: float = LINK_IDLE_S,
    ):
        self.address = address
        self._dial = dial
        self._clock = clock
        self._probe_after_s = probe_after_s
        self._reconnect_after_s = reconnect_after_s
        self._idle_s = idle_s
        self._ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._unsent: deque[wire.StepRequest] = deque()
        self._has_unsent = asyncio.Event()
        self._changed = asyncio.Event()
        self.last_message_at = 0.0
        self._silent_connections = 0
        self._task: asyncio.Task | None = None

    async def call(self, req: wire.StepRequest) -> wire.StepReply:
        """Send a request and return its reply.

        Args:
            req: The request; its batch id is set here.

        Raises:
            PeerLostError: Two consecutive connections brought no reply.
        """
        if not self._calls:
            self.last_message_at = self._clock.now()
        req.batch_id = next(self._ids)
        call = _Call(req, asyncio.get_running_loop().create_future())
        self._calls[req.batch_id] = call
        self._send(req)
        self._changed.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        try:
            return await call.fut
        finally:
            self._calls.pop(req.batch_id, None)

    async def close(self) -> None:
        """Close the connection and fail the open requests."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._fail_all()

    @property
    def idle(self) -> bool:
        """Whether there is neither a connection nor an open request."""
        return self._task is None and not self._calls

    async def _run(self) -> None:
        try:
            while self._calls:
                await self._connect()
                self._silent_connections += 1
                if self._silent_connections >= MAX_SILENT_CONNECTIONS:
                    self._fail_all()
                    self._silent_connections = 0
        finally:
            self._task = None

    async def _connect(self) -> None:
        channel = self._dial(self.address)
        stream = wire_pb2_grpc.AgentStub(channel).Steps()
        self.last_message_at = self._clock.now()
        self._requeue_calls()
        tasks = [
            asyncio.create_task(self._write(stream)),
            asyncio.create_task(self._read(stream)),
        ]
        for task in tasks:
            task.add_done_callback(lambda _: self._changed.set())
        try:
            await self._supervise(tasks)
        finally:
            for task in tasks:
                task.cancel()
            stream.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await channel.close()

    async def _supervise(self, tasks: list[asyncio.Task]) -> None:
        last_check_at = self._clock.now()
        while not any(task.done() for task in tasks):
            self._changed.clear()
            if not self._calls:
                if not await wait_event(self._changed, self._clock, self._idle_s):
                    return
                continue
            now = self._clock.now()
            # Time for which this process was paused does not count against the peer.
            paused_s = max(0.0, now - last_check_at - self._probe_after_s)
            self.last_message_at = min(now, self.last_message_at + paused_s)
            last_check_at = now
            silent_s = now - self.last_message_at
            if silent_s >= self._reconnect_after_s:
                logger.warning(
                    "no message from stage at %s for %.2f s; closing the connection",
                    self.address,
                    silent_s,
                )
                return
            if silent_s >= self._probe_after_s:
                self._send(wire.StepRequest())
            await wait_event(self._changed, self._clock, self._probe_after_s / 2)

    async def _write(self, stream) -> None:
        while True:
            await self._has_unsent.wait()
            while self._unsent:
                await stream.write(self._unsent.popleft())
            self._has_unsent.clear()

    async def _read(self, stream) -> None:
        try:
            async for reply in stream:
                self.last_message_at = self._clock.now()
                self._silent_connections = 0
                call = self._calls.get(reply.batch_id)
                if call is not None and not call.fut.done():
                    call.fut.set_result(reply)
        except grpc.aio.AioRpcError as exc:
            logger.info("step stream to %s failed: %s", self.address, exc.code().name)

    def _send(self, req: wire.StepRequest) -> None:
        self._unsent.append(req)
        self._has_unsent.set()

    def _requeue_calls(self) -> None:
        """Queue all open requests again; those already sent become a new attempt."""
        unsent_ids = {id(req) for req in self._unsent}
        self._unsent.clear()
        for call in self._calls.values():
            if id(call.req) not in unsent_ids:
                for step in call.req.steps:
                    step.attempt += 1
            self._send(call.req)

    def _fail_all(self) -> None:
        self._unsent.clear()
        for call in self._calls.values():
            if not call.fut.done():
                call.fut.set_exception(PeerLostError(address=self.address))
        self._calls.clear()


class StepLinks:
    """Keeps one :class:`StepLink` per peer.

    Args:
        dial: Returns a new channel to an address.
        clock: Clock port.
        options: Further keyword arguments of :class:`StepLink`.
    """

    def __init__(
        self,
        *,
        dial: Callable[[str], grpc.aio.Channel],
        clock: Clock,
        **options: float,
    ):
        self._dial = dial
        self._clock = clock
        self._options = options
        self._links: dict[str, StepLink] = {}

    async def call(self, address: str, req: wire.StepRequest) -> wire.StepReply:
        """Send a request to the peer at an address and return its reply."""
        link = self._links.get(address)
        if link is None:
            self._drop_idle()
            link = self._links[address] = StepLink(
                address=address, dial=self._dial, clock=self._clock, **self._options
            )
        return await link.call(req)

    async def close(self) -> None:
        """Close every link."""
        links, self._links = self._links, {}
        await asyncio.gather(*(link.close() for link in links.values()))

    def _drop_idle(self) -> None:
        kept = {a: link for a, link in self._links.items() if not link.idle}
        self._links = kept
