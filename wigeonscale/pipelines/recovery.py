"""Recovers sequences whose chain lost a stage."""

__all__ = ["Recovery"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.adapters import METRICS, OK
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.generation import Generation
from wigeonscale.pipelines.waiting import wait_event
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

MAX_BACKOFF_S = 2.0
# A sequence fails when its chain has lost this many epochs before its first token: the
# sequence itself may crash the engines, as may any other that starts together with it.
# The entry knows about other attempts and decides whether to retry on another chain.
# Without the limit, one dispatch crashes five engines if its chain is repaired four
# times.
MAX_LOST_EPOCHS_BEFORE_TOKEN = 2


class Recovery:
    """Waits for a usable chain and resumes failed sequences on it.

    A newer ready epoch is used at once, and so is another chain with the same head once
    the chain is removed. The same epoch is retried with exponential backoff, since a
    call may fail although its engine is alive. A sequence fails
    after the timeout without a token, however often it was resumed in between, so
    that a second loss during the repair does not extend the timeout. A sequence
    without any token fails when it loses its second epoch.

    Args:
        chains: Returns the newest known chain with an id, or None.
        replacement: Returns a ready chain that this agent heads in place of a removed
            one, or None.
        resume: Starts sequences on a chain, from position 0.
        suspect: Reports an unreachable agent by its id and incarnation.
        clock: Clock port.
        timeout_s: Seconds without a token before a sequence fails.
        backoff_s: Initial backoff before a retry on the same epoch, in seconds.
    """

    def __init__(
        self,
        *,
        chains: Callable[[str], wire.Chain | None],
        replacement: Callable[[wire.Chain], wire.Chain | None],
        resume: Callable[[list[Generation], wire.Chain], None],
        suspect: Callable[[str, int], None],
        clock: Clock,
        timeout_s: float,
        backoff_s: float,
    ):
        self._chains = chains
        self._replacement = replacement
        self._resume = resume
        self._suspect = suspect
        self._clock = clock
        self._timeout_s = timeout_s
        self._backoff_s = backoff_s
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    def members_changed(self) -> None:
        """Check for newer chains now."""
        self._changed.set()
        self._changed = asyncio.Event()

    def start(
        self, generations: list[Generation], chain: wire.Chain, unreachable: set[str]
    ) -> None:
        """Start the recovery of sequences that failed on a chain.

        Args:
            generations: The sequences, already restarted at position 0.
            chain: Chain and epoch on which they failed.
            unreachable: Ids of agents that did not answer.
        """
        now = self._clock.now()
        for generation in generations:
            generation.failures += 1
            if generation.failing_since is None:
                generation.failing_since = now
        for stage in chain.stages:
            if stage.agent_id in unreachable:
                self._suspect(stage.agent_id, stage.incarnation)
        generations = self._fail_after_lost_epochs(generations, chain)
        if not generations:
            return
        task = asyncio.create_task(self._recover(generations, chain))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all recoveries."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _recover(self, waiting: list[Generation], chain: wire.Chain) -> None:
        retry_at = self._clock.now() + self._next_backoff_s(waiting)
        while waiting := self._fail_overdue(waiting, chain):
            changed = self._changed
            now = self._clock.now()
            usable = self._usable_chain(chain, may_repeat_epoch=now >= retry_at)
            if usable is not None:
                METRICS.repairs.add(len(waiting), kind=OK)
                self._resume(waiting, usable)
                return
            oldest = min(generation.failing_since for generation in waiting)
            remaining_s = oldest + self._timeout_s - now
            pause_s = retry_at - now if now < retry_at else self._backoff_s
            await wait_event(changed, self._clock, min(pause_s, remaining_s))

    def _usable_chain(
        self, chain: wire.Chain, *, may_repeat_epoch: bool
    ) -> wire.Chain | None:
        newest = self._chains(chain.chain_id)
        if newest is None:
            return self._replacement(chain)
        is_usable = newest.epoch > chain.epoch or may_repeat_epoch
        return newest if newest.ready and is_usable else None

    def _fail_after_lost_epochs(
        self, generations: list[Generation], chain: wire.Chain
    ) -> list[Generation]:
        """Fail generations that lost too many epochs; return the others."""
        remaining: list[Generation] = []
        for generation in generations:
            epochs = generation.record_chain_loss(chain.chain_id, chain.epoch)
            if epochs < MAX_LOST_EPOCHS_BEFORE_TOKEN:
                remaining.append(generation)
                continue
            _fail(
                generation,
                f"chain {chain.chain_id} lost {epochs} epochs before the first token",
            )
        return remaining

    def _next_backoff_s(self, waiting: list[Generation]) -> float:
        failures = min(generation.failures for generation in waiting)
        return min(self._backoff_s * 2 ** (failures - 1), MAX_BACKOFF_S)

    def _fail_overdue(
        self, waiting: list[Generation], chain: wire.Chain
    ) -> list[Generation]:
        overdue_since = self._clock.now() - self._timeout_s
        remaining: list[Generation] = []
        for generation in waiting:
            if generation.ended:
                continue
            if generation.failing_since > overdue_since:
                remaining.append(generation)
                continue
            _fail(
                generation,
                f"chain {chain.chain_id} produced no token for {self._timeout_s:g} s",
            )
        return remaining


def _fail(generation: Generation, message: str) -> None:
    METRICS.repairs.add(kind=ErrorKind.BACKEND_FAILED)
    exc = WigeonscaleError(ErrorKind.BACKEND_FAILED, message, run_state=RunState.RAN)
    generation.fail(exc)
