"""Admission control of the agent: a bounded queue, and the backend server's slots."""

__all__ = ["AdmissionController"]

import random
from collections.abc import Callable

from wigeonscale.agent.answers import Dispatch
from wigeonscale.errors import WigeonscaleError
from wigeonscale.limits import FairQueue, WaitEstimator, check_deadline
from wigeonscale.ports import Clock


class AdmissionController:
    """Starts dispatches when slots become free, by priority and fair share.

    Args:
        clock: Clock port.
        slots: Maximum number of requests that run concurrently.
        queue_limit: Maximum number of queued requests.
        share: Returns the weight of an organisation.
        begin: Starts a dispatch.
        expire: Called with a dispatch whose deadline passed in the queue.
        rng: Adds jitter to the retry times of refused requests.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        queue_limit: int,
        share: Callable[[str], float],
        begin: Callable[[Dispatch], None],
        expire: Callable[[Dispatch], None],
        rng: random.Random | None = None,
    ):
        self.slots = slots
        self.running = 0
        self._clock = clock
        self._share = share
        self._begin = begin
        self._expire = expire
        self._rng = rng
        self._is_starting = False
        self._queue: FairQueue[Dispatch] = FairQueue(limit=queue_limit, clock=clock)
        self._estimator = WaitEstimator(clock=clock)

    @property
    def queued(self) -> int:
        """Number of queued dispatches."""
        return len(self._queue)

    def wait_s(self) -> float:
        """Return the estimated queueing time of a new request, in seconds."""
        if self.running < self.slots:
            return 0.0
        return self._estimator.wait(self.queued + 1, self.slots)

    def check(self, organisation: str, priority: int, deadline_s: float | None) -> None:
        """Refuse a request that would start too late to meet its deadline.

        Args:
            organisation: Organisation of the caller.
            priority: Priority of the request.
            deadline_s: Seconds until its deadline, or None.

        Raises:
            WigeonscaleError: ``OVERLOADED``, not run, with ``retry_after``.
        """
        if self.running < self.slots:
            return
        share = self._share(organisation)
        ahead = self._queue.ahead(organisation, priority=priority, share=share)
        check_deadline(
            wait_s=self._estimator.wait(ahead + 1, self.slots),
            service_s=self._estimator.admission_service_s(deadline_s),
            deadline_s=deadline_s,
            rng=self._rng,
        )

    def push(self, dispatch: Dispatch) -> int:
        """Enqueue a dispatch, then start queued dispatches while slots are free.

        Returns:
            The number of dispatches that were queued before it.

        Raises:
            WigeonscaleError: ``OVERLOADED``, not run, with ``retry_after``.
        """
        queued_before = self.queued
        if self.running < self.slots and not queued_before:
            self._start(dispatch)
            return 0
        try:
            self._queue.push(
                dispatch,
                organisation=dispatch.organisation,
                priority=dispatch.open.priority,
                share=self._share(dispatch.organisation),
                deadline=self._latest_start(dispatch.deadline),
            )
        except WigeonscaleError as exc:
            exc.retry_after = exc.retry_after or max(1.0, self.wait_s())
            raise
        self.start_queued()
        return queued_before

    def remove(self, dispatch: Dispatch) -> bool:
        """Remove a dispatch from the queue; return whether it was queued."""
        return self._queue.remove(dispatch)

    def finished(self, dispatch: Dispatch) -> None:
        """Free the slot of a dispatch that ran."""
        self._estimator.finished(self._clock.now() - dispatch.started_at)
        self.release()

    def release(self) -> None:
        """Free the slot of a dispatch that never ran."""
        self.running -= 1
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued dispatches while slots are free, and expire late ones."""
        if self._is_starting:
            # A start that fails at once releases its slot, which calls this method
            # again; the outer loop continues.
            return
        self._is_starting = True
        try:
            while self.running < self.slots:
                dispatch = self._queue.pop()
                if dispatch is None:
                    break
                self._start(dispatch)
            for dispatch in self._queue.take_expired():
                self._expire(dispatch)
        finally:
            self._is_starting = False

    def _latest_start(self, deadline: float | None) -> float | None:
        if deadline is None:
            return None
        return deadline - self._estimator.start_service_s(deadline - self._clock.now())

    def _start(self, dispatch: Dispatch) -> None:
        self.running += 1
        dispatch.started_at = self._clock.now()
        self._begin(dispatch)
