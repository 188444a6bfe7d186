"""Plans and commits chains while this replica is the leader."""

__all__ = ["PlacementLoop"]

import asyncio
import logging

from wigeonscale.control.commands import Commands
from wigeonscale.control.engine_specs import EngineSpecCache
from wigeonscale.control.hub import Hub
from wigeonscale.control.planning import (
    chain_plan,
    is_empty,
    place_command,
    plan_placement,
    without_engines,
)
from wigeonscale.control.settle_timer import SettleTimer
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica, Role
from wigeonscale.state import Change, ControlState

# Also plans without a change of the state, since this replica may become the leader.
CHECK_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.05
MS_PER_S = 1000

logger = logging.getLogger(__name__)


class PlacementLoop:
    """Keeps the committed chains in line with the placement plan.

    Args:
        state: Replicated state.
        replica: Local replica of the log.
        hub: Watch hub of this replica; reports whether the state is fresh.
        commands: Submits commands to the replicated log.
        clock: Time source.
        spares: Engines per model that are kept out of new chains for repairs.
        domain_share: New chains stay within one failure domain if their throughput is
            then at least this share of the throughput across domains.
        settle_s: Time without a joining engine before new chains are planned, in
            seconds.
        rebuild_after_s: Time without a joining or leaving engine before serving
            chains are rebuilt for missing replicas or for much more throughput, in
            seconds.
        drain_s: Time that a retiring chain has to finish its work, in seconds.
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
        domain_share: float = 0.93,
        settle_s: float = 0.5,
        rebuild_after_s: float = 10.0,
        drain_s: float = 120.0,
    ):
        self._state = state
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._clock = clock
        self._options = {"spares": spares, "domain_share": domain_share}
        self._engines = EngineSpecCache(state=state)
        self._settle_timer = SettleTimer(
            clock=clock, settle_s=settle_s, rebuild_after_s=rebuild_after_s
        )
        self._drain_s = drain_s
        self._last_plan_inputs: tuple | None = None
        # Counts of changes of engines and chains. Claims and rules need no new plan.
        self._engine_changes = 0
        self._chain_changes = 0
        self._observed_engine_changes = -1
        self._wake = asyncio.Event()
        self._guard = StepGuard(task="placement", clock=clock)

    async def run(self) -> None:
        """Plan after each relevant change until cancelled."""
        subscription = self._state.changes.subscribe(self._on_change)
        ticker = asyncio.create_task(self._tick())
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                try:
                    await self._plan_once()
                except WigeonscaleError as exc:
                    await self._handle_refusal(exc)
                except Exception as exc:
                    self._guard.report(exc)
                    await self._clock.sleep(RETRY_DELAY_S)
        finally:
            subscription.dispose()
            ticker.cancel()
            await asyncio.gather(ticker, return_exceptions=True)

    async def _tick(self):
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self._wake.set()

    def _on_change(self, change: Change):
        self._engine_changes += self._engines.invalidate(change)
        self._chain_changes += bool(change.chains or change.is_restore)
        self._wake.set()

    async def _plan_once(self):
        if self._replica.role is not Role.LEADER or not self._hub.is_fresh():
            return
        index = self._state.index
        engines = self._engines.specs()
        if self._observed_engine_changes != self._engine_changes:
            self._observed_engine_changes = self._engine_changes
            self._settle_timer.observe(engines)
        options = self._options | {
            "load_new": self._settle_timer.may_load(),
            "rebuild_serving": self._settle_timer.may_rebuild(),
        }
        planned = self._state.chains.planned()
        finished = self._finished_retiring(planned)
        base_index = self._state.placement_index
        pipelines = tuple(self._state.configuration.document.pipelines.values())
        plan_inputs = (
            self._replica.term,
            self._engine_changes,
            self._chain_changes,
            base_index,
            pipelines,
            options,
            finished,
        )
        if plan_inputs == self._last_plan_inputs:
            return
        retiring = [chain for chain in planned if chain.retiring]
        active = [chain for chain in planned if not chain.retiring]
        # Runs in a thread, since planning thousands of engines would delay heartbeats.
        plan = await asyncio.to_thread(
            plan_placement,
            pipelines=pipelines,
            engines=without_engines(engines, map(chain_plan, retiring)),
            chains=[chain_plan(chain) for chain in active],
            serving={chain.chain_id for chain in self._state.chains if chain.ready},
            loaded={chain.chain_id for chain in active if chain.ready},
            base_index=index,
            **options,
        )
        command = place_command(plan, active, pipelines, base_index)
        command.place.removed.extend(finished)
        if not is_empty(command.place):
            await self._commands.submit(command)
        self._last_plan_inputs = plan_inputs

    def _finished_retiring(self, chains):
        """Return the ids of retiring chains that are broken or had time to finish."""
        now_ms = self._clock.wall() * MS_PER_S
        drained_ms = now_ms - self._drain_s * MS_PER_S
        return [
            chain.chain_id
            for chain in chains
            if chain.retiring and (not chain.ready or chain.retired_ms <= drained_ms)
        ]

    async def _handle_refusal(self, exc):
        if exc.kind not in (ErrorKind.REVISION_CONFLICT, ErrorKind.NOT_LEADER):
            logger.warning("could not commit placement plan: %s", exc.message)
        await self._clock.sleep(RETRY_DELAY_S)
        self._wake.set()
