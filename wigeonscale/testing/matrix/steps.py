"""The steps of the matrix: the operation in progress when a fault is injected."""

__all__ = ["ISOLATED_ORDERS", "STEPS", "Step"]

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.testing.matrix.backends import Moment
from wigeonscale.testing.matrix.cluster import SNAPSHOT_ENTRIES, wait_until
from wigeonscale.testing.matrix.load import apply_rules, drain
from wigeonscale.testing.matrix.relay import Direction
from wigeonscale.testing.matrix.trial import Trial
from wigeonscale.testing.traces import Violation

# Prompts have four pieces, and the prefill yields the first token.
PROMPT_PIECES = 4
DECODE_POSITION = 10
MAX_TOKENS = 24
ACCEPTED, CONFLICT = 200, 409
# New work may be refused while the only replica of the pipeline lacks a stage.
NOT_RUN_ONLY = frozenset({RunState.NOT_RUN})
LAST_POSITION = PROMPT_PIECES + MAX_TOKENS - 2


@dataclass(frozen=True, slots=True)
class Step:
    """One step.

    Attributes:
        name: Column of the table, or a variant of one.
        run: Brings the system to the step and arranges the fault.
        roles: Target nodes of the fault, with one run for each.
    """

    name: str
    run: Callable[[Trial], Awaitable[None]]
    roles: tuple[str, ...]


async def _dispatch(trial: Trial) -> None:
    await trial.inject(trial.stage())
    await trial.traffic()


async def _prefill(trial: Trial) -> None:
    def matches(moment: Moment) -> bool:
        return moment.step == "prefill" and moment.node == trial.stage()

    trial.inject_at(matches)
    await trial.traffic()


async def _decode(trial: Trial) -> None:
    def matches(moment: Moment) -> bool:
        at_position = moment.position == DECODE_POSITION
        return at_position and moment.node == trial.stage()

    trial.inject_at(matches)
    await trial.traffic()


async def _last_token(trial: Trial) -> None:
    def matches(moment: Moment) -> bool:
        return moment.position == LAST_POSITION and moment.node == trial.stage()

    trial.inject_at(matches)
    await trial.traffic()


async def _claim(trial: Trial) -> None:
    trial.inject_at_command("claim")
    await trial.traffic()


async def _claimed(trial: Trial) -> None:
    trial.inject_at_command("claim", after=True)
    await trial.traffic()


async def _call(trial: Trial) -> None:
    trial.inject_at(lambda moment: moment.step == "call")
    await trial.traffic()


async def _outcome(trial: Trial) -> None:
    trial.inject_at_command("outcome", after=True)
    await trial.traffic()


async def _apply(trial: Trial) -> None:
    trial.has_concurrent_operator = True
    base = trial.cluster.revision()
    operation = f"commit-{time.monotonic_ns()}"
    reply = await apply_rules(trial.cluster, base, operation=operation)
    again = await apply_rules(trial.cluster, base, operation=operation)
    got = (reply.status, reply.body.get("revision"))
    # Concurrent operators may have won; every repetition must then report the
    # conflict.
    lost_race = not trial.fault.targets_node and reply.status == CONFLICT
    if not (lost_race or got == (ACCEPTED, base + 1)) or again != reply:
        description = f"operator was told {reply}, then {again}; base {base}"
        trial.violations.append(Violation(operation, description))


async def _commit(trial: Trial) -> None:
    trial.inject_at_command("apply_config")
    await asyncio.gather(_apply(trial), trial.traffic())


async def _committed(trial: Trial) -> None:
    trial.inject_at_command("apply_config", after=True)
    await asyncio.gather(_apply(trial), trial.traffic())


async def _snapshot(trial: Trial) -> None:
    trial.inject_at_snapshot()
    traffic = asyncio.create_task(trial.traffic())
    for _ in range(2 * SNAPSHOT_ENTRIES):
        if trial.injected.is_set():
            break
        await _apply(trial)
    await traffic


async def _election(trial: Trial) -> None:
    # The step itself kills the leader, so that the outcome of requests can be unknown.
    trial.allowed_run_states = frozenset(RunState)
    cluster, old = trial.cluster, trial.cluster.leader().name
    others = [n.daemon.replica for n in cluster.controls.values() if n.name != old]
    terms = [replica.term for replica in others]
    await cluster.kill(old)
    traffic = asyncio.create_task(trial.traffic())
    await wait_until(
        lambda: any(
            replica.role != "follower" or replica.term > term
            for replica, term in zip(others, terms, strict=True)
        ),
        "an election",
    )
    await trial.inject()
    await traffic
    await cluster.restart(old)


async def _repair(trial: Trial) -> None:
    trial.allowed_run_states = NOT_RUN_ONLY
    lost_stage = trial.stages[1]
    # The step node is the spare that replaces the lost stage.
    trial.inject_at_command("place", after=True)
    traffic = asyncio.create_task(trial.traffic())
    await trial.cluster.kill(lost_stage)
    await wait_until(trial.injected.is_set, "a spare in place of the lost stage")
    await traffic
    await trial.cluster.restart(lost_stage)


async def _drain(trial: Trial) -> None:
    trial.allowed_run_states = NOT_RUN_ONLY
    drained = trial.stage()
    trial.inject_at_command("drain", after=True)
    traffic = asyncio.create_task(trial.traffic())
    reply = await drain(trial.cluster, drained, draining=True)
    trial.drained_at_ns[drained] = time.monotonic_ns()
    if reply.status != 200:
        trial.violations.append(Violation(drained, f"not drained: {reply.body}"))
    await traffic
    await asyncio.gather(*(trial.stream(entry) for entry in ("e1", "e2")))
    trial.undrained_at_ns[drained] = time.monotonic_ns()
    await drain(trial.cluster, drained, draining=False)


async def _isolated_orders(trial: Trial) -> None:
    """Restart an agent that can only reach the isolated control replica."""
    cluster, agent, isolated = trial.cluster, trial.stages[1], trial.target()
    node, net = cluster.agents[agent], cluster.net
    trial.allowed_run_states = frozenset(RunState)
    await trial.inject()
    await cluster.kill(agent)
    net.heal(agent)
    for name in cluster.controls:
        net.between(agent, name).block(Direction.BOTH, new=True)
    net.between(agent, isolated).heal()
    orders_before = len(node.engine.orders)
    traffic = asyncio.create_task(trial.traffic())
    await node.start()
    await asyncio.sleep(trial.fault.min_duration_s)
    if len(node.engine.orders) != orders_before:
        orders = node.engine.orders[orders_before:]
        description = f"obeys the isolated {isolated}: {orders}"
        trial.violations.append(Violation(agent, description))
    net.heal(agent)
    await traffic


ISOLATED_ORDERS = Step("isolated orders", _isolated_orders, ("leader", "follower"))

STEPS: dict[str, tuple[Step, ...]] = {
    "dispatch": (Step("dispatch", _dispatch, ("head", "middle", "entry", "leader")),),
    "prefill": (Step("prefill", _prefill, ("head", "middle", "last")),),
    "decode": (Step("decode", _decode, ("head", "middle", "last", "entry", "leader")),),
    "last token": (Step("last token", _last_token, ("head", "middle", "last")),),
    "claim": (
        Step("claim", _claim, ("leader", "here")),
        Step("claimed", _claimed, ("leader", "here")),
    ),
    "outcome": (
        Step("call", _call, ("here", "leader")),
        Step("outcome", _outcome, ("leader",)),
    ),
    "commit": (
        Step("commit", _commit, ("leader", "follower")),
        Step("committed", _committed, ("leader",)),
    ),
    "snapshot": (Step("snapshot", _snapshot, ("leader", "follower")),),
    "election": (Step("election", _election, ("follower",)),),
    "repair": (Step("repair", _repair, ("here", "leader")),),
    "drain": (Step("drain", _drain, ("middle", "head", "leader")),),
}
