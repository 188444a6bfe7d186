"""Engines that announce themselves one by one: loads, time to serve, rate reached.

The chains are planned as the control daemon does it, at once or after announcements
have settled. The store gives its layers evenly to the loads in progress; a load that
has begun is not taken back.
"""

__all__ = ["Way", "measure"]

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

ORDERS = 4
STEP_S = 0.05
LIMIT_S = 600.0
LOADS = 4  # concurrent loads, the default of the control daemon
STORE_RATE = 20.0  # layers per second, all loads together
REBUILD_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class Way:
    """How new chains wait for announcements."""

    name: str
    settle_s: float


@dataclass(frozen=True, slots=True)
class Scene:
    """Engines of one pipeline that start about together."""

    name: str
    engines: tuple[EngineSpec, ...]
    pipeline: Pipeline
    gap_s: float  # longest time between two announcements
    together: int = 1  # engines that stand when the rules take force


@dataclass(slots=True)
class Outcome:
    """What one order of announcements led to."""

    loads: int = 0
    ready_s: float = LIMIT_S  # from the last announcement until all replicas serve
    rest_s: float = LIMIT_S  # until chains are rebuilt no longer
    rate: float = 0.0  # of the bound, in the end


WAYS = (Way("at-once", 0.0), Way("settled", 0.5))


def measure() -> list[Figure]:
    """Return loads, time and rate of each way and scene, mean over the orders."""
    figures = []
    for scene in scenes():
        for way in WAYS:
            runs = [run(scene, way, SEED + number) for number in range(ORDERS)]
            figures += _figures(f"arrivals/{scene.name}/{way.name}", scene, runs)
    return figures


def scenes() -> list[Scene]:
    """Return the demonstration, and one deployment starting fast and slowly."""
    demo = tuple(
        EngineSpec(f"e{number}", 1, "", f"d{number % 3}", layer_capacity=4)
        for number in range(6)
    )
    proof = Pipeline(name="proof", model="", layers=12, replicas=2)
    pool = deployments(SEED)[0]
    return [
        Scene("demo", demo, proof, 0.4),
        Scene("demo-rules-late", demo, proof, 0.4, together=4),
        Scene("demo-two-late", demo, proof, 4.0, together=4),
        Scene("korrekturhuset", pool.engines, pool.pipeline, 0.1),
        Scene("korrekturhuset-slow", pool.engines, pool.pipeline, 5.0),
    ]


def _figures(name, scene, runs):
    settled = name.endswith("/settled")
    least = len(scene.engines)
    loads = fmean(run.loads for run in runs) / least
    return [
        Figure(f"{name}/loads", loads, "an engine"),
        Figure(f"{name}/all-ready", fmean(run.ready_s for run in runs), "s"),
        Figure(f"{name}/rests", fmean(run.rest_s for run in runs), "s"),
        Figure(
            f"{name}/rate",
            fmean(run.rate for run in runs),
            "of bound",
            low=_least_rate(scene) if settled else None,
        ),
        Figure(
            f"{name}/never-ready",
            sum(run.ready_s >= LIMIT_S for run in runs),
            "runs",
            high=0,
        ),
    ]


def _least_rate(scene):
    return 0.9 if scene.gap_s < 0.5 else 0.85


class _Clock:
    """Time of one run."""

    def __init__(self):
        self.time_s = 0.0

    def now(self) -> float:
        return self.time_s


class _Run:
    """One order of announcements under one way."""

    def __init__(self, *, scene: Scene, way: Way):
        self.scene = scene
        self.clock = _Clock()
        self.settling = SettleTimer(
            clock=self.clock, settle_s=way.settle_s, rebuild_after_s=REBUILD_AFTER_S
        )
        self.engines: dict[str, EngineSpec] = {}
        self.chains: Sequence[ChainPlan] = ()
        self.loading: dict[str, list] = {}  # agent: first and last layer, layers left
        self.loads = 0
        self._planned_from = None
        self._index = 0

    def plan(self) -> None:
        engines = list(self.engines.values())
        self.settling.observe(engines)
        may = (self.settling.may_load(), self.settling.may_rebuild())
        if (engines, may) == self._planned_from:
            return
        self._planned_from = (engines, may)
        self._index += 1
        self.chains = plan_placement(
            pipelines=[self.scene.pipeline],
            engines=engines,
            chains=self.chains,
            serving=self.serving(),
            loaded=self.serving(),
            base_index=self._index,
            load_new=may[0],
            rebuild_serving=may[1],
        ).chains

    def load(self) -> None:
        ranked = order_loads(
            self.chains, is_loaded=self.is_loaded, loading=self.loading
        )
        for _, stage in ranked:
            if len(self.loading) >= LOADS:
                break
            if stage.agent_id not in self.loading:
                held = [stage.first_layer, stage.last_layer, float(stage.layers)]
                self.loading[stage.agent_id] = held
                self.loads += 1
        share = STEP_S * STORE_RATE / max(1, len(self.loading))
        for agent_id, held in list(self.loading.items()):
            held[2] -= share
            if held[2] <= 0:
                del self.loading[agent_id]
                engine = self.engines[agent_id]
                self.engines[agent_id] = replace(
                    engine, first_layer=held[0], last_layer=held[1]
                )

    def is_loaded(self, _, stage) -> bool:
        engine = self.engines[stage.agent_id]
        held = (engine.first_layer, engine.last_layer)
        return held == (stage.first_layer, stage.last_layer)

    def serving(self) -> set[str]:
        return {
            chain.chain_id
            for chain in self.chains
            if all(self.is_loaded(chain, stage) for stage in chain.stages)
        }

    def is_ready(self) -> bool:
        whole = len(self.chains) == self.scene.pipeline.replicas
        return whole and len(self.serving()) == len(self.chains)

    def rests(self) -> bool:
        """Return whether nothing will change unless an engine comes or goes."""
        engines = list(self.engines.values())
        planned = self._planned_from == (engines, (True, True))
        return planned and self.is_ready() and not self.loading


def run(scene: Scene, way: Way, seed: int) -> Outcome:
    """Let engines announce themselves in an order of their own and wait for all.

    Args:
        scene: Engines and pipeline.
        way: How new chains wait.
        seed: Seed of the order and of the gaps.
    """
    rng = random.Random(seed)
    order = rng.sample(scene.engines, len(scene.engines))
    times = [0.0] * scene.together
    while len(times) < len(order):
        times.append(times[-1] + rng.uniform(0.0, scene.gap_s))
    state = _Run(scene=scene, way=way)
    outcome = Outcome()
    while state.clock.time_s - times[-1] < LIMIT_S:
        present = sum(time_s <= state.clock.time_s for time_s in times)
        for engine in order[len(state.engines) : present]:
            state.engines[engine.agent_id] = engine
        state.plan()
        state.load()
        state.clock.time_s += STEP_S
        since_s = state.clock.time_s - times[-1]
        if present == len(order) and state.is_ready():
            outcome.ready_s = min(outcome.ready_s, since_s)
        if present == len(order) and state.rests():
            outcome.rest_s = since_s
            break
    bound = hardware_bound(
        scene.engines,
        layers=scene.pipeline.layers,
        chains=scene.pipeline.replicas,
    )
    outcome.loads = state.loads
    outcome.rate = sum(chain.rate for chain in state.chains) / bound
    return outcome
