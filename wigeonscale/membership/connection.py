"""Watch connection to one control replica."""

__all__ = ["DisconnectCause", "WatchConnection"]

import asyncio
import enum
import logging
from collections.abc import Awaitable, Callable

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel
from wigeonscale.membership.members import MembersView
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

US_PER_S = 1_000_000
MAX_QUEUED_MESSAGES = 256

logger = logging.getLogger(__name__)


class DisconnectCause(enum.StrEnum):
    """Why a watch connection ended."""

    LOST = "lost"
    SILENT = "silent"
    NO_LEASE = "no-lease"
    OLDER_REVISION = "older-revision"
    CONFIG_MISMATCH = "config-mismatch"
    MEMBERS_OUT_OF_ORDER = "members-out-of-order"
    SUPERSEDED = "superseded"


class WatchConnection:
    """One watch stream and its state; :meth:`run` is its task.

    Attributes:
        address: Replica's ``ip:port``.
        members: Backends and chains received on this stream; None before the first
            update.
        known_members: Members known when the stream was opened, to which the replica
            may send a delta; None if there are none and after the first update.
        opened_at: Local time of opening, in seconds.
        answered_at: Local send time of the latest answered heartbeat, or the time of
            opening. Send times are used so that a stream that is silent in one
            direction, or that delivers old answers, is detected as late.
        last_sent_us: Local send time of the latest heartbeat, in microseconds.
        cause: Why the stream ended; None while it is open.

    Args:
        address: Replica's ``ip:port``.
        clock: Clock of this process.
        heartbeat_s: Interval of heartbeats, in seconds.
        hello: First message of the stream.
        on_event: Called with this connection and each event except configurations;
            returns a cause to end the connection, or None.
        on_config: Applies one configuration update at a time, while other events are
            still handled; returns a cause to end the connection, or None.
        applied_revision: Returns the configuration revision applied in this process.
        loads: Returns the load of this entry; None if it does not report its load.
        known_members: Copy of the members at the index given in ``hello``.
        tls: Files for mutual TLS; None for plain TCP.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: Clock,
        heartbeat_s: float,
        hello: wire.Hello,
        on_event: Callable[
            ["WatchConnection", wire.WatchEvent], DisconnectCause | None
        ],
        on_config: Callable[
            ["WatchConnection", wire.ConfigUpdate], Awaitable[DisconnectCause | None]
        ],
        applied_revision: Callable[[], int],
        loads: Callable[[], wire.Loads] | None = None,
        known_members: MembersView | None = None,
        tls: TlsFiles | None = None,
    ):
        self.address = address
        self.members: MembersView | None = None
        self.known_members = known_members
        self.opened_at = clock.now()
        self.answered_at = self.opened_at
        self.last_sent_us = 0
        self.cause: DisconnectCause | None = None
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._on_event = on_event
        self._on_config = on_config
        self._applied_revision = applied_revision
        self._loads = loads
        self._tls = tls
        self._queue: asyncio.Queue[wire.WatchRequest] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._configs: asyncio.Queue[wire.ConfigUpdate] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self.send(wire.WatchRequest(hello=hello))

    def send(self, req: wire.WatchRequest) -> None:
        """Queue a message for the replica.

        Args:
            req: The message; dropped if the queue is full. A stream that stops sending
                then also misses heartbeats and is closed as silent.
        """
        try:
            self._queue.put_nowait(req)
        except asyncio.QueueFull:
            logger.warning(
                "send queue of the watch stream to %s is full; message dropped",
                self.address,
            )

    def note_answer(self, echo_us: int) -> None:
        """Record that the replica answered a heartbeat.

        Args:
            echo_us: Local send time of that heartbeat, in microseconds.
        """
        if echo_us <= self.last_sent_us:
            self.answered_at = max(self.answered_at, echo_us / US_PER_S)

    async def run(self) -> None:
        """Run the stream until it ends, then set :attr:`cause`."""
        async with open_channel(self.address, tls=self._tls) as channel:
            call = wire_pb2_grpc.ControlStub(channel).Watch()
            readers = [
                asyncio.create_task(self._read(call)),
                asyncio.create_task(self._apply_configs()),
            ]
            writers = [
                asyncio.create_task(self._write(call)),
                asyncio.create_task(self._send_heartbeats()),
            ]
            try:
                done, _ = await asyncio.wait(
                    readers, return_when=asyncio.FIRST_COMPLETED
                )
                cause = done.pop().result()
            finally:
                call.cancel()
                tasks = readers + writers
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            self.cause = self.cause or cause

    async def _read(self, call: grpc.aio.StreamStreamCall) -> DisconnectCause:
        try:
            async for event in call:
                if event.HasField("config"):
                    await self._configs.put(event.config)
                    continue
                cause = self._handle(event)
                if cause is not None:
                    return cause
        except grpc.aio.AioRpcError as exc:
            logger.info("watch stream to %s lost: %s", self.address, exc.code())
        return DisconnectCause.LOST

    def _handle(self, event: wire.WatchEvent) -> DisconnectCause | None:
        try:
            return self._on_event(self, event)
        except Exception:
            logger.exception("handler of an event from %s failed", self.address)
            return None

    async def _apply_configs(self) -> DisconnectCause:
        while True:
            update = await self._configs.get()
            try:
                cause = await self._on_config(self, update)
            except Exception:
                logger.exception("handler of revision %d failed", update.revision)
                continue
            if cause is not None:
                return cause

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            await call.write(await self._queue.get())

    async def _send_heartbeats(self) -> None:
        while True:
            self.last_sent_us = int(self._clock.now() * US_PER_S)
            heartbeat = wire.Heartbeat(
                sent_us=self.last_sent_us, applied_revision=self._applied_revision()
            )
            if self._loads is not None:
                heartbeat.loads.CopyFrom(self._loads())
            self.send(wire.WatchRequest(heartbeat=heartbeat))
            await self._clock.sleep(self._heartbeat_s)
