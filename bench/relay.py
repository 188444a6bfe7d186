"""Cost of relaying at the entry, compared with a minimal aiohttp relay.

Every role is a separate process on loopback, so that its processor time and memory can
be read from ``/proc``. Callers are plain sockets in this process.
"""

__all__ = ["measure"]

import asyncio
import contextlib
import dataclasses
import json
import os
import statistics
import subprocess
import sys
from collections.abc import Callable, Iterator

from bench.relay_roles import KEY, MODEL, Load
from bench.report import Figure

STREAMS = 200
ROUNDS = 3
# Figures with a bound take more pairs, so that one busy second does not decide the
# median.
BOUND_ROUNDS = 5
ONE_TOKEN_PER_WRITE = Load(streams=STREAMS, ticks=100, burst=1, interval_s=0.02)
# The current 40 engines form 13 pipelines of three; each sends one message per step.
THIRTEEN_PIPELINES = dataclasses.replace(ONE_TOKEN_PER_WRITE, messages=13)
ONE_TOKEN_PER_MESSAGE = dataclasses.replace(
    ONE_TOKEN_PER_WRITE, messages=STREAMS, interval_s=0.05
)
BURSTS = Load(streams=STREAMS, ticks=100, burst=16, interval_s=0.05)
REQUESTS = Load(streams=1, ticks=1, burst=1, interval_s=0.0)
REQUEST_COUNT = 1000

MAX_CPU_RATIO_SINGLE = 1.3
MAX_CPU_RATIO_BURST = 1.0
MAX_MEMORY_MB = 128.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """A running role."""

    pid: int
    address: str

    def cpu_s(self) -> float:
        """Return the processor seconds used so far, user and system."""
        with open(f"/proc/{self.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        with open(f"/proc/{self.pid}/status") as file:
            line = next(line for line in file if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """Cost of one run.

    Attributes:
        entry_us: Processor time of entry or relay, in microseconds per unit.
        source_us: Processor time of agent or upstream, in microseconds per unit.
        idle_mb: Resident memory before the run, in MB.
        busy_mb: Resident memory with all streams open, in MB.
    """

    entry_us: float
    source_us: float
    idle_mb: float
    busy_mb: float


def measure() -> list[Figure]:
    """Return the figures of the entry and of the minimal relay."""
    figures: list[Figure] = []
    cases = [
        ("one token a write", ONE_TOKEN_PER_WRITE, MAX_CPU_RATIO_SINGLE),
        ("one token a write, 13 pipelines", THIRTEEN_PIPELINES, MAX_CPU_RATIO_SINGLE),
        ("one token a message", ONE_TOKEN_PER_MESSAGE, None),
        ("bursts of 16", BURSTS, MAX_CPU_RATIO_BURST),
    ]
    for name, load, bound in cases:
        figures += _compare(name, load, bound, _run_streams, "token")
    figures += _compare("requests", REQUESTS, None, _run_requests, "request")
    return figures


def _compare(
    name: str,
    load: Load,
    bound: float | None,
    run: Callable[[str, Load], _Cost],
    unit: str,
) -> list[Figure]:
    rounds = ROUNDS if bound is None else BOUND_ROUNDS
    pairs = [_pair(run, load, number) for number in range(rounds)]
    entry_costs = [pair[0] for pair in pairs]
    entry_us = statistics.median(cost.entry_us for cost in entry_costs)
    relay_us = statistics.median(cost.entry_us for _, cost in pairs)
    ratio = statistics.median(
        cost.entry_us / max(relay_cost.entry_us, 1e-9) for cost, relay_cost in pairs
    )
    figures = [
        Figure(f"relay/{name}/entry cpu per {unit}", entry_us, "us"),
        Figure(f"relay/{name}/bare relay cpu per {unit}", relay_us, "us"),
        Figure(f"relay/{name}/entry to bare relay", ratio, "ratio", high=bound),
        Figure(
            f"relay/{name}/token source over gRPC per {unit}",
            statistics.median(cost.source_us for cost in entry_costs),
            "us",
        ),
    ]
    if unit == "token":
        idle_mb = max(cost.idle_mb for cost in entry_costs)
        busy_mb = max(cost.busy_mb for cost in entry_costs)
        figures += [
            Figure(f"relay/{name}/entry memory idle", idle_mb, "MB"),
            Figure(
                f"relay/{name}/entry memory at {STREAMS} streams",
                busy_mb,
                "MB",
                high=MAX_MEMORY_MB,
            ),
        ]
    return figures


def _pair(
    run: Callable[[str, Load], _Cost], load: Load, number: int
) -> tuple[_Cost, _Cost]:
    """Measure the entry and the relay; odd runs measure the relay first."""
    if number % 2:
        relay_cost = run("relay", load)
        return run("entry", load), relay_cost
    return run("entry", load), run("relay", load)


def _run_streams(role: str, load: Load) -> _Cost:
    with _processes(role, load) as (frontend, source):
        return asyncio.run(_stream_cost(frontend, source, load))


def _run_requests(role: str, load: Load) -> _Cost:
    with _processes(role, load) as (frontend, source):
        return asyncio.run(_request_cost(frontend, source))


async def _stream_cost(frontend: _Process, source: _Process, load: Load) -> _Cost:
    idle_mb = frontend.memory_mb()
    conns = [await _send(frontend.address) for _ in range(load.streams)]
    firsts = await asyncio.gather(*(reader.readuntil(b"data: ") for reader, _ in conns))
    before, source_before = frontend.cpu_s(), source.cpu_s()
    busy_mb = frontend.memory_mb()
    bodies = await asyncio.gather(*(_read_all(reader) for reader, _ in conns))
    used, source_used = frontend.cpu_s() - before, source.cpu_s() - source_before
    busy_mb = max(busy_mb, frontend.memory_mb())
    _check_complete(firsts, bodies, load)
    for _, writer in conns:
        writer.close()
    tokens = load.streams * (load.ticks - 1) * load.burst
    return _Cost(1e6 * used / tokens, 1e6 * source_used / tokens, idle_mb, busy_mb)


async def _request_cost(frontend: _Process, source: _Process) -> _Cost:
    for _ in range(REQUEST_COUNT // 10):
        await _one_request(frontend.address)
    before, source_before = frontend.cpu_s(), source.cpu_s()
    for _ in range(REQUEST_COUNT):
        await _one_request(frontend.address)
    used, source_used = frontend.cpu_s() - before, source.cpu_s() - source_before
    scale = 1e6 / REQUEST_COUNT
    return _Cost(used * scale, source_used * scale, 0.0, frontend.memory_mb())


async def _one_request(address: str) -> None:
    reader, writer = await _send(address)
    await _read_all(reader)
    writer.close()


async def _send(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
    body = json.dumps({"model": MODEL, "prompt": "side 12", "stream": True})
    writer.write(
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    return reader, writer


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while not body.endswith(LAST_CHUNK):
        chunk = await reader.read(2**16)
        if not chunk:
            raise ConnectionError(
                f"connection closed before the last chunk, after {bytes(body[-200:])!r}"
            )
        body += chunk
    return bytes(body)


def _check_complete(firsts: list[bytes], bodies: list[bytes], load: Load) -> None:
    """Check that all answers are complete; the cost of partial ones means nothing."""
    expected = load.ticks * load.burst + 2
    for first, body in zip(firsts, bodies, strict=True):
        events = first.count(b"data: ") + body.count(b"data: ")
        if events != expected:
            raise ValueError(f"{events} events received; expected {expected}")


@contextlib.contextmanager
def _processes(role: str, load: Load) -> Iterator[tuple[_Process, _Process]]:
    """Start a role and its source of tokens; stop both at the end of the block."""
    source_role = {"entry": "agent", "relay": "upstream"}[role]
    with _process(source_role, load) as source:
        frontend_load = dataclasses.replace(load, address=source.address)
        with _process(role, frontend_load) as frontend:
            yield frontend, source


@contextlib.contextmanager
def _process(role: str, load: Load) -> Iterator[_Process]:
    args = [sys.executable, "-m", "bench.relay_roles", role, load.as_json()]
    child = subprocess.Popen(
        args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        yield _Process(pid=child.pid, address=child.stdout.readline().strip())
    finally:
        child.kill()
        child.communicate()
