"""Chunked prefill: gaps between tokens of running streams beside long prompts.

Three stages with equal engines run on loopback; an iteration takes time per position.
The baseline prefills a prompt in one iteration. One load is a single long prompt at a
time; the other is a steady stream of medium prompts, which shows the cost of chunks in
throughput. A third measurement is the gap after a planned change of a stage, when every
running sequence is prefilled again on the changed chain.
"""

__all__ = ["measure"]

import asyncio
import itertools
import statistics
import time
from dataclasses import dataclass
from unittest import mock

from bench.pipeline import CleanupStack
from bench.queues import percentile
from bench.report import Figure
from wigeonscale.agent.tests.support import (
    EntryClient,
    connect,
    make_chain,
    start_chain,
)
from wigeonscale.pipelines.constants import MAX_POSITIONS_PER_ITERATION
from wigeonscale.pipelines.cost import IterationCost

STEP_S = 0.002
POSITION_S = 0.0001
STREAMS = 24
TOKENS = 150
LONG_PROMPTS = 3
LONG_WORDS = 3000
PROMPTS = 48
PROMPT_WORDS = 600
PROMPT_TOKENS = 40
CHANGE_STREAMS = 8
REPREFILL_S = CHANGE_STREAMS * PROMPT_WORDS * POSITION_S
"""Seconds that one stage needs to prefill the prompts of all running streams."""


@dataclass(frozen=True, slots=True)
class _StreamGaps:
    """Gaps and time to first token beside long prompts, in seconds."""

    gap_p95: float
    gap_worst: float
    first_token: float


def measure() -> list[Figure]:
    """Return gaps, times to first token and throughput, with and without chunks."""
    chunked = asyncio.run(_gaps_beside_long_prompts())
    rate = asyncio.run(_many_prompts())
    change = asyncio.run(_planned_change())
    unchunked_prompts = mock.patch.object(
        IterationCost,
        "positions_within",
        lambda cost, seconds: MAX_POSITIONS_PER_ITERATION,
    )
    with unchunked_prompts:
        unchunked = asyncio.run(_gaps_beside_long_prompts())
        unchunked_rate = asyncio.run(_many_prompts())
    return [
        *_figures("prefill/parts", chunked),
        *_figures("prefill/whole", unchunked),
        Figure(
            "prefill/gap_p95_ratio",
            chunked.gap_p95 / unchunked.gap_p95,
            "ratio",
            high=0.25,
        ),
        Figure(
            "prefill/gap_worst_ratio", chunked.gap_worst / unchunked.gap_worst, "ratio"
        ),
        Figure("prefill/rate_ratio", rate / unchunked_rate, "ratio", low=0.9),
        Figure("prefill/planned_change/gap_median", change * 1000, "ms"),
        Figure(
            "prefill/planned_change/gap_to_work",
            change / REPREFILL_S,
            "ratio",
            high=4,
        ),
    ]


def _figures(name: str, found: _StreamGaps) -> list[Figure]:
    return [
        Figure(f"{name}/gap_p95", found.gap_p95 * 1000, "ms"),
        Figure(f"{name}/gap_worst", found.gap_worst * 1000, "ms"),
        Figure(f"{name}/first_token", found.first_token * 1000, "ms"),
    ]


class _TimedClient(EntryClient):
    """Records the arrival times of each dispatch's tokens."""

    def __init__(self, node):
        super().__init__(node)
        self.times: dict[str, list[float]] = {}

    def on_item(self, item) -> None:
        if item.WhichOneof("body") == "tokens":
            self.times.setdefault(item.dispatch_id, []).append(time.monotonic())


async def _gaps_beside_long_prompts() -> _StreamGaps:
    case = CleanupStack()
    _, nodes, chain = await start_chain(case, slots=64, **_costs())
    client = _TimedClient(nodes[0])
    case.addCleanup(client.close)
    ids = [await client.generate(chain, b"a page", TOKENS) for _ in range(STREAMS)]
    await client.wait(lambda: len(client.times) == STREAMS)
    await client.wait(lambda: all(len(client.times[i]) > 10 for i in ids))
    began = time.monotonic()
    first_tokens = []
    for number in range(LONG_PROMPTS):
        sent_at = time.monotonic()
        long = await client.generate(chain, _prompt(number, LONG_WORDS), 1)
        await client.end(long)
        first_tokens.append(client.times[long][0] - sent_at)
    ended = time.monotonic()
    await _wait_all(client, ids)
    gaps = [
        later - earlier
        for i in ids
        for earlier, later in itertools.pairwise(client.times[i])
        if later > began and earlier < ended
    ]
    await case.run()
    return _StreamGaps(
        percentile(gaps, 0.95), max(gaps), sum(first_tokens) / len(first_tokens)
    )


async def _many_prompts() -> float:
    """Return the answers per second with enough prompts to keep the engines busy."""
    case = CleanupStack()
    _, nodes, chain = await start_chain(case, slots=16, **_costs())
    client = await connect(case, nodes[0])
    began = time.monotonic()
    prompts = [_prompt(number, PROMPT_WORDS) for number in range(PROMPTS)]
    ids = [await client.generate(chain, prompt, PROMPT_TOKENS) for prompt in prompts]
    await _wait_all(client, ids)
    rate = PROMPTS / (time.monotonic() - began)
    await case.run()
    return rate


async def _planned_change() -> float:
    """Return the median over streams of the longest gap, in seconds."""
    case = CleanupStack()
    control, nodes, chain = await start_chain(case, slots=64, spares=1, **_costs())
    n0, _, n2, spare = nodes
    client = _TimedClient(n0)
    case.addCleanup(client.close)
    ids = [
        await client.generate(chain, _prompt(number, PROMPT_WORDS), TOKENS)
        for number in range(CHANGE_STREAMS)
    ]
    await client.wait(lambda: all(len(client.times.get(i, ())) > 10 for i in ids))
    control.set_chain(make_chain([n0, spare, n2], epoch=2))
    await _wait_all(client, ids)
    times = [client.times[i][10:] for i in ids]
    longest = [max(b - a for a, b in itertools.pairwise(t)) for t in times]
    await case.run()
    return statistics.median(longest)


async def _wait_all(client: EntryClient, ids: list[str]) -> None:
    for dispatch_id in ids:
        await client.end(dispatch_id)


def _costs() -> dict[str, float]:
    return {"step_s": STEP_S, "position_s": POSITION_S}


def _prompt(number: int, words: int) -> bytes:
    return " ".join(f"w{number}-{n}" for n in range(words)).encode()
