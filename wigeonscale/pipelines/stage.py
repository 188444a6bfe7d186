"""Runs the steps of one stage exactly once, in order, and forwards the results."""

__all__ = ["StageRunner"]

import asyncio
import logging
from collections.abc import Callable, Iterable

from wigeonscale.adapters import METRICS
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.pipelines.constants import (
    ENGINE_CALLS_IN_FLIGHT,
    ENGINE_STEP_TIMEOUT_S,
)
from wigeonscale.pipelines.cost import IterationCost
from wigeonscale.pipelines.links import PeerLostError, StepLinks
from wigeonscale.pipelines.records import SequenceRecords
from wigeonscale.ports import Clock, Engine, EngineInfo, EngineResult, EngineStep
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

NO_RESULT = "stage returned no result"


class StageRunner:
    """Runs steps on one engine and forwards them to the following stages.

    The steps of a sequence run strictly in order. A repeated step is answered from
    its record, even while it is still running, and never runs on the engine again.
    After a failed engine call no further steps of the run are accepted; the sequence
    continues only as a new run under a new sequence id.

    Args:
        agent_id: Id of this backend server.
        incarnations: Returns the incarnations of this process, newest last.
        engine: Engine of this stage.
        loaded: Returns the last known state of the engine, or None.
        links: Connections to the following stages.
        clock: Clock port.
        check_admission: Raises if no new sequence may start on this stage.
        step_timeout_s: Timeout of an engine call, in seconds.
        on_engine_failed: Called after each failed engine call.

    Attributes:
        cost: Measured cost of iterations on the engine.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        incarnations: Callable[[], Iterable[int]],
        engine: Engine,
        loaded: Callable[[], EngineInfo | None],
        links: StepLinks,
        clock: Clock,
        check_admission: Callable[[], None] = lambda: None,
        step_timeout_s: float = ENGINE_STEP_TIMEOUT_S,
        on_engine_failed: Callable[[], None] = lambda: None,
    ):
        self._agent_id = agent_id
        self._incarnations = incarnations
        self._engine = engine
        self._loaded = loaded
        self._links = links
        self._step_timeout_s = step_timeout_s
        self._on_engine_failed = on_engine_failed
        self._records = SequenceRecords(
            clock=clock,
            check_admission=check_admission,
            on_ended=self._cancel_on_engine,
        )
        self._engine_calls = asyncio.Semaphore(ENGINE_CALLS_IN_FLIGHT)
        self.cost = IterationCost()
        self._clock = clock
        self._engine_done_at = 0.0
        self._to_cancel: list[str] = []
        self._call_timeouts: set[asyncio.Timeout] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def active(self) -> int:
        """Number of active sequences on this stage."""
        return len(self._records)

    def recently_used(self) -> bool:
        """Return whether a step runs or was admitted within ``RECENT_USE_S``."""
        return self._records.recently_used()

    def advance_epoch(self, chain_id: str, epoch: int) -> None:
        """Refuse new sequences of older epochs of this chain from now on."""
        self._records.advance_epoch(chain_id, epoch)

    def abort_engine_calls(self) -> None:
        """Fail the engine calls in progress, because the engine does not respond."""
        now = asyncio.get_running_loop().time()
        for call_timeout in self._call_timeouts:
            call_timeout.reschedule(now)

    async def run(self, req: wire.StepRequest) -> wire.StepReply:
        """Run one iteration on this stage and on all following ones.

        Args:
            req: The iteration; the first entry of ``rest`` must be this stage.

        Returns:
            One result per step, in the order of the request. A step that cannot run
            raises nothing; its result contains the error kind.
        """
        for sequence_id in req.cancelled:
            self._records.end(sequence_id)
        self._records.expire_idle()
        refusal = self._refusal(req)
        pending = [self._admit_step(step, req, refusal) for step in req.steps]
        new_steps = [
            step for step, (_, is_new) in zip(req.steps, pending, strict=True) if is_new
        ]
        if new_steps or (req.cancelled and len(req.rest) > 1):
            await self._run_new_steps(req, new_steps)
        results = [await fut for fut, _ in pending]
        for step in req.steps:
            if step.last:
                self._records.end(step.sequence_id)
        return wire.StepReply(
            batch_id=req.batch_id,
            results=[
                _with_attempt(result, step.attempt)
                for result, step in zip(results, req.steps, strict=True)
            ],
        )

    async def close(self) -> None:
        """Stop the background calls that cancel sequences on the engine."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _refusal(self, req: wire.StepRequest) -> WigeonscaleError | None:
        if not req.rest:
            return WigeonscaleError(
                ErrorKind.BAD_REQUEST, "request contains no stage to run"
            )
        stage = req.rest[0]
        if stage.agent_id != self._agent_id:
            return WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"request for agent {stage.agent_id} reached agent {self._agent_id}",
            )
        if stage.incarnation not in self._incarnations():
            return WigeonscaleError(
                ErrorKind.STALE_INCARNATION,
                f"incarnation {stage.incarnation} of {self._agent_id} is not running",
            )
        info = self._loaded()
        wanted = (stage.first_layer, stage.last_layer)
        if info is None or (info.first_layer, info.last_layer) != wanted:
            return WigeonscaleError(
                ErrorKind.STALE_EPOCH,
                f"expected layers {wanted} to be loaded, found {info}",
            )
        return None

    def _admit_step(
        self,
        step: wire.SequenceStep,
        req: wire.StepRequest,
        refusal: WigeonscaleError | None,
    ) -> tuple[asyncio.Future, bool]:
        """Return the future of the result and whether the step must run now."""
        recorded = self._records.recorded_result(step)
        if recorded is not None:
            return recorded, False
        try:
            if refusal is not None:
                raise refusal
            return self._records.admit(step, req), True
        except WigeonscaleError as exc:
            return _completed_future(
                self._failed_result(step, exc.kind, exc.message)
            ), False

    async def _run_new_steps(
        self, req: wire.StepRequest, new_steps: list[wire.SequenceStep]
    ) -> None:
        """Run new steps and complete their futures, also after an error."""
        results: dict[str, wire.StepResult] = {}
        try:
            outputs = await self._run_engine(req, new_steps, results)
            await self._forward(req, new_steps, outputs, results)
        except Exception as exc:
            logger.exception("iteration of chain %s failed", req.chain_id)
            for step in new_steps:
                failure = self._failed_result(step, ErrorKind.INTERNAL, repr(exc))
                results.setdefault(step.sequence_id, failure)
        finally:
            for step in new_steps:
                missing = self._failed_result(step, ErrorKind.INTERNAL, NO_RESULT)
                self._records.set_result(results.get(step.sequence_id, missing))

    async def _run_engine(
        self,
        req: wire.StepRequest,
        new_steps: list[wire.SequenceStep],
        results: dict[str, wire.StepResult],
    ) -> list[EngineResult]:
        if not new_steps:
            return []
        steps = [_engine_step(step, req.rest[0]) for step in new_steps]
        METRICS.iterations.add()
        try:
            async with self._engine_calls:
                began_at = self._clock.now()
                outputs = await self._call_engine(steps)
                self._observe(new_steps, began_at)
        except (WigeonscaleError, TimeoutError) as exc:
            logger.warning("engine call failed: %r", exc)
            self._on_engine_failed()
            for step in new_steps:
                results[step.sequence_id] = self._failed_result(
                    step, ErrorKind.BACKEND_FAILED, f"engine call failed: {exc!r}"
                )
            return []
        for step, output in zip(new_steps, outputs, strict=True):
            if output.error:
                results[step.sequence_id] = self._failed_result(
                    step, ErrorKind.BACKEND_FAILED, output.error
                )
        return [output for output in outputs if not output.error]

    async def _call_engine(self, steps: list[EngineStep]) -> list[EngineResult]:
        async with asyncio.timeout(self._step_timeout_s) as call_timeout:
            self._call_timeouts.add(call_timeout)
            try:
                return await self._engine.run(steps)
            finally:
                self._call_timeouts.discard(call_timeout)

    def _observe(self, new_steps: list[wire.SequenceStep], began_at: float) -> None:
        # The engine runs one iteration at a time, so the time spent waiting for the
        # previous iteration does not count.
        now = self._clock.now()
        seconds = now - max(began_at, self._engine_done_at)
        self._engine_done_at = now
        self.cost.observe(sum(step.count for step in new_steps), seconds)

    async def _forward(
        self,
        req: wire.StepRequest,
        new_steps: list[wire.SequenceStep],
        outputs: list[EngineResult],
        results: dict[str, wire.StepResult],
    ) -> None:
        if len(req.rest) == 1:
            for output in outputs:
                results[output.sequence_id] = _token_result(output)
            return
        hidden = {output.sequence_id: output.hidden for output in outputs}
        forwarded = wire.StepRequest(
            chain_id=req.chain_id,
            epoch=req.epoch,
            rest=req.rest[1:],
            cancelled=req.cancelled,
        )
        for step in new_steps:
            if step.sequence_id in hidden:
                copy = forwarded.steps.add()
                copy.CopyFrom(step)
                copy.hidden = hidden[step.sequence_id]
                copy.attempt = 1
        if not forwarded.steps and not forwarded.cancelled:
            return
        next_stage = req.rest[1]
        try:
            reply = await self._links.call(next_stage.address, forwarded)
        except PeerLostError as exc:
            for step in forwarded.steps:
                results[step.sequence_id] = self._failed_result(
                    step, exc.kind, exc.message, next_stage.agent_id
                )
            return
        results.update({result.sequence_id: result for result in reply.results})

    def _failed_result(
        self,
        step: wire.SequenceStep,
        kind: ErrorKind,
        message: str,
        unreachable_agent: str = "",
    ) -> wire.StepResult:
        return wire.StepResult(
            sequence_id=step.sequence_id,
            position=step.position,
            kind=kind,
            message=message,
            failed_agent=unreachable_agent or self._agent_id,
            unreachable=bool(unreachable_agent),
        )

    def _cancel_on_engine(self, sequence_id: str) -> None:
        # All cancellations of one iteration are sent to the engine in one call.
        self._to_cancel.append(sequence_id)
        if len(self._to_cancel) > 1:
            return
        task = asyncio.create_task(self._cancel())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel(self) -> None:
        sequence_ids, self._to_cancel = self._to_cancel, []
        try:
            await self._engine.cancel(sequence_ids)
        except WigeonscaleError as exc:
            logger.warning(
                "engine failed to cancel sequences %s: %s", sequence_ids, exc
            )


def _completed_future(result: wire.StepResult) -> asyncio.Future:
    fut = asyncio.get_running_loop().create_future()
    fut.set_result(result)
    return fut


def _with_attempt(result: wire.StepResult, attempt: int) -> wire.StepResult:
    copy = wire.StepResult()
    copy.CopyFrom(result)
    copy.attempt = attempt
    return copy


def _engine_step(step: wire.SequenceStep, stage: wire.Stage) -> EngineStep:
    return EngineStep(
        sequence_id=step.sequence_id,
        epoch=step.epoch,
        position=step.position,
        count=step.count,
        first=step.first,
        hidden=step.hidden,
        priority=step.priority,
        first_layer=stage.first_layer,
        last_layer=stage.last_layer,
    )


def _token_result(output: EngineResult) -> wire.StepResult:
    return wire.StepResult(
        sequence_id=output.sequence_id,
        position=output.position,
        token=wire.Token(id=output.token_id or 0, text=output.token_text),
        end=output.end,
    )
