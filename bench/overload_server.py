"""A small queue at the engine port behind the agent's own admission."""

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
ORDINARY = SimpleNamespace(priority=0)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, over all its attempts."""

    organisation: str
    work_s: float
    returns: int
    arrived: float = 0.0
    deadline: float = 0.0
    started_at: float = 0.0
    attempts: int = 0
    server: int = -1
    ended: bool = False
    avoid: frozenset[str] = frozenset()
    open: SimpleNamespace = field(default_factory=lambda: ORDINARY)


class AdmittingServer:
    """A server behind the agent's own admission.

    Args:
        clock: Virtual clock.
        rng: Spreads the times at which refused requests come back.
        done: Called with a request that has ended.
        knee: Requests at once beyond which the throughput falls.
        guard: Limits the requests at once, or None.
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
        self._generation = itertools.count()
        self._running: dict[Request, tuple[int, int]] = {}
        self.admission = AdmissionController(
            clock=clock,
            slots=SLOTS,
            queue_limit=QUEUE_LIMIT,
            share=lambda organisation: 1.0,
            begin=self._begin,
            expire=lambda req: done(req, whole=False, expired=True),
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
        """Return the load word."""
        return SimpleNamespace(
            running=self.admission.running,
            queued=self.admission.queued,
            slots=SLOTS,
            wait_s=self.admission.wait_s(),
            leaving=False,
        )

    def _begin(self, req: Request) -> None:
        number = next(self._generation)
        running = self.admission.running
        self._running[req] = number, running
        stretch = max(1.0, running / self._knee) ** 2
        self._clock.after(
            req.work_s * stretch, lambda: self._end(req, number, whole=True)
        )
        # The entry cancels at the deadline.
        self._clock.at(req.deadline, lambda: self._end(req, number, whole=False))

    def _end(self, req: Request, number: int, *, whole: bool) -> None:
        if self._running.get(req, (None, 0))[0] != number:
            return
        _, running = self._running.pop(req)
        if self._guard is not None:
            self._guard.finished(running, self._clock.now() - req.started_at)
            self.admission.slots = self._guard.limit
        self.admission.finished(req)
        self._done(req, whole=whole)
