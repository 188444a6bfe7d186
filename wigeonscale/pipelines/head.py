"""Head of chains: batches sequences into iterations and pipelines the iterations."""

__all__ = ["ChainHead"]

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from wigeonscale.adapters import METRICS
from wigeonscale.errors import WigeonscaleError
from wigeonscale.pipelines.constants import (
    EXTRA_ITERATIONS,
    MAX_FIXED_COST_SHARE,
    MAX_POSITIONS_PER_ITERATION,
    MAX_PREFILL_DELAY_S,
    MAX_SEQUENCES_PER_ITERATION,
    MIN_PREFILL_POSITIONS,
    REPAIR_BACKOFF_S,
)
from wigeonscale.pipelines.generation import Generation
from wigeonscale.pipelines.links import PeerLostError, StepLinks
from wigeonscale.pipelines.recovery import Recovery
from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class ChainHead:
    """Runs the generations that were dispatched to this agent on their chains.

    Args:
        agent_id: Id of this backend server.
        stage: Stage of this agent; called directly if it is the first of the chain.
        links: Connections to other stages.
        chains: Returns the newest known chain with an id, or None.
        replacement: Returns a ready chain that this agent heads in place of a removed
            one, or None.
        suspect: Reports an unreachable agent by its id and incarnation.
        clock: Clock port.
        repair_timeout_s: Seconds without a token before a generation fails.
        backoff_s: Initial backoff before a retry on the same epoch, in seconds.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        stage: StageRunner,
        links: StepLinks,
        chains: Callable[[str], wire.Chain | None],
        replacement: Callable[[wire.Chain], wire.Chain | None] = lambda chain: None,
        suspect: Callable[[str, int], None],
        clock: Clock,
        repair_timeout_s: float,
        backoff_s: float = REPAIR_BACKOFF_S,
    ):
        self._agent_id = agent_id
        self._stage = stage
        self._links = links
        self.clock = clock
        self._chains = chains
        self._drivers: dict[tuple[str, int], _ChainDriver] = {}
        self._recovery = Recovery(
            chains=chains,
            replacement=replacement,
            resume=self._resume,
            suspect=suspect,
            clock=clock,
            timeout_s=repair_timeout_s,
            backoff_s=backoff_s,
        )

    def start(self, generation: Generation, chain: wire.Chain) -> None:
        """Start a generation on a chain."""
        key = (chain.chain_id, chain.epoch)
        driver = self._drivers.get(key)
        if driver is None:
            driver = self._drivers[key] = _ChainDriver(head=self, chain=chain)
        driver.add(generation)

    def cancel(self, generation: Generation) -> None:
        """Remove a generation from its chain and cancel its sequence."""
        generation.ended = True
        for driver in list(self._drivers.values()):
            driver.remove(generation)

    def reschedule(self) -> None:
        """Schedule all chains again, for example after a generation was unpaused."""
        for driver in list(self._drivers.values()):
            driver.schedule()

    def members_changed(self) -> None:
        """Use changed chains from now on."""
        self._recovery.members_changed()
        self.reschedule()

    async def close(self) -> None:
        """Cancel all iterations and recoveries."""
        await self._recovery.close()
        for driver in list(self._drivers.values()):
            await driver.close()

    def fixed_cost_share(self, positions: int) -> float:
        """Return the fixed share of the iteration time, as measured on this stage."""
        return self._stage.cost.fixed_cost_share(positions)

    def positions_within(self, seconds: float) -> int:
        """Return the positions that fit into a time, as measured on this stage."""
        return self._stage.cost.positions_within(seconds)

    def newer_chain(self, chain: wire.Chain) -> wire.Chain | None:
        """Return the ready successor of a chain, or None."""
        newest = self._chains(chain.chain_id)
        if newest is not None and newest.ready and newest.epoch > chain.epoch:
            return newest
        return None

    async def send(self, req: wire.StepRequest) -> wire.StepReply:
        """Send an iteration to the first stage, which may be that of this agent."""
        first = req.rest[0]
        if first.agent_id == self._agent_id:
            return await self._stage.run(req)
        return await self._links.call(first.address, req)

    def recover(
        self, generations: list[Generation], chain: wire.Chain, unreachable: set[str]
    ) -> None:
        """Start the recovery of generations whose step failed."""
        self._recovery.start(generations, chain, unreachable - {self._agent_id})

    def discard_driver(self, driver: "_ChainDriver") -> None:
        """Remove a driver without generations and iterations."""
        key = (driver.chain.chain_id, driver.chain.epoch)
        if self._drivers.get(key) is driver:
            del self._drivers[key]

    def _resume(self, generations: list[Generation], chain: wire.Chain) -> None:
        for generation in generations:
            if not generation.ended:
                self.start(generation, chain)


class _ChainDriver:
    """Schedules the iterations of one chain in one epoch."""

    def __init__(self, *, head: ChainHead, chain: wire.Chain):
        self.chain = chain
        self._head = head
        self._generations: set[Generation] = set()
        self._ready: deque[Generation] = deque()
        self._cancelled_ids: list[str] = []
        self._iterations: set[asyncio.Task] = set()

    def add(self, generation: Generation) -> None:
        self._generations.add(generation)
        self._ready.append(generation)
        self.schedule()

    def remove(self, generation: Generation) -> None:
        if generation in self._generations:
            self._generations.discard(generation)
            self._cancelled_ids.append(generation.sequence_id)
            self.schedule()

    def schedule(self) -> None:
        """Start iterations up to the pipeline depth."""
        self._move_to_newer_epoch()
        depth = self._depth()
        while len(self._iterations) < depth:
            batch = self._next_batch(depth)
            if not batch and not self._has_unsent_cancellations():
                break
            self._start_iteration(batch)
        if not self._generations and not self._iterations:
            self._head.discard_driver(self)

    async def close(self) -> None:
        for task in self._iterations:
            task.cancel()
        await asyncio.gather(*self._iterations, return_exceptions=True)

    def _move_to_newer_epoch(self) -> None:
        """Move generations without a step in flight to a newer ready epoch."""
        newer = self._head.newer_chain(self.chain)
        if newer is None:
            return
        ready, self._ready = self._ready, deque()
        for generation in ready:
            if generation in self._generations:
                self._generations.discard(generation)
                self._cancelled_ids.append(generation.restart())
                self._head.start(generation, newer)

    def _depth(self) -> int:
        """Return the pipeline depth: how many iterations should be in flight."""
        stages = len(self.chain.stages)
        fixed_share = self._head.fixed_cost_share(len(self._generations) // stages)
        return (
            stages if fixed_share > MAX_FIXED_COST_SHARE else stages + EXTRA_ITERATIONS
        )

    def _next_batch(self, depth: int) -> list[tuple[Generation, int]]:
        """Return generations for one iteration, each with its position limit."""
        # Iterations of even size, so that each stage has one to run.
        size = -(-len(self._generations) // depth)
        size = max(1, min(size, MAX_SEQUENCES_PER_ITERATION))
        batch: list[tuple[Generation, int]] = []
        prefill_budget = self._prefill_budget(depth)
        for _ in range(len(self._ready)):
            generation = self._ready.popleft()
            if generation not in self._generations:
                continue
            remaining = generation.remaining_positions
            over_budget = remaining > 1 and prefill_budget < min(
                remaining, MIN_PREFILL_POSITIONS
            )
            if generation.paused or over_budget:
                self._ready.append(generation)
                continue
            count = 1 if remaining == 1 else min(remaining, prefill_budget)
            batch.append((generation, count))
            prefill_budget -= count if remaining > 1 else 0
            if len(batch) == size:
                break
        return batch

    def _prefill_budget(self, depth: int) -> int:
        """Return how many prompt positions one iteration may contain.

        A token waits for one round: for the prompt chunks of every iteration in
        flight, or for one chunk at every stage. The limit does not apply to a single
        generation, which delays no other.
        """
        max_positions = MAX_POSITIONS_PER_ITERATION - MAX_SEQUENCES_PER_ITERATION
        if len(self._generations) == 1:
            return max_positions
        return min(
            max_positions, self._head.positions_within(MAX_PREFILL_DELAY_S / depth)
        )

    def _has_unsent_cancellations(self) -> bool:
        return bool(self._cancelled_ids) and not self._iterations

    def _start_iteration(self, batch: list[tuple[Generation, int]]) -> None:
        task = asyncio.create_task(self._run_iteration(batch))
        self._iterations.add(task)
        task.add_done_callback(self._on_iteration_done)

    def _on_iteration_done(self, task: asyncio.Task) -> None:
        self._iterations.discard(task)
        if task.cancelled():
            return
        if task.exception() is not None:
            logger.error("iteration failed", exc_info=task.exception())
        self.schedule()

    async def _run_iteration(self, batch: list[tuple[Generation, int]]) -> None:
        cancelled, self._cancelled_ids = self._cancelled_ids, []
        epoch = self.chain.epoch
        req = wire.StepRequest(
            chain_id=self.chain.chain_id,
            epoch=epoch,
            rest=self.chain.stages,
            steps=[
                generation.next_step(epoch, max_positions)
                for generation, max_positions in batch
            ],
            cancelled=cancelled,
        )
        began_at = self._head.clock.now()
        try:
            reply = await self._head.send(req)
            METRICS.iteration_s.observe(self._head.clock.now() - began_at)
            results = {result.sequence_id: result for result in reply.results}
        except PeerLostError as exc:
            results = _all_failed(req, exc)
        self._apply_results([generation for generation, _ in batch], results)

    def _apply_results(
        self, batch: list[Generation], results: dict[str, wire.StepResult]
    ) -> None:
        failed: list[Generation] = []
        failed_agents: set[str] = set()
        unreachable: set[str] = set()
        for generation in batch:
            if generation not in self._generations:
                continue
            result = results.get(generation.sequence_id, wire.StepResult(kind="lost"))
            if result.kind:
                failed.append(generation)
                failed_agents.add(result.failed_agent)
                if result.unreachable:
                    unreachable.add(result.failed_agent)
                self._generations.discard(generation)
                self._cancelled_ids.append(generation.restart())
                continue
            self._apply_token(generation, result)
        if failed:
            logger.warning(
                "%d sequences failed on chain %s epoch %d at %s",
                len(failed),
                self.chain.chain_id,
                self.chain.epoch,
                sorted(failed_agents),
            )
            self._head.recover(failed, self.chain, unreachable)

    def _apply_token(self, generation: Generation, result: wire.StepResult) -> None:
        generation.apply_result(result)
        if not generation.ended:
            self._ready.append(generation)
            return
        self._generations.discard(generation)
        if result.end:
            self._cancelled_ids.append(generation.sequence_id)


def _all_failed(
    req: wire.StepRequest, exc: WigeonscaleError
) -> dict[str, wire.StepResult]:
    return {
        step.sequence_id: wire.StepResult(
            sequence_id=step.sequence_id,
            kind=exc.kind,
            message=exc.message,
            failed_agent=req.rest[0].agent_id,
            unreachable=True,
        )
        for step in req.steps
    }
