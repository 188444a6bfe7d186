"""Recovery: time from a fault to work as before, and the share that is detection.

The nodes are those of the fault matrix, all in one process, with the daemons' own
default times. Times are reported; bounds are only on counts: epochs, terms and
connections that one fault costs, and answers that stay whole.
"""

__all__ = ["measure"]

import asyncio
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bench.report import Figure
from wigeonscale.testing.matrix.cluster import Cluster, wait_until
from wigeonscale.testing.matrix.load import (
    Answer,
    Outcome,
    apply_rules,
    request_completion,
    send_note,
)
from wigeonscale.testing.matrix.trial import wait_until_ready

RUNS = 20
TOKENS = 80
STEP_S = 0.002
SEEN = 20  # tokens after which the fault comes
ASK_AGAIN_S = 0.01
MS = 1000.0


@dataclass(frozen=True, slots=True)
class Sample:
    """One fault.

    Attributes:
        total_s: Seconds until work went on as before.
        detected_s: Seconds until the fault was acted upon.
        rounds: Epochs, terms or connections that it cost.
        whole: Whether every answer in progress came whole.
    """

    total_s: float
    detected_s: float
    rounds: int
    whole: bool = True


Scenario = Callable[[Cluster], Awaitable[Sample]]


async def _stream(cluster: Cluster) -> tuple[Answer, asyncio.Task]:
    """Return a stream that has given its first tokens, and its task."""
    answer = Answer(tag=f"page-{time.monotonic_ns()}", max_tokens=TOKENS)
    task = asyncio.create_task(request_completion(cluster, "e1", answer=answer))
    await wait_until(lambda: len(answer.texts) >= SEEN, "the first tokens")
    return answer, task


def _moving_again(answer: Answer, struck_at: float) -> float:
    """Return the seconds until the stream moved after its longest pause."""
    times = [struck_at] + [at for at in answer.token_times if at > struck_at]
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    longest = max(range(len(gaps)), key=gaps.__getitem__)
    return times[longest + 1] - struck_at


async def _elapsed(condition: Callable[[], object], struck_at: float) -> float:
    await wait_until(condition, "the detection")
    return time.monotonic() - struck_at


def _epoch(cluster: Cluster) -> int:
    leader = cluster.leader()
    return max((chain.epoch for chain in leader.daemon.state.chains), default=0)


async def _lost_stage(cluster: Cluster, *, cut: bool) -> Sample:
    stage = cluster.ready_stages()[1].agent_id
    members = cluster.leader().daemon.state.members
    incarnation, epoch = cluster.agents[stage].state.incarnation, _epoch(cluster)
    answer, task = await _stream(cluster)
    struck_at = time.monotonic()
    if cut:
        cluster.net.isolate(stage)
    else:
        await cluster.kill(stage)
    detected_s = await _elapsed(
        lambda: not members.is_announced(stage, incarnation), struck_at
    )
    await task
    rounds = _epoch(cluster) - epoch
    if cut:
        cluster.net.heal(stage)
    else:
        await cluster.restart(stage)
    total_s = _moving_again(answer, struck_at)
    return Sample(total_s, detected_s, rounds, answer.outcome is Outcome.WHOLE)


async def _killed_stage(cluster: Cluster) -> Sample:
    return await _lost_stage(cluster, cut=False)


async def _cut_stage(cluster: Cluster) -> Sample:
    return await _lost_stage(cluster, cut=True)


async def _silent_connection(cluster: Cluster) -> Sample:
    head = cluster.ready_stages()[0].agent_id
    [relay] = cluster.net.inbound_relays(head)
    answer, task = await _stream(cluster)
    connections = relay.accepted
    struck_at = time.monotonic()
    relay.stall_existing()
    detected_s = await _elapsed(lambda: relay.accepted > connections, struck_at)
    await task
    rounds = relay.accepted - connections
    relay.heal()
    total_s = _moving_again(answer, struck_at)
    return Sample(total_s, detected_s, rounds, answer.outcome is Outcome.WHOLE)


async def _lost_leader(cluster: Cluster) -> Sample:
    leader, base = cluster.leader().name, cluster.revision()
    others = [n.daemon.replica for n in cluster.controls.values() if n.name != leader]
    term = cluster.leader().daemon.replica.term
    struck_at = time.monotonic()
    await cluster.kill(leader)
    applied = asyncio.create_task(apply_rules(cluster, base))
    detected_s = await _elapsed(
        lambda: any(replica.role == "leader" for replica in others), struck_at
    )
    await applied
    total_s = time.monotonic() - struck_at
    rounds = max(replica.term for replica in others) - term
    await cluster.restart(leader)
    return Sample(total_s, detected_s, rounds)


async def _lost_service(cluster: Cluster) -> Sample:
    """The entry finds the loss by itself and calls the other server at once."""
    struck_at = time.monotonic()
    await cluster.kill("s0")
    refused, answered = 0, 0
    while answered < len(cluster.entries):
        answer = await send_note(cluster, f"e{answered + 1}")
        if answer.outcome is Outcome.WHOLE:
            answered += 1
            continue
        refused += 1
        await asyncio.sleep(ASK_AGAIN_S)
    total_s = time.monotonic() - struck_at
    await cluster.restart("s0")
    return Sample(total_s, total_s, refused)


@dataclass(frozen=True, slots=True)
class Fault:
    """What is measured of one fault.

    Attributes:
        name: Of the figures.
        run: Makes the fault once.
        rounds: What a round is.
        most: Most rounds that one fault may cost.
    """

    name: str
    run: Scenario
    rounds: str
    most: int


FAULTS = (
    Fault("killed stage", _killed_stage, "epochs", 2),
    Fault("cut stage", _cut_stage, "epochs", 2),
    Fault("silent connection", _silent_connection, "connections", 3),
    Fault("lost control leader", _lost_leader, "terms", 4),
    Fault("lost plain service", _lost_service, "refusals", 2),
)


async def _samples(fault: Fault) -> list[Sample]:
    with tempfile.TemporaryDirectory(prefix="wigeonscale-recovery-") as folder:
        cluster = Cluster(folder=folder)
        await cluster.start()
        await apply_rules(cluster, 0)
        for node in cluster.agents.values():
            if node.engine is not None:
                node.engine.step_s = STEP_S
        samples = []
        for _ in range(RUNS):
            await wait_until_ready(cluster)
            samples.append(await fault.run(cluster))
        await cluster.close()
    return samples


def _figures(fault: Fault, samples: list[Sample]) -> list[Figure]:
    name = f"recovery/{fault.name}"
    totals = [sample.total_s * MS for sample in samples]
    detected = statistics.median(sample.detected_s * MS for sample in samples)
    share = min(1.0, detected / statistics.median(totals))
    worst_rounds = max(sample.rounds for sample in samples)
    whole = sum(sample.whole for sample in samples) / len(samples)
    return [
        Figure(f"{name}/median", statistics.median(totals), "ms"),
        Figure(f"{name}/worst of {len(samples)}", max(totals), "ms"),
        Figure(f"{name}/share of detection", share, "ratio"),
        Figure(f"{name}/worst {fault.rounds}", worst_rounds, "count", high=fault.most),
        Figure(f"{name}/whole answers", whole, "ratio", low=1.0),
    ]


def measure() -> list[Figure]:
    """Make each fault ``RUNS`` times.

    Returns:
        Median and worst time, the share of detection and the rounds, per fault.
    """
    figures = []
    for fault in FAULTS:
        figures += _figures(fault, asyncio.run(_samples(fault)))
    return figures
