"""Places chains while this replica leads."""

__all__ = ["PlacementLoop"]

import asyncio
import logging
from collections.abc import Sequence

from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.placement import (
    ChainPlan,
    EngineSpec,
    Plan,
    StagePlan,
    plan_chains,
)
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica, Role
from wigeonscale.rules import Pipeline
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

# Also looks without a change: this replica may have become the leader.
CHECK_S = 0.25
RETRY_S = 0.25

logger = logging.getLogger(__name__)


class PlacementLoop:
    """Keeps the committed chains as placement wants them.

    Args:
        state: The replicated state.
        replica: This replica.
        hub: Its watch hub, which knows whether the state is fresh.
        commands: Way of commands to the log.
        clock: Clock port.
        spares: Engines of each model kept out of new chains, for repairs.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        replica: Replica,
        hub: Hub,
        commands: Commands,
        clock: Clock,
        spares: int = 0,
    ):
        self._state = state
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._clock = clock
        self._spares = spares
        self._planned_at = (0, 0)
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Plan on every change until cancelled."""
        subscription = self._state.changes.subscribe(lambda _: self._wake.set())
        ticker = asyncio.create_task(self._tick())
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                try:
                    await self._plan_once()
                except WigeonscaleError as exc:
                    await self._note_refusal(exc)
                except Exception:
                    logger.exception("placement failed")
                    await self._clock.sleep(RETRY_S)
        finally:
            subscription.dispose()
            ticker.cancel()
            await asyncio.gather(ticker, return_exceptions=True)

    async def _tick(self):
        while True:
            await self._clock.sleep(CHECK_S)
            self._wake.set()

    async def _plan_once(self):
        position = (self._replica.term, self._state.index)
        leading = self._replica.role is Role.LEADER
        if not leading or not self._hub.is_fresh() or position == self._planned_at:
            return
        base_index = self._state.placement_index
        pipelines = tuple(self._state.configuration.document.pipelines.values())
        # In a thread: a plan of thousands of engines would delay heartbeats.
        plan = await asyncio.to_thread(
            plan_chains,
            pipelines=pipelines,
            engines=engine_specs(self._state),
            chains=[chain_plan(chain) for chain in self._state.chains.planned()],
            spares=self._spares,
            base_index=position[1],
        )
        if plan.changed or plan.removed:
            command = place_command(plan, pipelines, base_index)
            await self._commands.submit(command)
        self._planned_at = position

    async def _note_refusal(self, exc):
        if exc.kind not in (ErrorKind.REVISION_CONFLICT, ErrorKind.NOT_LEADER):
            logger.warning("plan not placed: %s", exc.message)
        await self._clock.sleep(RETRY_S)
        self._wake.set()


def engine_specs(state: ControlState) -> list[EngineSpec]:
    """Return the announced engines as placement sees them, sorted by name.

    Args:
        state: The replicated state.

    Returns:
        One spec an engine; draining if its agent or an operator says so.
    """
    specs = []
    for member in state.members:
        backend = member.backend
        if backend.kind == wire.ENGINE:
            drained = state.members.is_drained(backend.agent_id)
            specs.append(_engine_spec(backend, backend.draining or drained))
    return sorted(specs, key=lambda spec: spec.agent_id)


def chain_plan(chain: wire.Chain) -> ChainPlan:
    """Return a chain as placement sees it.

    Args:
        chain: Chain of the state.

    Returns:
        Its plan.
    """
    stages = tuple(
        StagePlan(
            agent_id=stage.agent_id,
            incarnation=stage.incarnation,
            address=stage.address,
            domain=stage.domain,
            first_layer=stage.first_layer,
            last_layer=stage.last_layer,
        )
        for stage in chain.stages
    )
    return ChainPlan(chain.chain_id, chain.pipeline, chain.epoch, stages, chain.rate)


def place_command(
    plan: Plan, pipelines: Sequence[Pipeline], base_index: int
) -> wire.Command:
    """Return the command that carries out a plan.

    Args:
        plan: Result of planning.
        pipelines: Pipelines that were planned for.
        base_index: Placement index that the plan was made from.

    Returns:
        A command without an operation id.
    """
    by_name = {pipeline.name: pipeline for pipeline in pipelines}
    place = wire.PlaceChains(removed=plan.removed, base_index=base_index)
    for chain in plan.changed:
        place.chains.append(_wire_chain(chain, by_name[chain.pipeline]))
    return wire.Command(place=place)


def _engine_spec(backend, draining):
    return EngineSpec(
        agent_id=backend.agent_id,
        incarnation=backend.incarnation,
        address=backend.address,
        domain=backend.domain,
        region=backend.region,
        model=backend.model,
        accelerator=backend.accelerator,
        layer_rate=backend.layer_rate,
        layer_capacity=backend.layer_capacity,
        link_rate=backend.link_rate,
        first_layer=backend.first_layer,
        last_layer=backend.last_layer,
        draining=draining,
    )


def _wire_chain(chain, pipeline):
    stages = [
        wire.Stage(
            agent_id=stage.agent_id,
            incarnation=stage.incarnation,
            address=stage.address,
            domain=stage.domain,
            first_layer=stage.first_layer,
            last_layer=stage.last_layer,
        )
        for stage in chain.stages
    ]
    return wire.Chain(
        chain_id=chain.chain_id,
        pipeline=chain.pipeline,
        epoch=chain.epoch,
        stages=stages,
        model=pipeline.model,
        version=pipeline.version,
        adapter=pipeline.adapter,
        rate=chain.rate,
    )
