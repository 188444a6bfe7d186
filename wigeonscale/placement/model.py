"""Data types of placement: engines, stages, chains and plans."""

__all__ = ["ChainPlan", "EngineSpec", "Plan", "StagePlan"]

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """One announced engine, as placement sees it.

    Attributes:
        agent_id: Stable name of the backend server.
        incarnation: Changes at each start of its agent.
        address: ``ip:port`` of its agent.
        domain: Failure domain.
        region: Region; a chain never crosses regions.
        model: Model whose layers it can hold.
        accelerator: Kind of accelerator, for reports.
        layer_rate: Layer-steps per second over all sequences.
        layer_capacity: Number of layers that fit in its memory.
        link_rate: Steps per second that its network link can transfer.
        first_layer: First loaded layer, inclusive.
        last_layer: Last loaded layer, inclusive; less than ``first_layer`` when no
            layer is loaded.
        draining: Whether it is shutting down and gets no new stage.
    """

    agent_id: str
    incarnation: int
    address: str
    domain: str
    region: str = "default"
    model: str = ""
    accelerator: str = "generic"
    layer_rate: float = 1000.0
    layer_capacity: int = 8
    link_rate: float = 10000.0
    first_layer: int = 0
    last_layer: int = -1
    draining: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether it may take a new stage: not draining, capacity and rates above 0."""
        has_rate = 0 < self.layer_rate < math.inf and self.link_rate > 0
        return has_rate and self.layer_capacity > 0 and not self.draining


@dataclass(frozen=True, slots=True)
class StagePlan:
    """A contiguous range of layers on one engine; both ends inclusive."""

    agent_id: str
    incarnation: int
    address: str
    domain: str
    first_layer: int
    last_layer: int

    @property
    def layers(self) -> int:
        """Number of layers in the stage."""
        return self.last_layer - self.first_layer + 1


@dataclass(frozen=True, slots=True)
class ChainPlan:
    """One replica of a pipeline.

    Attributes:
        chain_id: Unique id; not reused after the chain is removed.
        pipeline: Name of the pipeline.
        epoch: Increases with every change of the stages.
        stages: Stages in layer order; the first is the head.
        rate: Planned sequence-steps per second.
    """

    chain_id: str
    pipeline: str
    epoch: int
    stages: tuple[StagePlan, ...]
    rate: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Result of planning.

    Attributes:
        chains: All chains of the plan.
        changed: Those of ``chains`` that are new or have a new epoch.
        removed: Ids of the current chains that are not in the plan.
        retired: Ids of the chains to remove once their work has finished.
    """

    chains: tuple[ChainPlan, ...] = ()
    changed: tuple[ChainPlan, ...] = ()
    removed: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()
