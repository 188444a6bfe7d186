"""Simulated backend server behind the agent's admission control."""

__all__ = ["SLOTS", "AdmittingServer", "Request"]

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from bench.queues import VirtualClock
from wigeonscale.agent.admission import AdmissionController
from wigeonscale.limits import ConcurrencyGuard

SLOTS = 16
QUEUE_LIMIT = 256
DEFAULT_OPEN = SimpleNamespace(priority=0)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, with the state of all its attempts."""

    organisation: str
    work_s: float
    caller_retries: int
    arrived: float = 0.0
    deadline: float = 0.0
    started_at: float = 0.0
    attempts: int = 0
    server: int = -1
    ended: bool = False
    avoid: frozenset[str] = frozenset()
    open: SimpleNamespace = field(default_factory=lambda: DEFAULT_OPEN)


class AdmittingServer:
    """A server behind the agent's admission control.

    Args:
        clock: Virtual clock.
        rng: Adds jitter to the Retry-After delays of refused requests.
        done: Called with each ended request.
        knee: Concurrency above which the throughput falls.
        guard: Limits the concurrency, or None.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        rng: random.Random,
        done: Callable,
        knee: int = SLOTS,
        guard: ConcurrencyGuard | None = None,
    ):
        self._clock = clock
        self._done = done
        self._knee = knee
        self._guard = guard
        self._numbers = itertools.count()
        self._running: dict[Request, tuple[int, int]] = {}
        self.admission = AdmissionController(
            clock=clock,
            slots=SLOTS,
            queue_limit=QUEUE_LIMIT,
            share=lambda organisation: 1.0,
            begin=self._begin,
            expire=lambda req: done(req, complete=False, expired=True),
            rng=rng,
        )

    def put(self, req: Request) -> None:
        """Admit a request or refuse it.

        Raises:
            WigeonscaleError: ``OVERLOADED``.
        """
        remaining_s = req.deadline - self._clock.now()
        self.admission.check(req.organisation, 0, remaining_s)
        self.admission.push(req)

    def load(self, lag_s: float) -> SimpleNamespace:
        """Return the current load, with the fields of the message ``LoadWord``."""
        return SimpleNamespace(
            running=self.admission.running,
            queued=self.admission.queued,
            slots=SLOTS,
            wait_s=self.admission.wait_s(),
            leaving=False,
        )

    def _begin(self, req: Request) -> None:
        number = next(self._numbers)
        running = self.admission.running
        self._running[req] = number, running
        slowdown = max(1.0, running / self._knee) ** 2
        self._clock.call_later(
            req.work_s * slowdown, lambda: self._end(req, number, complete=True)
        )
        # The entry cancels the request at its deadline.
        self._clock.call_at(
            req.deadline, lambda: self._end(req, number, complete=False)
        )

    def _end(self, req: Request, number: int, *, complete: bool) -> None:
        if self._running.get(req, (None, 0))[0] != number:
            return
        _, running = self._running.pop(req)
        if self._guard is not None:
            self._guard.finished(running, self._clock.now() - req.started_at)
            self.admission.slots = self._guard.limit
        self.admission.finished(req)
        self._done(req, complete=complete)
