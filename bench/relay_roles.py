"""Processes of the relay benchmark, one per role.

Usage: ``python -m bench.relay_roles ROLE JSON``, where JSON holds the fields of
:class:`Load`. Prints its address, then serves until standard input is closed.
"""

__all__ = ["KEY", "MODEL", "TOKEN_TEXT", "Load", "main"]

import asyncio
import json
import sys
from dataclasses import asdict, dataclass

import aiohttp
from aiohttp import web

from wigeonscale.adapters import bound_address, new_server
from wigeonscale.config import EntrySettings
from wigeonscale.daemons.entry import build_entry
from wigeonscale.entry import CallerServer
from wigeonscale.entry.sse import EventEncoder, Shape
from wigeonscale.membership import MembersView
from wigeonscale.ports import SystemClock
from wigeonscale.rules import Ruleset, parse_document
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc as wire_grpc

KEY = "bench"
MODEL = "proof-12"
TOKEN_TEXT = "korrektur "
LOOPBACK = "127.0.0.1:0"
RULES = f"""\
[organisation bench]
keys = {KEY}

[pipeline proof]
model = {MODEL}
layers = 12

[rule all]
when = always
then = route pipeline proof
"""


@dataclass(frozen=True, slots=True)
class Load:
    """Tokens that the source sends.

    Attributes:
        streams: Number of streams; the first token is sent when all are open.
        ticks: Writes per stream.
        burst: Tokens per write.
        interval_s: Seconds between writes of a stream.
        messages: Messages per tick, which together carry the tokens of all streams.
        address: Address of the source; empty for a source.
    """

    streams: int
    ticks: int
    burst: int
    interval_s: float
    messages: int = 1
    address: str = ""

    def as_json(self) -> str:
        """Return the load as the JSON argument of a role."""
        return json.dumps(asdict(self))


class _Barrier:
    """Releases waiting streams together once all of them wait; reusable."""

    def __init__(self, *, load: Load):
        self._load = load
        self._waiting: list[asyncio.Future] = []

    async def wait(self) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        if len(self._waiting) == self._load.streams:
            waiting, self._waiting = self._waiting, []
            for each in waiting:
                each.set_result(None)
        await fut


class _TokenAgent(wire_grpc.AgentServicer):
    """An agent that sends constant tokens, without an engine."""

    def __init__(self, *, load: Load):
        self._load = load
        self._open: list[str] = []

    async def Dispatch(self, requests, context):  # noqa: N802
        async for req in requests:
            if req.WhichOneof("body") != "open":
                continue
            self._open.append(req.open.dispatch_id)
            if len(self._open) == self._load.streams:
                ids, self._open = self._open, []
                await asyncio.sleep(self._load.interval_s)
                async for event in self._events(ids):
                    yield event

    async def _events(self, ids: list[str]):
        load = self._load
        groups = [ids[number :: load.messages] for number in range(load.messages)]
        for tick in range(load.ticks):
            run = wire.TokenRun(texts=[TOKEN_TEXT] * load.burst, ids=[7] * load.burst)
            setattr(run, "from", tick * load.burst)
            for group in groups:
                yield _event(group, tokens=run)
            await asyncio.sleep(load.interval_s)
        done = wire.Done(tokens=load.ticks * load.burst, finish_reason="stop")
        yield _event(ids, done=done)


def _event(ids: list[str], **body) -> wire.DispatchEvent:
    items = [wire.DispatchItem(dispatch_id=each, **body) for each in ids]
    load = wire.LoadWord(running=len(ids), slots=1000)
    return wire.DispatchEvent(items=items, load=load)


async def serve_agent(load: Load) -> tuple[str, object]:
    """Serve tokens over gRPC; return the address and the server."""
    server, address = new_server(LOOPBACK)
    wire_grpc.add_AgentServicer_to_server(_TokenAgent(load=load), server)
    await server.start()
    return address, server


class _StaticControl:
    """Control client with rules and members that never change."""

    entries = 1

    def __init__(self, *, agent_address: str):
        self.document = parse_document(RULES)
        self.ruleset = Ruleset.from_document(self.document)
        self.members = MembersView()
        stage = wire.Stage(agent_id="a1", incarnation=1, address=agent_address)
        chain = wire.Chain(
            chain_id="c1", pipeline="proof", stages=[stage], ready=True, rate=1.0
        )
        backend = wire.Backend(agent_id="a1", incarnation=1, address=agent_address)
        self.members.apply(wire.MembersUpdate(backends=[backend], chains=[chain]))

    def lease_valid(self) -> bool:
        return True


async def serve_entry(load: Load) -> tuple[str, object]:
    """Serve callers with the entry's code; return the address and the server."""
    cfg = EntrySettings(
        name="e1", domain="d", http=LOOPBACK, listen=LOOPBACK, control=()
    )
    control = _StaticControl(agent_address=load.address)
    entry = build_entry(cfg, control=control, clock=SystemClock())
    server = CallerServer(entry=entry, address=LOOPBACK)
    await server.start()
    return server.address, server


async def serve_upstream(load: Load) -> tuple[str, object]:
    """Serve the same events as one HTTP response per caller."""
    barrier = _Barrier(load=load)

    async def stream(req: web.Request) -> web.StreamResponse:
        await req.read()
        await barrier.wait()
        encoder = EventEncoder(
            request_id="0" * 23, shape=Shape.COMPLETION, model=MODEL, created=0
        )
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        for _ in range(load.ticks):
            await asyncio.sleep(load.interval_s)
            await resp.write(encoder.tokens([TOKEN_TEXT] * load.burst))
        await resp.write(encoder.final_event("stop"))
        return resp

    return await _serve_http(stream)


async def serve_relay(load: Load) -> tuple[str, object]:
    """Relay one upstream response per caller with aiohttp, and do nothing else."""
    http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    url = f"http://{load.address}/"

    async def relay(req: web.Request) -> web.StreamResponse:
        async with http.post(url, data=await req.read()) as upstream:
            resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await resp.prepare(req)
            async for chunk in upstream.content.iter_any():
                await resp.write(chunk)
            await resp.write_eof()
        return resp

    return await _serve_http(relay)


async def _serve_http(handler) -> tuple[str, web.AppRunner]:
    app = web.Application()
    app.router.add_post("/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    return bound_address(runner), runner


ROLES = {
    "agent": serve_agent,
    "entry": serve_entry,
    "upstream": serve_upstream,
    "relay": serve_relay,
}


async def _run(role: str, load: Load) -> None:
    address, server = await ROLES[role](load)
    print(address, flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)
    del server


def main(args: list[str]) -> None:
    """Serve one role until standard input is closed."""
    asyncio.run(_run(args[0], Load(**json.loads(args[1]))))


if __name__ == "__main__":
    main(sys.argv[1:])
