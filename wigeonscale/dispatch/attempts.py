"""Dispatch of one request: agent selection, claim, sealing and retries."""

__all__ = ["Dispatcher"]

import asyncio
import functools

from wigeonscale.adapters import METRICS
from wigeonscale.dispatch.answer import Answer
from wigeonscale.dispatch.claims import Claims, Selection, TargetSelector
from wigeonscale.dispatch.crashing import CrashGuard
from wigeonscale.dispatch.retries import (
    caller_error,
    combined_run_state,
    is_sealed_by_other,
    may_retry,
)
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.dispatch.transport import DispatchTransport
from wigeonscale.dispatch.work import Work, new_dispatch_id
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.routing import RetryBudget
from wigeonscale.wire import wire_pb2 as wire

DEFAULT_RETRY_AFTER_S = 1.0
# One day, which is no limit in practice: the deadline of the work applies.
NO_LIMIT_S = 86400.0
REPAIR_WAIT_S = 10.0
REPAIR_POLL_INTERVAL_S = 0.05


class Dispatcher:
    """Dispatches work to agents.

    Args:
        transport: Transport of dispatches to agents.
        selector: Selects the agent for each attempt.
        claims: Claims of once-only work.
        budget: Retry budget.
        crashes: Refuses work that crashes backend servers.
        clock: Clock port.
        open_timeout_s: Longest wait for a dispatch to be accepted, in seconds.
        repair_wait_s: Longest time for which work in progress waits for an agent that
            can continue it, in seconds. New work is refused at once instead.
    """

    def __init__(
        self,
        *,
        transport: DispatchTransport,
        selector: TargetSelector,
        claims: Claims,
        budget: RetryBudget,
        crashes: CrashGuard,
        clock: Clock,
        open_timeout_s: float = 5.0,
        repair_wait_s: float = REPAIR_WAIT_S,
    ):
        self._transport = transport
        self._selector = selector
        self._claims = claims
        self._budget = budget
        self._crashes = crashes
        self._clock = clock
        self._open_timeout_s = open_timeout_s
        self._repair_wait_s = repair_wait_s

    async def start(self, work: Work) -> Answer:
        """Dispatch work and return once its answer has begun.

        Args:
            work: The work.

        Returns:
            The answer, to be closed or abandoned by the caller.

        Raises:
            WigeonscaleError: With run state ``NOT_RUN`` only when the work provably
                did not run.
        """
        self._budget.record()
        stream = await self._open(work, AnswerRecord(), frozenset())
        if stream.response is not None:
            self._crashes.clear_suspect(work)
        return Answer(
            stream=stream,
            transport=self._transport,
            work=work,
            reopen=self._open,
            on_complete=functools.partial(self._crashes.clear_suspect, work),
        )

    async def attach(
        self, target: Target, dispatch_id: str, organisation: str, from_token: int
    ) -> Answer:
        """Attach to an answer by its id, from a token index on.

        Args:
            target: Agent that holds the answer.
            dispatch_id: Id of its dispatch.
            organisation: Organisation of the caller; checked by the agent.
            from_token: Index of the first token to read.

        Returns:
            The answer, to be closed by the caller.

        Raises:
            WigeonscaleError: Refusal of an agent that does not hold the answer.
        """
        stream = self._transport.attach(target, dispatch_id, organisation, from_token)
        try:
            await self._transport.wait_begun(stream)
        except asyncio.CancelledError:
            self._transport.drop(stream)
            raise
        return Answer(stream=stream, transport=self._transport)

    async def _open(
        self, work: Work, record: AnswerRecord, avoid: frozenset[str]
    ) -> DispatchStream:
        """Dispatch work; try other agents when one refuses."""
        refusal: WigeonscaleError | None = None
        run_state = RunState.RAN if record.texts else RunState.NOT_RUN
        for _ in range(max(1, work.attempts)):
            if refusal is not None:
                if not may_retry(work, refusal, self._budget):
                    break
                METRICS.retries.add(kind=refusal.kind)
            await self._crashes.wait_for_trial(work)
            crashing = self._crashes.refusal(work)
            if crashing is not None:
                refusal = crashing
                break
            selection = self._choose(work, avoid)
            if (
                selection is None
                and work.repeatable
                and run_state is not RunState.NOT_RUN
            ):
                selection = await self._wait_for_target(work)
            if selection is None:
                break
            try:
                self._check_deadline(work)
                return await self._attempt(work, record, *selection)
            except WigeonscaleError as exc:
                refusal = exc
                # An earlier dispatch may have run even if this one did not.
                run_state = combined_run_state(run_state, exc.run_state)
                if not is_sealed_by_other(exc):
                    avoid = avoid | {selection[0].agent_id}
        refusal = refusal or await self._no_backend_error(work)
        if work.once and refusal.kind is ErrorKind.CRASHES_BACKENDS:
            # The outcome of an earlier request with the same key takes precedence.
            await self._claims.check_unclaimed(work)
        refusal.run_state = run_state
        raise caller_error(refusal, once=work.once)

    def _choose(self, work: Work, avoid: frozenset[str]) -> Selection | None:
        others = self._crashes.agents_of_other_suspects(work)
        selection = self._selector.choose(work, avoid | others) if others else None
        return selection or self._selector.choose(work, avoid)

    async def _wait_for_target(self, work: Work) -> Selection | None:
        """Wait until control has repaired the chain or agent lost by this work."""
        end = min(work.deadline, self._clock.now() + self._repair_wait_s)
        while self._clock.now() < end:
            # Excludes no agent: a new incarnation of a failed one is as good as any.
            selection = self._selector.choose(work, frozenset())
            if selection is not None:
                return selection
            await self._clock.sleep(REPAIR_POLL_INTERVAL_S)
        return None

    async def _no_backend_error(self, work: Work) -> WigeonscaleError:
        if work.once:
            await self._claims.check_unclaimed(work)
        destination = work.pipeline or work.service
        return WigeonscaleError(
            ErrorKind.NO_BACKEND,
            f"no backend server is ready for {destination!r}",
            retry_after=DEFAULT_RETRY_AFTER_S,
        )

    def _check_deadline(self, work: Work) -> None:
        if self._clock.now() >= work.deadline:
            raise WigeonscaleError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed before the work could start",
                retry_after=DEFAULT_RETRY_AFTER_S,
            )

    async def _attempt(
        self,
        work: Work,
        record: AnswerRecord,
        target: Target,
        chain: wire.Chain | None,
    ) -> DispatchStream:
        dispatch_id = new_dispatch_id(target.agent_id)
        if work.once:
            existing = await self._claims.acquire(work, dispatch_id, target)
            if existing is not None:
                work.dispatch_ids.append(existing.dispatch_id)
                return existing
        opening = work.open_message(
            dispatch_id=dispatch_id,
            target=target,
            chain=chain,
            record=record,
            remaining_s=work.deadline - self._clock.now(),
        )
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=target,
            organisation=work.organisation,
            record=record,
            opening=opening,
        )
        self._transport.add_stream(stream)
        work.dispatch_ids.append(dispatch_id)
        try:
            with self._crashes.track_start(work, target, chain):
                await self._wait_begun_or_seal(work, stream)
        except asyncio.CancelledError:
            self._transport.drop(stream, cancel=not work.once)
            raise
        except WigeonscaleError as exc:
            self._transport.drop(stream)
            if work.once and exc.run_state is RunState.NOT_RUN:
                self._claims.release_in_background(work, dispatch_id)
            raise
        return stream

    async def _wait_begun_or_seal(self, work: Work, stream: DispatchStream) -> None:
        """Wait until the dispatch has begun; on a timeout, seal it."""
        accepted = await self._completes_within(
            stream.wait_accepted(), work, self._open_timeout_s
        )
        begun = accepted and await self._completes_within(stream.wait_begun(), work)
        if not begun and await stream.seal():
            raise self._sealed_error(work, accepted)
        await self._transport.wait_begun(stream)

    async def _completes_within(
        self, coro, work: Work, limit_s: float = NO_LIMIT_S
    ) -> bool:
        limit_s = min(limit_s, work.deadline - self._clock.now())
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                await coro
        except TimeoutError:
            return False
        return True

    def _sealed_error(self, work: Work, accepted: bool) -> WigeonscaleError:
        if accepted or self._clock.now() >= work.deadline:
            return WigeonscaleError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed before the work started; it will not run",
                retry_after=DEFAULT_RETRY_AFTER_S,
            )
        return WigeonscaleError(
            ErrorKind.BACKEND_FAILED,
            f"dispatch not accepted within {self._open_timeout_s:g} s; it will not run",
            retry_after=DEFAULT_RETRY_AFTER_S,
        )
