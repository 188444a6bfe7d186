"""Places chains while this replica leads."""

__all__ = ["PlacementLoop"]

import asyncio
import logging

from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.planning import (
    chain_plan,
    engine_specs,
    place_command,
    plan_placement,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState

# Also looks without a change: this replica may have become the leader.
CHECK_S = 0.25
RETRY_S = 0.05

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
        standing = self._state.chains.planned()
        plan = await asyncio.to_thread(
            plan_placement,
            pipelines=pipelines,
            engines=engine_specs(self._state),
            chains=[chain_plan(chain) for chain in standing],
            spares=self._spares,
            base_index=position[1],
        )
        command = place_command(plan, standing, pipelines, base_index)
        if command.place.chains or command.place.removed:
            await self._commands.submit(command)
        self._planned_at = position

    async def _note_refusal(self, exc):
        if exc.kind not in (ErrorKind.REVISION_CONFLICT, ErrorKind.NOT_LEADER):
            logger.warning("plan not placed: %s", exc.message)
        await self._clock.sleep(RETRY_S)
        self._wake.set()
