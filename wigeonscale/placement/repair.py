"""Repairs chains that lost a stage, touching only the lost stage."""

__all__ = ["repair_chain"]

from collections.abc import Iterable, Mapping
from dataclasses import replace

from wigeonscale.placement.model import ChainPlan, EngineSpec, StagePlan
from wigeonscale.placement.rates import chain_rate


def repair_chain(
    chain: ChainPlan, engines: Mapping[str, EngineSpec], free: Iterable[EngineSpec]
) -> ChainPlan | None:
    """Return the chain with a spare in place of each lost stage, in a higher epoch.

    Args:
        chain: The chain as it stands.
        engines: Every announced engine by agent id.
        free: Engines in no chain that may take a stage.

    Returns:
        The same chain when nothing was lost, None when it cannot be repaired.
    """
    lost = [stage for stage in chain.stages if not _alive(stage, engines)]
    if not lost:
        return chain
    region = _region(chain, engines)
    candidates = [engine for engine in free if region in ("", engine.region)]
    lost_domains = {stage.domain for stage in lost}
    stages = []
    for stage in chain.stages:
        if stage in lost:
            spare = _choose_spare(stage, candidates, lost_domains)
            if spare is None:
                return None
            candidates.remove(spare)
            stage = stage_on(spare, stage.first_layer, stage.last_layer)
        stages.append(stage)
    return replace(
        chain,
        epoch=chain.epoch + 1,
        stages=tuple(stages),
        rate=chain_rate(stages, engines),
    )


def stage_on(engine: EngineSpec, first_layer: int, last_layer: int) -> StagePlan:
    """Return the stage of a layer range, both ends inclusive, on an engine."""
    return StagePlan(
        agent_id=engine.agent_id,
        incarnation=engine.incarnation,
        address=engine.address,
        domain=engine.domain,
        first_layer=first_layer,
        last_layer=last_layer,
    )


def _alive(stage, engines):
    engine = engines.get(stage.agent_id)
    return engine is not None and engine.incarnation == stage.incarnation


def _region(chain, engines):
    alive = [engines[s.agent_id].region for s in chain.stages if _alive(s, engines)]
    return alive[0] if alive else ""


def _choose_spare(stage, candidates, lost_domains):
    able = [engine for engine in candidates if engine.layer_capacity >= stage.layers]
    if not able:
        return None

    def preference(engine):
        loaded = (
            engine.first_layer <= stage.first_layer
            and engine.last_layer >= stage.last_layer
        )
        rate = min(engine.layer_rate / stage.layers, engine.link_rate)
        return (
            not loaded,
            engine.domain in lost_domains,
            -rate,
            engine.agent_id,
        )

    return min(able, key=preference)
