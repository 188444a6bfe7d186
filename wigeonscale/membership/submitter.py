"""Submits commands to the leader over a single stream."""

__all__ = ["Submitter"]

import asyncio
import logging
import random
import uuid
from collections.abc import Sequence

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel, wait_connected
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError, error_from_kind
from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.timeouts import with_timeout
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

# A stream with pending commands and no reply for this time counts as silent.
SILENCE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 0.5

logger = logging.getLogger(__name__)


class _StreamLostError(Exception):
    """The stream ended; it is not known whether the command was received."""


class _Attempt:
    """A command with its state over all attempts."""

    def __init__(self, *, command: wire.Command):
        self.command = command
        self.maybe_received = False

    @property
    def run_state(self) -> RunState:
        return RunState.UNKNOWN if self.maybe_received else RunState.NOT_RUN


class _Stream:
    """An open Submit stream with its pending commands."""

    def __init__(self, *, address: str, channel: grpc.aio.Channel, clock: Clock):
        self.address = address
        self._channel = channel
        self._clock = clock
        self._last_reply_at = clock.now()
        self._call = wire_pb2_grpc.ControlStub(channel).Submit()
        self._pending: dict[int, asyncio.Future[wire.SubmitReply | None]] = {}
        self._last_id = 0
        self._write_lock = asyncio.Lock()
        self._reader = asyncio.create_task(self._read())

    @property
    def is_open(self) -> bool:
        return not self._reader.done()

    @property
    def is_silent(self) -> bool:
        return self._clock.now() - self._last_reply_at >= SILENCE_TIMEOUT_S

    async def request(self, attempt: _Attempt) -> wire.SubmitReply:
        self._last_id += 1
        req = wire.SubmitRequest(call_id=self._last_id, command=attempt.command)
        fut = asyncio.get_running_loop().create_future()
        if not self._pending:
            self._last_reply_at = self._clock.now()
        self._pending[req.call_id] = fut
        try:
            async with self._write_lock:
                if not self.is_open:
                    raise _StreamLostError
                attempt.maybe_received = True
                await self._call.write(req)
            reply = await fut
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise _StreamLostError from exc
        except asyncio.CancelledError as exc:
            if asyncio.current_task().cancelling():
                raise
            # gRPC raises it in a write when another command has closed the stream.
            raise _StreamLostError from exc
        finally:
            self._pending.pop(req.call_id, None)
        if reply is None:
            raise _StreamLostError
        return reply

    async def close(self) -> None:
        self._call.cancel()
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)
        await self._channel.close()

    async def _read(self) -> None:
        try:
            async for reply in self._call:
                self._last_reply_at = self._clock.now()
                fut = self._pending.get(reply.call_id)
                if fut is not None and not fut.done():
                    fut.set_result(reply)
        except grpc.aio.AioRpcError as exc:
            logger.info("submit stream to %s lost: %s", self.address, exc.code())
        finally:
            for fut in self._pending.values():
                if not fut.done():
                    # A result rather than an exception: a command that is still being
                    # written does not await the future, and asyncio would log an
                    # exception that was never retrieved.
                    fut.set_result(None)


class Submitter:
    """Submits commands concurrently and follows changes of the leader.

    Args:
        addresses: Replicas' addresses.
        clock: Clock of this process.
        rng: Random source for jitter and for the order of the addresses.
        tls: Files for mutual TLS; None for plain TCP.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random,
        tls: TlsFiles | None = None,
    ):
        self._addresses = rng.sample(list(addresses), len(addresses))
        self._clock = clock
        self._rng = rng
        self._tls = tls
        self._target = self._addresses[0]
        self._stream: _Stream | None = None
        self._connect_lock = asyncio.Lock()
        self._closed = False

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Replace the addresses of the replicas.

        Args:
            addresses: gRPC addresses of all replicas.
        """
        if set(addresses) != set(self._addresses):
            self._addresses = list(addresses)

    async def submit(
        self, command: wire.Command, timeout_s: float = 3.0
    ) -> wire.CommandResult:
        """Submit one command and return its result.

        The command keeps its operation id over all retries, so that it takes effect at
        most once.

        Args:
            command: The command; an empty operation id is filled in.
            timeout_s: Timeout of all attempts together, in seconds.

        Returns:
            The result; for a claim that was not granted, the existing record.

        Raises:
            WigeonscaleError: The error of the command, or ``NO_QUORUM`` if no leader
                answered in time, with run state ``NOT_RUN`` if no replica can have
                accepted the command and ``UNKNOWN`` otherwise.
        """
        if not command.operation_id:
            command.operation_id = uuid.uuid4().hex
        attempt = _Attempt(command=command)
        try:
            result = await with_timeout(
                self._clock, timeout_s, self._submit_with_retries(attempt)
            )
        except TimeoutError:
            raise _no_quorum_error(attempt, timeout_s) from None
        _raise_if_refused(result)
        return result

    async def close(self) -> None:
        """Close the stream; pending commands fail."""
        self._closed = True
        if self._stream is not None:
            await self._stream.close()
            self._stream = None

    async def _submit_with_retries(self, attempt: _Attempt) -> wire.CommandResult:
        backoff = Backoff(rng=self._rng, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S)
        while True:
            if self._closed:
                raise WigeonscaleError(
                    ErrorKind.STOPPING,
                    f"command {attempt.command.operation_id}: client closed",
                    run_state=attempt.run_state,
                )
            result = await self._try_once(attempt)
            if result is not None:
                return result
            await self._clock.sleep(backoff.next_wait())

    async def _try_once(self, attempt: _Attempt) -> wire.CommandResult | None:
        stream = await self._open_stream()
        if stream is None:
            return None
        maybe_received_before = attempt.maybe_received
        try:
            reply = await with_timeout(
                self._clock, SILENCE_TIMEOUT_S, stream.request(attempt)
            )
        except _StreamLostError:
            await self._switch_to_next(stream)
            return None
        except TimeoutError:
            if stream.is_silent:
                await self._switch_to_next(stream)
            return None
        if reply.result.kind == ErrorKind.NOT_LEADER:
            attempt.maybe_received = maybe_received_before
            await self._switch_to_leader(stream, reply.leader)
            return None
        if reply.result.kind == ErrorKind.NO_QUORUM:
            await self._switch_to_next(stream)
            return None
        return reply.result

    async def _open_stream(self) -> _Stream | None:
        async with self._connect_lock:
            if self._stream is not None and self._stream.is_open:
                return self._stream
            if self._stream is not None:
                await self._stream.close()
                self._stream = None
            address = self._target
            channel = open_channel(address, tls=self._tls)
            if not await self._connect(channel):
                self._target = self._address_after(address)
                return None
            self._stream = _Stream(address=address, channel=channel, clock=self._clock)
            return self._stream

    async def _connect(self, channel: grpc.aio.Channel) -> bool:
        try:
            await with_timeout(self._clock, CONNECT_TIMEOUT_S, wait_connected(channel))
        except (ConnectionError, TimeoutError):
            await channel.close()
            return False
        except asyncio.CancelledError:
            await channel.close()
            raise
        return True

    async def _switch_to_next(self, stream: _Stream) -> None:
        """Close a stream and continue with the next replica."""
        await self._switch_to(stream, self._address_after(stream.address))

    async def _switch_to_leader(self, stream: _Stream, leader: str) -> None:
        """Close a stream to a follower and continue with the leader it names."""
        await self._switch_to(stream, leader or self._address_after(stream.address))

    async def _switch_to(self, stream: _Stream, target: str) -> None:
        async with self._connect_lock:
            if stream is not self._stream:
                return
            self._stream = None
            self._target = target
        await stream.close()

    def _address_after(self, address: str) -> str:
        if address not in self._addresses:
            return self._addresses[0]
        position = self._addresses.index(address) + 1
        return self._addresses[position % len(self._addresses)]


def _no_quorum_error(attempt: _Attempt, timeout_s: float) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.NO_QUORUM,
        f"command {attempt.command.operation_id}: no leader answered"
        f" in {timeout_s:g} s",
        run_state=attempt.run_state,
        retry_after=timeout_s,
    )


def _raise_if_refused(result: wire.CommandResult) -> None:
    if not result.kind or _is_existing_claim(result):
        return
    is_certain = result.kind != ErrorKind.INTERNAL
    run_state = RunState.NOT_RUN if is_certain else RunState.UNKNOWN
    raise error_from_kind(result.kind, result.message, run_state=run_state)


def _is_existing_claim(result: wire.CommandResult) -> bool:
    return result.HasField("claim") and result.kind != ErrorKind.IDEMPOTENCY_KEY_REUSED
