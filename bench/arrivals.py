"""Start of engines one by one: loads, time until all serve, throughput reached.

Chains are planned as in the control daemon, either at once or after no new engine has
been announced for a settle time. The store divides its throughput evenly among the
loads in progress; a load that has begun is not cancelled.
"""

__all__ = ["SettlePolicy", "measure"]

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import fmean

from bench.placement_pools import SEED, deployments
from bench.report import Figure
from wigeonscale.control.planning import plan_placement
from wigeonscale.control.settle_timer import SettleTimer
from wigeonscale.placement import (
    ChainPlan,
    EngineSpec,
    hardware_bound,
    order_loads,
)
from wigeonscale.rules.model import Pipeline

ORDERS_PER_SCENARIO = 4
TICK_S = 0.05  # virtual time per simulation step
TIMEOUT_S = 600.0
MAX_CONCURRENT_LOADS = 4  # the default of the control daemon
STORE_LAYERS_PER_S = 20.0  # all loads together
REBUILD_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class SettlePolicy:
    """How long new chains wait for further announcements."""

    name: str
    settle_s: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """Engines of one pipeline that start at about the same time."""

    name: str
    engines: tuple[EngineSpec, ...]
    pipeline: Pipeline
    max_gap_s: float  # longest time between two announcements
    initial_engines: int = 1  # engines already announced when the rules apply


@dataclass(slots=True)
class Outcome:
    """Result of one order of announcements."""

    loads: int = 0
    ready_s: float = TIMEOUT_S  # from the last announcement until all replicas serve
    stable_s: float = TIMEOUT_S  # until no chain is rebuilt any more
    rate: float = 0.0  # final rate as a share of the hardware bound


SETTLE_POLICIES = (SettlePolicy("at-once", 0.0), SettlePolicy("settled", 0.5))


def measure() -> list[Figure]:
    """Return loads, times and rate per policy and scenario, averaged over orders."""
    figures = []
    for scenario in scenarios():
        for policy in SETTLE_POLICIES:
            runs = [
                run(scenario, policy, SEED + number)
                for number in range(ORDERS_PER_SCENARIO)
            ]
            figures += _figures(
                f"arrivals/{scenario.name}/{policy.name}", scenario, runs
            )
    return figures


def scenarios() -> list[Scenario]:
    """Return the demo's engines, and a deployment that starts fast or slowly."""
    demo = tuple(
        EngineSpec(f"e{number}", 1, "", f"d{number % 3}", layer_capacity=4)
        for number in range(6)
    )
    proof = Pipeline(name="proof", model="", layers=12, replicas=2)
    pool = deployments(SEED)[0]
    return [
        Scenario("demo", demo, proof, 0.4),
        Scenario("demo-rules-late", demo, proof, 0.4, initial_engines=4),
        Scenario("demo-two-late", demo, proof, 4.0, initial_engines=4),
        Scenario("korrekturhuset", pool.engines, pool.pipeline, 0.1),
        Scenario("korrekturhuset-slow", pool.engines, pool.pipeline, 5.0),
    ]


def _figures(name, scenario, runs):
    settled = name.endswith("/settled")
    engine_count = len(scenario.engines)
    loads = fmean(run.loads for run in runs) / engine_count
    return [
        Figure(f"{name}/loads", loads, "an engine"),
        Figure(f"{name}/all-ready", fmean(run.ready_s for run in runs), "s"),
        Figure(f"{name}/rests", fmean(run.stable_s for run in runs), "s"),
        Figure(
            f"{name}/rate",
            fmean(run.rate for run in runs),
            "of bound",
            low=_min_rate(scenario) if settled else None,
        ),
        Figure(
            f"{name}/never-ready",
            sum(run.ready_s >= TIMEOUT_S for run in runs),
            "runs",
            high=0,
        ),
    ]


def _min_rate(scenario):
    return 0.9 if scenario.max_gap_s < 0.5 else 0.85


class _Clock:
    """Virtual clock of one run."""

    def __init__(self):
        self.time_s = 0.0

    def now(self) -> float:
        return self.time_s


class _Run:
    """One order of announcements under one settle policy."""

    def __init__(self, *, scenario: Scenario, policy: SettlePolicy):
        self.scenario = scenario
        self.clock = _Clock()
        self.settle_timer = SettleTimer(
            clock=self.clock, settle_s=policy.settle_s, rebuild_after_s=REBUILD_AFTER_S
        )
        self.engines: dict[str, EngineSpec] = {}
        self.chains: Sequence[ChainPlan] = ()
        self.loading: dict[
            str, list
        ] = {}  # by agent: first layer, last layer, layers left
        self.loads = 0
        self._planned_from = None
        self._index = 0

    def plan(self) -> None:
        engines = list(self.engines.values())
        self.settle_timer.observe(engines)
        permissions = (self.settle_timer.may_load(), self.settle_timer.may_rebuild())
        if (engines, permissions) == self._planned_from:
            return
        self._planned_from = (engines, permissions)
        self._index += 1
        self.chains = plan_placement(
            pipelines=[self.scenario.pipeline],
            engines=engines,
            chains=self.chains,
            serving=self.serving(),
            loaded=self.serving(),
            base_index=self._index,
            load_new=permissions[0],
            rebuild_serving=permissions[1],
        ).chains

    def load(self) -> None:
        ranked = order_loads(
            self.chains, is_loaded=self.is_loaded, loading=self.loading
        )
        for _, stage in ranked:
            if len(self.loading) >= MAX_CONCURRENT_LOADS:
                break
            if stage.agent_id not in self.loading:
                stage_load = [stage.first_layer, stage.last_layer, float(stage.layers)]
                self.loading[stage.agent_id] = stage_load
                self.loads += 1
        share = TICK_S * STORE_LAYERS_PER_S / max(1, len(self.loading))
        for agent_id, stage_load in list(self.loading.items()):
            stage_load[2] -= share
            if stage_load[2] <= 0:
                del self.loading[agent_id]
                engine = self.engines[agent_id]
                self.engines[agent_id] = replace(
                    engine, first_layer=stage_load[0], last_layer=stage_load[1]
                )

    def is_loaded(self, _, stage) -> bool:
        engine = self.engines[stage.agent_id]
        layer_range = (engine.first_layer, engine.last_layer)
        return layer_range == (stage.first_layer, stage.last_layer)

    def serving(self) -> set[str]:
        return {
            chain.chain_id
            for chain in self.chains
            if all(self.is_loaded(chain, stage) for stage in chain.stages)
        }

    def is_ready(self) -> bool:
        complete = len(self.chains) == self.scenario.pipeline.replicas
        return complete and len(self.serving()) == len(self.chains)

    def is_stable(self) -> bool:
        """Return whether the plan stays as it is until an engine joins or leaves."""
        engines = list(self.engines.values())
        planned = self._planned_from == (engines, (True, True))
        return planned and self.is_ready() and not self.loading


def run(scenario: Scenario, policy: SettlePolicy, seed: int) -> Outcome:
    """Announce the engines in random order and wait until the plan is stable.

    Args:
        scenario: Engines and pipeline.
        policy: How long new chains wait for announcements.
        seed: Seed of the order and of the gaps between announcements.
    """
    rng = random.Random(seed)
    order = rng.sample(scenario.engines, len(scenario.engines))
    times = [0.0] * scenario.initial_engines
    while len(times) < len(order):
        times.append(times[-1] + rng.uniform(0.0, scenario.max_gap_s))
    state = _Run(scenario=scenario, policy=policy)
    outcome = Outcome()
    while state.clock.time_s - times[-1] < TIMEOUT_S:
        present = sum(time_s <= state.clock.time_s for time_s in times)
        for engine in order[len(state.engines) : present]:
            state.engines[engine.agent_id] = engine
        state.plan()
        state.load()
        state.clock.time_s += TICK_S
        since_s = state.clock.time_s - times[-1]
        if present == len(order) and state.is_ready():
            outcome.ready_s = min(outcome.ready_s, since_s)
        if present == len(order) and state.is_stable():
            outcome.stable_s = since_s
            break
    bound = hardware_bound(
        scenario.engines,
        layers=scenario.pipeline.layers,
        chains=scenario.pipeline.replicas,
    )
    outcome.loads = state.loads
    outcome.rate = sum(chain.rate for chain in state.chains) / bound
    return outcome
