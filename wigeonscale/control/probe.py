"""Probes agents directly, over new connections."""

__all__ = ["ProbeCache", "probe_agent"]

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass

import grpc

from wigeonscale.adapters.channels import TlsFiles, open_channel
from wigeonscale.ports import Clock, Probe, ProbeResult
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

# A healthy agent answers within a round trip; an agent whose VM is gone never does.
PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 1.0


@dataclass(slots=True)
class _ProbeState:
    """Time of the last probe of an agent, and its newest answer."""

    asked_at: float
    answer: ProbeResult | None
    is_pending: bool = True


class ProbeCache:
    """Caches the newest probe answers of agents and repeats probes when they are old.

    Args:
        probe: Probes the agent at an address.
        clock: Time source.
        on_answer: Called after each answer.
    """

    def __init__(self, *, probe: Probe, clock: Clock, on_answer: Callable[[], None]):
        self._probe = probe
        self._clock = clock
        self._on_answer = on_answer
        self._states: dict[Hashable, _ProbeState] = {}
        self._tasks: set[asyncio.Task] = set()

    def answer(self, key: Hashable, address: str, since: float) -> ProbeResult | None:
        """Return the newest answer of an agent; starts a new probe if it is old.

        Args:
            key: Key of the agent's incarnation.
            address: ip:port of the agent's gRPC server.
            since: Time since which the agent is suspected or absent, in seconds.

        Returns:
            The newest answer to a probe sent since then, or None.
        """
        now = self._clock.now()
        state = self._states.get(key)
        if state is not None and state.asked_at < since and not state.is_pending:
            state = None
        is_due = state is None or now - state.asked_at >= PROBE_INTERVAL_S
        if is_due and (state is None or not state.is_pending):
            answer = state.answer if state else None
            state = self._states[key] = _ProbeState(asked_at=now, answer=answer)
            self._start(self._run_probe(address, state))
        return state.answer if state.asked_at >= since else None

    def retain(self, keys: set) -> None:
        """Drop the answers of all agents but these.

        Args:
            keys: Keys of the agents to keep.
        """
        for key in self._states.keys() - keys:
            del self._states[key]

    async def close(self) -> None:
        """Cancel all running probes."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_probe(self, address, state):
        state.answer = await self._probe(address)
        state.is_pending = False
        self._on_answer()

    def _start(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def probe_agent(
    address: str, *, tls: TlsFiles | None = None, timeout_s: float = PROBE_TIMEOUT_S
) -> ProbeResult:
    """Ping an agent over a new connection.

    Args:
        address: ip:port of the agent's gRPC server.
        tls: Files for mutual TLS, or None for plain TCP.
        timeout_s: Timeout for the answer, in seconds.

    Returns:
        Whether the agent answered, the connection was refused, or no answer arrived.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await _connect(address)
            return await _ping(address, tls)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError, grpc.aio.AioRpcError):
        return ProbeResult.NO_ANSWER


async def _connect(address):
    """Connect without gRPC, which cannot tell a refused connection from a timeout."""
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    writer.close()


async def _ping(address, tls):
    # A connection alone proves nothing, since a frozen or hanging process still accepts
    # connections. The pong is sent by the agent's event loop.
    async with open_channel(address, tls=tls) as channel:
        call = wire_pb2_grpc.AgentStub(channel).Dispatch()
        await call.write(wire.DispatchRequest(ping=wire.Ping(sent_us=1)))
        async for event in call:
            if event.pong_us:
                call.cancel()
                return ProbeResult.ANSWERED
    return ProbeResult.NO_ANSWER
