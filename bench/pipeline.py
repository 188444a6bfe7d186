"""Throughput of a chain against its upper bound, and recovery of its streams.

Three stages with equal engines run in one process on loopback. The bound assumes that
no engine is ever idle and each iteration runs a third of the sequences. The baseline
keeps a single iteration in flight, as a simple token loop does. Two cost models of
engines are measured: time per sequence, which is how engines announce their rate, and
a fixed time per iteration, where fewer and larger iterations are better.
"""

__all__ = ["CleanupStack", "measure"]

import asyncio
import statistics
import time
from unittest import mock

from bench.report import Figure
from wigeonscale.adapters import open_channel
from wigeonscale.agent.tests.support import (
    TcpProxy,
    connect,
    make_chain,
    start_chain,
    until,
)
from wigeonscale.pipelines import head

STAGES = 3
SEQUENCES = 64
TOKENS = 60
ITERATION_S = 0.02
"""Seconds of an iteration; with costs per sequence, of one with a third of them."""
PER_SEQUENCE_S = ITERATION_S * STAGES / SEQUENCES
MAX_TOKENS_PER_S = SEQUENCES / STAGES / ITERATION_S
"""Tokens per second if engines are never idle, in either cost model."""
MIN_BUSY_RATIO = 0.9
RECOVERY_RUNS = 20
FAULT_POSITION = 20


def measure() -> list[Figure]:
    """Return the figures of throughput and recovery."""
    pipelined = asyncio.run(_throughput(sequence_s=PER_SEQUENCE_S))
    pipelined_flat = asyncio.run(_throughput(step_s=ITERATION_S))
    one_in_flight = mock.patch.multiple(
        head, EXTRA_ITERATIONS=1 - STAGES, MAX_FIXED_COST_SHARE=2.0
    )
    with one_in_flight:
        single = asyncio.run(_throughput(sequence_s=PER_SEQUENCE_S))
        single_flat = asyncio.run(_throughput(step_s=ITERATION_S))
    killed = [asyncio.run(_recovery("kill")) for _ in range(RECOVERY_RUNS)]
    silent = [asyncio.run(_recovery("silent")) for _ in range(RECOVERY_RUNS)]
    return [
        Figure("pipeline/busy_share", pipelined.busy, "ratio", low=MIN_BUSY_RATIO),
        Figure("pipeline/achieved", pipelined.rate / MAX_TOKENS_PER_S, "ratio"),
        Figure(
            "pipeline/achieved/one_in_flight", single.rate / MAX_TOKENS_PER_S, "ratio"
        ),
        Figure("pipeline/gain", pipelined.rate / single.rate, "ratio", low=2.0),
        Figure("pipeline/flat_cost/busy_share", pipelined_flat.busy, "ratio"),
        Figure(
            "pipeline/flat_cost/achieved",
            pipelined_flat.rate / MAX_TOKENS_PER_S,
            "ratio",
        ),
        Figure(
            "pipeline/flat_cost/gain",
            pipelined_flat.rate / single_flat.rate,
            "ratio",
            low=0.85,
        ),
        Figure("pipeline/events_per_iteration", pipelined.events, "count", high=1.5),
        Figure("pipeline/hops_per_iteration", pipelined.hops, "count", high=2.05),
        *_times("recovery/killed_stage", killed),
        *_times("recovery/silent_stage", silent),
    ]


def _times(name: str, seconds: list[float]) -> list[Figure]:
    return [
        Figure(f"{name}/median", statistics.median(seconds) * 1000, "ms"),
        Figure(f"{name}/worst", max(seconds) * 1000, "ms"),
    ]


class CleanupStack:
    """Collects asynchronous cleanups, with the interface of a test case."""

    def __init__(self):
        self._functions = []

    def addCleanup(self, function, *args):  # noqa: N802
        """Register a coroutine function; the last one added is called first."""
        self._functions.append((function, args))

    async def run(self):
        """Call all registered functions."""
        for function, args in reversed(self._functions):
            await function(*args)


class _ThroughputRun:
    """Result of one throughput run: busy share, tokens per second, messages."""

    def __init__(self, *, nodes, client, seconds: float):
        iterations = nodes[0].engine.iterations
        self.busy = statistics.mean(n.engine.busy_s for n in nodes) / seconds
        self.rate = SEQUENCES * TOKENS / seconds
        self.events = len(client.events) / iterations
        self.hops = sum(n.engine.iterations for n in nodes[1:]) / iterations


async def _throughput(**cost: float) -> _ThroughputRun:
    case = CleanupStack()
    _, nodes, chain = await start_chain(case, slots=SEQUENCES, **cost)
    client = await connect(case, nodes[0])
    began = time.monotonic()
    ids = [await client.generate(chain, b"a page", TOKENS) for _ in range(SEQUENCES)]
    for dispatch_id in ids:
        await client.end(dispatch_id)
    run = _ThroughputRun(nodes=nodes, client=client, seconds=time.monotonic() - began)
    await case.run()
    return run


async def _recovery(fault: str) -> float:
    """Return the seconds from the loss of a stage to the next token."""
    case = CleanupStack()
    proxies: dict[str, str] = {}
    control, nodes, chain = await start_chain(
        case, spares=1, dial=lambda a: open_channel(proxies.get(a, a))
    )
    n0, lost, n2, spare = nodes
    proxy = TcpProxy(lost.address)
    proxies[lost.address] = await proxy.start(case)
    client = await connect(case, n0)
    repaired = make_chain([n0, spare, n2], epoch=2)
    control.on_suspect = lambda agent_id: control.set_chain(repaired)
    lost_at = 0.0

    async def inject_fault():
        nonlocal lost_at
        lost_at = time.monotonic()
        if fault == "kill":
            await lost.kill()
        else:
            proxy.mute_all()

    lost.engine.fault_position = FAULT_POSITION
    lost.engine.on_fault = inject_fault
    dispatch_id = await client.generate(chain, b"a", 2 * FAULT_POSITION)
    await client.wait(lambda: len(client.texts(dispatch_id)) > FAULT_POSITION)
    seconds = time.monotonic() - lost_at
    await until(lambda: client.kinds(dispatch_id)[-1] == "done")
    await case.run()
    return seconds
