"""Cost of open streams, tokens and requests at the entry and at the agent.

The entry runs the daemon's code between HTTP callers and an agent that sends constant
tokens (``bench.relay_roles``). The agent is the daemon with a fake engine, and this
process acts as its entry.
"""

__all__ = ["measure"]

import asyncio
import contextlib
import json
import uuid
from collections.abc import AsyncIterator

import aiohttp
import grpc

from bench.relay_roles import KEY, MODEL, Load
from bench.slopes.daemons import agent, control_group, engine
from bench.slopes.fit import Slope, fit
from bench.slopes.members import document
from bench.slopes.processes import Child, measure_cpu, run_folder, start_driver
from wigeonscale.adapters.channels import open_channel
from wigeonscale.membership import ControlClient
from wigeonscale.ports import SystemClock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

SIZES = (100, 200, 400)
REQUESTS = (250, 500, 1_000)
STREAMS = 200
TICKS = (20, 60, 120)
BURST = 16
INTERVAL_S = 0.05
SLOTS = 1_000
STEP_MS = 20
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
LAYERS = 12
ROLES = "bench.relay_roles"
DONE_EVENT = b"data: [DONE]"
PROMPT = "side 12"
PROMPTS_KB = (1, 8, 16)
BYTES_PER_KB = 1024


async def measure() -> list[Slope]:
    """Measure the entry with single tokens and with bursts, then the agent."""
    slopes = []
    for name, burst in (("singly", 1), (f"in bursts of {BURST}", BURST)):
        slopes += await _entry_tokens(name, burst)
    slopes += [await _entry_memory(), await _entry_prompts(), await _entry_requests()]
    return slopes + await _agent()


async def _entry_tokens(name: str, burst: int) -> list[Slope]:
    cpu, memory = [], []
    for ticks in TICKS:
        load = Load(streams=STREAMS, ticks=ticks, burst=burst, interval_s=INTERVAL_S)
        used_us, _, peak_mb = await _entry_run(load)
        cpu.append((STREAMS * ticks * burst, used_us))
        memory.append((STREAMS * ticks * burst, 1024 * peak_mb))
    return [
        fit(f"entry, tokens {name}: cpu", "token", "us", cpu),
        fit(f"entry, tokens {name}: memory at most", "token kept", "KB", memory),
    ]


async def _entry_memory() -> Slope:
    points = []
    for count in SIZES:
        load = Load(streams=count, ticks=TICKS[0], burst=1, interval_s=INTERVAL_S)
        _, idle_mb, peak_mb = await _entry_run(load)
        if not points:
            points.append((0, idle_mb))
        points.append((count, peak_mb))
    name = f"entry, streams of {TICKS[0]} tokens: memory at most"
    return fit(name, "open stream", "MB", points)


async def _entry_prompts() -> Slope:
    points = []
    load = Load(streams=STREAMS, ticks=TICKS[0], burst=1, interval_s=INTERVAL_S)
    for length_kb in PROMPTS_KB:
        prompt = "x" * (BYTES_PER_KB * length_kb)
        _, _, peak_mb = await _entry_run(load, prompt)
        points.append((STREAMS * length_kb, 1024 * peak_mb))
    name = f"entry, prompts of {STREAMS} streams: memory at most"
    return fit(name, "KB of prompt", "KB", points)


async def _entry_run(load: Load, prompt: str = PROMPT) -> tuple[float, float, float]:
    """Return processor microseconds, and memory before and at peak in MB."""
    async with _entry(load) as (child, url):
        before = child.usage()
        work = await measure_cpu({"entry": child}, _call_all(url, load, prompt))
        return 1e6 * work.cpu_s["entry"], before.rss_mb, child.usage().peak_mb


async def _entry_requests() -> Slope:
    cpu = [(0.0, 0.0)]
    load = Load(streams=1, ticks=1, burst=1, interval_s=0.0)
    async with _entry(load) as (child, url):
        for count in REQUESTS:
            work = await measure_cpu({"entry": child}, _call_in_turn(url, count))
            cpu.append((count, 1e6 * work.cpu_s["entry"]))
    return fit("entry, requests of one token: cpu", "request", "us", cpu)


@contextlib.asynccontextmanager
async def _entry(load: Load) -> AsyncIterator[tuple[Child, str]]:
    with run_folder() as folder:
        args = ("agent", load.as_json())
        async with start_driver(folder, "source", ROLES, *args) as source:
            address = await _address(source)
            entry_load = json.dumps(json.loads(load.as_json()) | {"address": address})
            async with start_driver(
                folder, "entry", ROLES, "entry", entry_load
            ) as child:
                yield child, f"http://{await _address(child)}/v1/completions"


async def _address(child: Child) -> str:
    return (await child.proc.stdout.readline()).decode().strip()


async def _call_all(url: str, load: Load, prompt: str) -> None:
    async with _session() as http:
        tokens = load.ticks * load.burst
        calls = [_call(http, url, tokens, prompt) for _ in range(load.streams)]
        await asyncio.gather(*calls)


async def _call_in_turn(url: str, count: int) -> None:
    async with _session() as http:
        for _ in range(count):
            await _call(http, url, 1)


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    headers = {"Authorization": f"Bearer {KEY}"}
    return aiohttp.ClientSession(connector=connector, headers=headers)


async def _call(
    http: aiohttp.ClientSession, url: str, tokens: int, prompt: str = PROMPT
) -> None:
    body = {"model": MODEL, "prompt": prompt, "stream": True}
    async with http.post(url, json=body) as answer:
        data = await answer.read()
    # One event per token, one with the token count, and the final one.
    events = data.count(b"data: ")
    if DONE_EVENT not in data or events != tokens + 2:
        raise RuntimeError(
            f"{events} events received; expected {tokens + 2}: {data[-200:]}"
        )


async def _agent() -> list[Slope]:
    with run_folder() as folder:
        options = ("--step-ms", str(STEP_MS), "--layer-capacity", str(LAYERS))
        options += ("--slots", str(SLOTS))
        async with (
            control_group(folder, 1) as group,
            engine(folder, "engine", "m", *options) as (_, backend),
            agent(folder, "agent", group.grpc, backend, slots=SLOTS) as (child, _),
        ):
            await group.apply(0, document=document(10))
            async with _chain(group.grpc) as chain:
                return await _agent_slopes(child, chain)


async def _agent_slopes(child: Child, chain: wire.Chain) -> list[Slope]:
    roles = {"agent": child}
    memory = [(0, child.usage().rss_mb)]
    for count in SIZES:
        await _dispatch(chain, count, TICKS[0])
        memory.append((count, child.usage().peak_mb))
    by_streams = {}
    for count in (1, STREAMS):
        line = by_streams[count] = []
        for tokens in TICKS:
            work = await measure_cpu(roles, _dispatch(chain, count, tokens))
            line.append((count * tokens, 1e6 * work.cpu_s["agent"]))
    requests = []
    for count in REQUESTS:
        work = await measure_cpu(roles, _dispatch_in_turn(chain, count // 10))
        requests.append((count // 10, 1e6 * work.cpu_s["agent"]))
    many = f"agent, {STREAMS} sequences an iteration: cpu"
    return [
        fit("agent, 1 sequence an iteration: cpu", "token", "us", by_streams[1]),
        fit(many, "token", "us", by_streams[STREAMS]),
        fit("agent: memory at most", "open stream", "MB", memory),
        fit("agent, requests of one token: cpu", "request", "us", requests),
    ]


@contextlib.asynccontextmanager
async def _chain(control: tuple[str, ...]) -> AsyncIterator[wire.Chain]:
    """Yield a ready chain, received from the control replicas as by an entry."""
    client = ControlClient(
        node_id="bench", role="entry", addresses=control, clock=SystemClock()
    )
    task = asyncio.create_task(client.run())
    try:
        yield await _ready_chain(client)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _ready_chain(client: ControlClient) -> wire.Chain:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            ready = [chain for chain in client.members.chains_of("p") if chain.ready]
            if ready:
                return ready[0]
            await asyncio.sleep(POLL_S)


async def _dispatch(chain: wire.Chain, count: int, tokens: int) -> None:
    """Open concurrent dispatches on one stream and read all their tokens."""
    head = chain.stages[0]
    async with open_channel(head.address) as channel:
        call = wire_pb2_grpc.AgentStub(channel).Dispatch()
        await call.write(wire.DispatchRequest(hello=wire.EntryHello(entry_id="bench")))
        await _run_dispatches(call, chain, count, tokens)
        call.cancel()


async def _dispatch_in_turn(chain: wire.Chain, count: int) -> None:
    head = chain.stages[0]
    async with open_channel(head.address) as channel:
        call = wire_pb2_grpc.AgentStub(channel).Dispatch()
        await call.write(wire.DispatchRequest(hello=wire.EntryHello(entry_id="bench")))
        for _ in range(count):
            await _run_dispatches(call, chain, 1, 1)
        call.cancel()


async def _run_dispatches(
    call: grpc.aio.StreamStreamCall, chain: wire.Chain, count: int, tokens: int
) -> None:
    for _ in range(count):
        await call.write(wire.DispatchRequest(open=_open(chain, tokens)))
    done = received = 0
    while done < count:
        event = await call.read()
        for item in event.items:
            kind = item.WhichOneof("body")
            if kind == "refused":
                raise RuntimeError(f"{item.refused.kind}: {item.refused.message}")
            received += len(item.tokens.texts)
            done += kind == "done"
    if received != count * tokens:
        raise RuntimeError(f"{received} tokens received; expected {count * tokens}")


def _open(chain: wire.Chain, tokens: int) -> wire.Open:
    head = chain.stages[0]
    name = f"{uuid.uuid4().hex}@{head.agent_id}"
    work = wire.Generate(chain=chain, prompt=PROMPT.encode(), max_tokens=tokens)
    return wire.Open(
        dispatch_id=name,
        request_id=name,
        organisation="o1",
        agent_incarnation=head.incarnation,
        generate=work,
    )
