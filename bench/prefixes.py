"""Prefix cache hits of the dispatch path, with and without cache events.

Real agents with fake engines run on loopback; entries consist of the daemons' links,
chooser and prefix view. An engine caches few prefixes and skips the computation of a
cached one. The baseline is the same path without cache events: affinity by hash only.
As in Korrekturhuset's pool, few prefixes are popular.
"""

__all__ = ["measure"]

import asyncio
import random
import time
from dataclasses import dataclass

from bench.pipeline import CleanupStack
from bench.report import Figure
from wigeonscale.adapters import open_channel
from wigeonscale.agent.tests.support import FakeControl, Node, make_chain
from wigeonscale.dispatch import AgentLinks, AnswerRecord, DispatchStream, Target
from wigeonscale.ports import EngineInfo, SystemClock
from wigeonscale.routing import Candidate, Chooser, LoadTable, PrefixView
from wigeonscale.testing import rpcs_ended
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire

SEED = 31
AGENTS = 8
ENTRIES = 3
SLOTS = 8
PREFIXES = 120
PREFIX_SLOTS = 12
PREFIX_WORDS = 40
PROMPT_WORDS = 60
TOKENS = 6
REQUESTS = 4000
WARM_UP = 1000
# Concurrent requests as a share of all slots.
LOADS = (0.5, 0.9)
STEP_S = 0.001
POSITION_S = 0.0002


def measure() -> list[Figure]:
    """Return the hit rates and throughputs."""
    figures = []
    for load in LOADS:
        with_events = asyncio.run(_run(load, has_view=True))
        without_events = asyncio.run(_run(load, has_view=False))
        name = f"prefixes/{load:g}"
        figures += [
            Figure(f"{name}/hits", with_events.hits, "share"),
            Figure(f"{name}/hits/without_events", without_events.hits, "share"),
            Figure(
                f"{name}/hits_gain",
                with_events.hits / without_events.hits,
                "ratio",
                low=0.97,
            ),
            Figure(
                f"{name}/throughput_gain",
                with_events.rate / without_events.rate,
                "ratio",
            ),
        ]
    return figures


@dataclass(frozen=True, slots=True)
class _Outcome:
    hits: float
    rate: float


class _Entry:
    """The parts of an entry that choose an agent and read its answer."""

    def __init__(self, *, name: str, seed: int, chains, has_view: bool):
        clock = SystemClock()
        self._table = LoadTable(clock=clock)
        view = PrefixView()
        self._chooser = Chooser(
            table=self._table,
            rng=random.Random(seed),
            view=view if has_view else None,
        )
        self._chains = chains
        self._candidates = tuple(
            Candidate(agent_id, agent_id, 1.0, "d") for agent_id in chains
        )
        self.links = AgentLinks(
            entry_id=name,
            clock=clock,
            on_load=self._table.update_load,
            on_prefixes=view.take,
        )

    async def serve(self, dispatch_id: str, prompt: bytes) -> None:
        agent_id = self._chooser.choose(self._candidates, prefix=prompt).agent_id
        chain = self._chains[agent_id]
        head = chain.stages[0]
        work = wire.Generate(chain=chain, prompt=prompt, max_tokens=TOKENS)
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=Target(agent_id, head.incarnation, head.address),
            organisation="o",
            record=AnswerRecord(),
            opening=wire.Open(
                dispatch_id=dispatch_id,
                agent_incarnation=head.incarnation,
                organisation="o",
                generate=work,
            ),
        )
        self._table.started(agent_id, "o")
        self.links.add_stream(stream)
        while await stream.read():
            pass
        if stream.error is not None:
            raise stream.error
        stream.detach()
        self._table.finished(agent_id, "o")


async def _run(load: float, *, has_view: bool) -> _Outcome:
    case = CleanupStack()
    case.addCleanup(rpcs_ended)
    nodes = [await _start_node(case, number) for number in range(AGENTS)]
    chains = {node.name: make_chain([node], epoch=1) for node in nodes}
    for name, chain in chains.items():
        chain.chain_id = name
    entries = [
        _Entry(name=f"e{n}", seed=SEED + n, chains=chains, has_view=has_view)
        for n in range(ENTRIES)
    ]
    caches = [node.engine.prefixes for node in nodes]
    rng = random.Random(SEED)
    slots = asyncio.Semaphore(round(load * AGENTS * SLOTS))
    before, began = (0, 0), 0.0

    async def request(number: int) -> None:
        prompt = _prompt(int(PREFIXES * rng.random() ** 3), number)
        try:
            await entries[number % ENTRIES].serve(f"d{number}@x", prompt)
        finally:
            slots.release()

    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            await slots.acquire()
            if number == WARM_UP:
                before, began = _hit_counts(caches), time.monotonic()
            group.create_task(request(number))
    seconds = time.monotonic() - began
    hits, misses = (a - b for a, b in zip(_hit_counts(caches), before, strict=True))
    for entry in entries:
        await entry.links.close()
    await case.run()
    return _Outcome(hits / (hits + misses), (REQUESTS - WARM_UP) / seconds)


async def _start_node(case: CleanupStack, number: int) -> Node:
    engine = FakeEngine(
        name=f"a{number}",
        info=EngineInfo(model="m", first_layer=0, last_layer=1),
        step_s=STEP_S,
        position_s=POSITION_S,
        prefix_slots=PREFIX_SLOTS,
    )
    node = Node(
        name=engine.name,
        control=FakeControl(),
        engine=engine,
        slots=SLOTS,
        dial=open_channel,
    )
    await node.start()
    case.addCleanup(node.stop)
    return node


def _hit_counts(caches) -> tuple[int, int]:
    return sum(c.hits for c in caches), sum(c.misses for c in caches)


def _prompt(prefix: int, number: int) -> bytes:
    words = [f"guide-{prefix:03}"] * PREFIX_WORDS
    words += [f"page-{number}"] * (PROMPT_WORDS - PREFIX_WORDS)
    return " ".join(words).encode()
