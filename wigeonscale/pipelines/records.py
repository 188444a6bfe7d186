"""Per-sequence state of a stage, which enforces the order of the steps."""

__all__ = ["SequenceRecord", "SequenceRecords"]

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.pipelines.constants import (
    MAX_ENDED_SEQUENCES,
    RECENT_USE_S,
    SEQUENCE_IDLE_S,
)
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


@dataclass(slots=True, eq=False)
class SequenceRecord:
    """One run of a sequence on this stage.

    Attributes:
        epoch: Epoch of the chain in which it runs.
        next_position: The only position that may run next.
        last_step_at: Clock time of its last step.
        position: Position of its last step; -1 before the first.
        result_future: Result of the last step; pending while the step runs.
        failed: Whether a step failed; no further steps are admitted then.
    """

    epoch: int
    next_position: int
    last_step_at: float
    position: int = -1
    result_future: asyncio.Future | None = None
    failed: bool = False

    @property
    def is_running(self) -> bool:
        """Whether its last step is still running."""
        return self.result_future is not None and not self.result_future.done()


class SequenceRecords:
    """Admits each position of a run exactly once and in order.

    Args:
        clock: Clock port.
        check_admission: Raises if no new sequence may start on this stage.
        on_ended: Called with the id of a sequence whose engine state may be freed.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        check_admission: Callable[[], None],
        on_ended: Callable[[str], None],
    ):
        self._clock = clock
        self._check_admission = check_admission
        self._on_ended = on_ended
        self._running: dict[str, SequenceRecord] = {}
        self._ended: OrderedDict[str, SequenceRecord] = OrderedDict()
        self._epochs: dict[str, int] = {}
        self._last_expiry_at = clock.now()

    def __len__(self) -> int:
        return len(self._running)

    def recently_used(self) -> bool:
        """Return whether a step runs or was admitted within ``RECENT_USE_S``."""
        oldest = self._clock.now() - RECENT_USE_S
        return any(
            r.is_running or r.last_step_at > oldest for r in self._running.values()
        )

    def advance_epoch(self, chain_id: str, epoch: int) -> None:
        """Refuse new sequences of older epochs of this chain from now on."""
        self._epochs[chain_id] = max(epoch, self._epochs.get(chain_id, 0))

    def find(self, sequence_id: str) -> SequenceRecord | None:
        """Return the record of an active or ended run, or None."""
        return self._running.get(sequence_id) or self._ended.get(sequence_id)

    def recorded_result(self, step: wire.SequenceStep) -> asyncio.Future | None:
        """Return the result of a step that was admitted before, or None."""
        record = self.find(step.sequence_id)
        if record is not None and record.position == step.position:
            return record.result_future
        return None

    def admit(self, step: wire.SequenceStep, req: wire.StepRequest) -> asyncio.Future:
        """Admit a step that is to run now.

        Returns:
            The future of its result, which the caller completes by
            :meth:`set_result`.

        Raises:
            WigeonscaleError: The step must not run.
        """
        self._check(step, req)
        record = self._running.get(step.sequence_id)
        if record is None:
            record = SequenceRecord(step.epoch, 0, self._clock.now())
            self._running[step.sequence_id] = record
            self.advance_epoch(req.chain_id, req.epoch)
        record.position = step.position
        record.next_position = step.position + step.count
        record.last_step_at = self._clock.now()
        record.result_future = asyncio.get_running_loop().create_future()
        return record.result_future

    def set_result(self, result: wire.StepResult) -> None:
        """Complete the last admitted step of a sequence."""
        record = self.find(result.sequence_id)
        if record is None or record.result_future is None:
            return
        record.failed = record.failed or bool(result.kind)
        if not record.result_future.done():
            record.result_future.set_result(result)

    def end(self, sequence_id: str) -> None:
        """End a run, which never starts again, but keep its last result for resends."""
        record = self._running.pop(sequence_id, None)
        if record is not None:
            self._ended[sequence_id] = record
            self._on_ended(sequence_id)
        elif sequence_id not in self._ended:
            self._ended[sequence_id] = SequenceRecord(0, 0, 0.0)
        while len(self._ended) > MAX_ENDED_SEQUENCES:
            self._ended.popitem(last=False)

    def expire_idle(self) -> None:
        """End sequences without a step for ``SEQUENCE_IDLE_S``; their head is lost."""
        now = self._clock.now()
        if now - self._last_expiry_at < SEQUENCE_IDLE_S / 4:
            return
        self._last_expiry_at = now
        for sequence_id, record in list(self._running.items()):
            if now - record.last_step_at > SEQUENCE_IDLE_S and not record.is_running:
                self.end(sequence_id)

    def _check(self, step: wire.SequenceStep, req: wire.StepRequest) -> None:
        label = f"sequence {step.sequence_id}"
        record = self._running.get(step.sequence_id)
        if step.sequence_id in self._ended:
            raise WigeonscaleError(ErrorKind.CANCELLED, f"{label} has already ended")
        if step.epoch != req.epoch or (record and record.epoch != step.epoch):
            raise WigeonscaleError(
                ErrorKind.STALE_EPOCH, f"{label} does not belong to epoch {step.epoch}"
            )
        if record is None:
            self._check_first(step, req, label)
            return
        if record.is_running:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST, f"{label}: position {record.position} is running"
            )
        if record.failed:
            raise WigeonscaleError(
                ErrorKind.BACKEND_FAILED, f"{label} failed at an earlier step"
            )
        if step.first or step.position != record.next_position or step.count < 1:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"{label}: got position {step.position}, expected"
                f" {record.next_position}",
            )

    def _check_first(
        self, step: wire.SequenceStep, req: wire.StepRequest, label: str
    ) -> None:
        newest = self._epochs.get(req.chain_id, 0)
        if req.epoch < newest:
            raise WigeonscaleError(
                ErrorKind.STALE_EPOCH,
                f"epoch {req.epoch} of chain {req.chain_id} is older than {newest}",
            )
        if not step.first or step.position != 0 or step.count < 1:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"{label} is unknown and cannot start at position {step.position}",
            )
        self._check_admission()
