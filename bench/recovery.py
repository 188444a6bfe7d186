"""Recovery time after a fault, and the share of it that detection takes.

The cluster is that of the fault matrix, in one process, with the daemons' default
timeouts. Times are only reported; bounds are on counts: epochs, terms, connections and
refusals per fault, and the share of complete answers.
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
TOKENS_BEFORE_FAULT = 20
RETRY_DELAY_S = 0.01
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one fault.

    Attributes:
        total_s: Seconds until service was restored.
        detected_s: Seconds until the system reacted to the fault.
        disruptions: New epochs, terms or connections, or refusals, that it caused.
        complete: Whether the answer in progress was completed.
    """

    total_s: float
    detected_s: float
    disruptions: int
    complete: bool = True


Scenario = Callable[[Cluster], Awaitable[Sample]]


async def _start_stream(cluster: Cluster) -> tuple[Answer, asyncio.Task]:
    """Start a stream and wait for its first tokens; return the answer and its task."""
    answer = Answer(tag=f"page-{time.monotonic_ns()}", max_tokens=TOKENS)
    task = asyncio.create_task(request_completion(cluster, "e1", answer=answer))
    await wait_until(
        lambda: len(answer.texts) >= TOKENS_BEFORE_FAULT, "the first tokens"
    )
    return answer, task


def _resumed_after_s(answer: Answer, fault_at: float) -> float:
    """Return the seconds from the fault to the end of the stream's longest pause."""
    times = [fault_at] + [at for at in answer.token_times if at > fault_at]
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    longest = max(range(len(gaps)), key=gaps.__getitem__)
    return times[longest + 1] - fault_at


async def _seconds_until(condition: Callable[[], object], fault_at: float) -> float:
    await wait_until(condition, "the detection")
    return time.monotonic() - fault_at


def _max_epoch(cluster: Cluster) -> int:
    leader = cluster.leader()
    return max((chain.epoch for chain in leader.daemon.state.chains), default=0)


async def _lost_stage(cluster: Cluster, *, isolated: bool) -> Sample:
    stage = cluster.ready_stages()[1].agent_id
    members = cluster.leader().daemon.state.members
    incarnation, epoch = cluster.agents[stage].state.incarnation, _max_epoch(cluster)
    answer, task = await _start_stream(cluster)
    fault_at = time.monotonic()
    if isolated:
        cluster.net.isolate(stage)
    else:
        await cluster.kill(stage)
    detected_s = await _seconds_until(
        lambda: not members.is_announced(stage, incarnation), fault_at
    )
    await task
    disruptions = _max_epoch(cluster) - epoch
    if isolated:
        cluster.net.heal(stage)
    else:
        await cluster.restart(stage)
    total_s = _resumed_after_s(answer, fault_at)
    return Sample(total_s, detected_s, disruptions, answer.outcome is Outcome.WHOLE)


async def _killed_stage(cluster: Cluster) -> Sample:
    return await _lost_stage(cluster, isolated=False)


async def _isolated_stage(cluster: Cluster) -> Sample:
    return await _lost_stage(cluster, isolated=True)


async def _silent_connection(cluster: Cluster) -> Sample:
    head = cluster.ready_stages()[0].agent_id
    [relay] = cluster.net.inbound_relays(head)
    answer, task = await _start_stream(cluster)
    connections = relay.accepted
    fault_at = time.monotonic()
    relay.stall_existing()
    detected_s = await _seconds_until(lambda: relay.accepted > connections, fault_at)
    await task
    disruptions = relay.accepted - connections
    relay.heal()
    total_s = _resumed_after_s(answer, fault_at)
    return Sample(total_s, detected_s, disruptions, answer.outcome is Outcome.WHOLE)


async def _lost_leader(cluster: Cluster) -> Sample:
    leader, base = cluster.leader().name, cluster.revision()
    others = [n.daemon.replica for n in cluster.controls.values() if n.name != leader]
    term = cluster.leader().daemon.replica.term
    fault_at = time.monotonic()
    await cluster.kill(leader)
    applied = asyncio.create_task(apply_rules(cluster, base))
    detected_s = await _seconds_until(
        lambda: any(replica.role == "leader" for replica in others), fault_at
    )
    await applied
    total_s = time.monotonic() - fault_at
    disruptions = max(replica.term for replica in others) - term
    await cluster.restart(leader)
    return Sample(total_s, detected_s, disruptions)


async def _lost_service(cluster: Cluster) -> Sample:
    """Kill a plain backend server; the entry detects it and fails over itself."""
    fault_at = time.monotonic()
    await cluster.kill("s0")
    refused, answered = 0, 0
    while answered < len(cluster.entries):
        answer = await send_note(cluster, f"e{answered + 1}")
        if answer.outcome is Outcome.WHOLE:
            answered += 1
            continue
        refused += 1
        await asyncio.sleep(RETRY_DELAY_S)
    total_s = time.monotonic() - fault_at
    await cluster.restart("s0")
    return Sample(total_s, total_s, refused)


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of fault.

    Attributes:
        name: Name in the figures.
        run: Injects the fault once.
        disruption: What is counted as a disruption, for example ``"epochs"``.
        max_disruptions: Most disruptions that one fault may cause.
    """

    name: str
    run: Scenario
    disruption: str
    max_disruptions: int


FAULTS = (
    Fault("killed stage", _killed_stage, "epochs", 2),
    Fault("cut stage", _isolated_stage, "epochs", 2),
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
    totals = [sample.total_s * MS_PER_S for sample in samples]
    detected = statistics.median(sample.detected_s * MS_PER_S for sample in samples)
    share = min(1.0, detected / statistics.median(totals))
    worst_disruptions = max(sample.disruptions for sample in samples)
    complete = sum(sample.complete for sample in samples) / len(samples)
    return [
        Figure(f"{name}/median", statistics.median(totals), "ms"),
        Figure(f"{name}/worst of {len(samples)}", max(totals), "ms"),
        Figure(f"{name}/share of detection", share, "ratio"),
        Figure(
            f"{name}/worst {fault.disruption}",
            worst_disruptions,
            "count",
            high=fault.max_disruptions,
        ),
        Figure(f"{name}/whole answers", complete, "ratio", low=1.0),
    ]


def measure() -> list[Figure]:
    """Inject each fault ``RUNS`` times.

    Returns:
        Per fault the median and worst time, the share of detection, the most
        disruptions and the share of complete answers.
    """
    figures = []
    for fault in FAULTS:
        figures += _figures(fault, asyncio.run(_samples(fault)))
    return figures
