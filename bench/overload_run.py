"""Simulation of admission, fair queueing and retries, on queues with a virtual clock.

The project's run uses the daemons' admission, choice of server and retry budget. The
baseline run has none of them: first come, first served, no admission control, round
robin over the servers not known to be down, immediate retry of every failure.
"""

__all__ = ["CAPACITY_RPS", "Load", "Outcome", "Run"]

import itertools
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from bench.overload_server import SLOTS, AdmittingServer, Request
from bench.queues import CapacityServer, VirtualClock
from wigeonscale.errors import WigeonscaleError
from wigeonscale.limits import ConcurrencyGuard
from wigeonscale.routing import Candidate, Chooser, LoadTable, RetryBudget

SEED = 50
SERVERS = 6
DOMAINS = ("a", "b", "c")
SERVICE_S = 1.5
REQUEST_TIMEOUT_S = 10.0
MAX_SERVICE_S = 6.0
MEAN_SERVICE_S = SERVICE_S * (1.0 - math.exp(-MAX_SERVICE_S / SERVICE_S))
CAPACITY_RPS = SERVERS * SLOTS / MEAN_SERVICE_S
MAX_ATTEMPTS = 3
DETECTION_S = 1.5
BALANCER_RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class Load:
    """Request rate of one organisation.

    Attributes:
        organisation: Its name.
        rate: Requests per second.
        caller_retries: How often a caller retries after a refusal or a timeout.
    """

    organisation: str
    rate: float
    caller_retries: int = 0


@dataclass(slots=True)
class Outcome:
    """Result of one run; times are seconds of virtual time.

    Attributes:
        answered: Time, organisation and response time of each complete answer that
            met its deadline.
        submitted_at: Arrival times, without retries of callers.
        dispatched_at: Times of the attempts.
        refused: Requests refused.
        retry_afters: Delays that refused callers were told, in seconds.
        late: Requests that missed their deadline.
    """

    answered: list[tuple[float, str, float]] = field(default_factory=list)
    submitted_at: list[float] = field(default_factory=list)
    dispatched_at: list[float] = field(default_factory=list)
    refused: int = 0
    retry_afters: list[float] = field(default_factory=list)
    late: int = 0

    def goodput(self, start: float, end: float) -> float:
        """Return the complete answers in time per second, between two times."""
        count = sum(start <= at < end for at, _, _ in self.answered)
        return count / (end - start)

    def response_times(self, organisations: Sequence[str], start: float) -> list[float]:
        """Return the response times, in seconds, of answers given after ``start``."""
        return [
            seconds
            for at, organisation, seconds in self.answered
            if at >= start and organisation in organisations
        ]


class Run:
    """One simulation.

    Args:
        own: Whether the project's policies are used; otherwise the baselines.
        loads: Request rates of the organisations.
        duration_s: Virtual time that is simulated, in seconds.
        outage: Start and end of an outage of the last failure domain, or None.
        failing_from_s: Time from which the first server fails every request
            immediately; infinity for never.
        knee: Concurrency above which a server's throughput falls.
        guarded: Whether a :class:`ConcurrencyGuard` limits the concurrency.
    """

    def __init__(
        self,
        *,
        own: bool,
        loads: Sequence[Load],
        duration_s: float,
        outage: tuple[float, float] | None = None,
        failing_from_s: float = math.inf,
        knee: int = SLOTS,
        guarded: bool = False,
    ):
        self._own = own
        self._failing_from_s = failing_from_s
        self._knee = knee
        self._guarded = guarded
        self._duration_s = duration_s
        self._outage = outage or (-1.0, -1.0)
        self._clock = VirtualClock()
        self._rng = random.Random(SEED)
        self._outcome = Outcome()
        self._table = LoadTable(clock=self._clock)
        self._chooser = Chooser(table=self._table, rng=random.Random(SEED + 1))
        self._budget = RetryBudget(clock=self._clock)
        self._turns = itertools.count()
        self._candidates = tuple(
            Candidate(f"agent{i}", f"chain{i}", 1.0, DOMAINS[i % len(DOMAINS)])
            for i in range(SERVERS)
        )
        self._epochs = [0] * SERVERS
        self._servers = [self._new_server(i) for i in range(SERVERS)]
        # Dicts instead of sets, whose order would differ between runs.
        self._in_flight: list[dict[Request, None]] = [{} for _ in range(SERVERS)]
        for load in loads:
            rng = random.Random(f"{SEED} {load.organisation}")
            self._clock.call_at(0.0, lambda load=load, rng=rng: self._arrive(load, rng))
        self._clock.call_at(self._outage[0], self._start_outage)

    def outcome(self) -> Outcome:
        """Run the simulation and return its outcome."""
        self._clock.run(self._duration_s)
        return self._outcome

    def _new_server(self, index: int) -> AdmittingServer | CapacityServer:
        epoch = self._epochs[index]

        def done(req: Request, complete: bool = True, expired: bool = False) -> None:
            # Requests that a server had begun before its outage never complete.
            if self._epochs[index] == epoch:
                self._done(req, complete=complete, expired=expired)

        if self._own:
            guard = ConcurrencyGuard(clock=self._clock, high=SLOTS)
            return AdmittingServer(
                clock=self._clock,
                rng=self._rng,
                done=done,
                knee=self._knee,
                guard=guard if self._guarded else None,
            )
        return CapacityServer(
            clock=self._clock,
            slots=SLOTS,
            service_s=lambda req: req.work_s,
            done=done,
        )

    def _arrive(self, load: Load, rng: random.Random) -> None:
        self._clock.call_later(
            rng.expovariate(load.rate), lambda: self._arrive(load, rng)
        )
        work_s = min(rng.expovariate(1.0 / SERVICE_S), MAX_SERVICE_S)
        self._outcome.submitted_at.append(self._clock.now())
        self._submit(Request(load.organisation, work_s, load.caller_retries))

    def _submit(self, req: Request) -> None:
        now = self._clock.now()
        req.arrived = now
        req.deadline = now + REQUEST_TIMEOUT_S
        req.ended = False
        req.attempts = 0
        req.avoid = frozenset()
        self._clock.call_at(req.deadline, lambda: self._time_out(req, now))
        if self._own:
            self._budget.record()
        self._dispatch(req)

    def _dispatch(self, req: Request) -> None:
        req.attempts += 1
        self._outcome.dispatched_at.append(self._clock.now())
        index = self._choose(req)
        if index is None:
            self._refuse(req, 1.0)
            return
        req.server = index
        self._in_flight[index][req] = None
        self._table.started(f"agent{index}", req.organisation)
        if self._is_down(index):
            return
        if index == 0 and self._clock.now() >= self._failing_from_s:
            self._release(req)
            self._table.failed(f"agent{index}")
            self._retry_or_refuse(req, 1.0)
            return
        try:
            self._servers[index].put(req)
        except WigeonscaleError as exc:
            self._release(req)
            self._retry_or_refuse(req, exc.retry_after)

    def _choose(self, req: Request) -> int | None:
        down = frozenset(self._known_down())
        if not self._own:
            up = [i for i in range(SERVERS) if f"agent{i}" not in down]
            return up[next(self._turns) % len(up)]
        choice = self._chooser.choose(
            self._candidates, organisation=req.organisation, avoid=down | req.avoid
        )
        return None if choice is None else int(choice.key.removeprefix("chain"))

    def _retry_or_refuse(self, req: Request, retry_after: float) -> None:
        req.avoid |= {f"agent{req.server}"}
        may_retry = req.attempts < MAX_ATTEMPTS
        if may_retry and (not self._own or self._budget.try_spend()):
            self._dispatch(req)
        else:
            self._refuse(req, retry_after)

    def _refuse(self, req: Request, retry_after: float) -> None:
        self._outcome.refused += 1
        self._outcome.retry_afters.append(retry_after)
        req.ended = True
        self._schedule_caller_retry(req, retry_after)

    def _time_out(self, req: Request, submitted_at: float) -> None:
        if req.ended or req.arrived != submitted_at:
            return
        req.ended = True
        self._outcome.late += 1
        # Without an answer there is no Retry-After; the load balancer retries soon.
        self._schedule_caller_retry(req, BALANCER_RETRY_DELAY_S)

    def _schedule_caller_retry(self, req: Request, seconds: float) -> None:
        if req.caller_retries > 0:
            retry = Request(req.organisation, req.work_s, req.caller_retries - 1)
            self._clock.call_later(seconds, lambda: self._submit(retry))

    def _done(self, req: Request, *, complete: bool, expired: bool) -> None:
        self._release(req)
        agent_id = f"agent{req.server}"
        self._table.update_load(agent_id, self._servers[req.server].load(0.0))
        if req.ended:
            return
        if expired:
            # An expired request is refused at once, with the queueing time as its
            # Retry-After.
            self._refuse(req, max(1.0, self._servers[req.server].load(0.0).wait_s))
            return
        now = self._clock.now()
        if complete and now <= req.deadline:
            req.ended = True
            self._table.succeeded(agent_id)
            self._outcome.answered.append((now, req.organisation, now - req.arrived))

    def _release(self, req: Request) -> None:
        if req in self._in_flight[req.server]:
            del self._in_flight[req.server][req]
            self._table.finished(f"agent{req.server}", req.organisation)

    def _is_down(self, index: int) -> bool:
        start, end = self._outage
        in_domain = self._candidates[index].domain == DOMAINS[-1]
        return in_domain and start <= self._clock.now() < end

    def _known_down(self) -> list[str]:
        start, end = self._outage
        if not start + DETECTION_S <= self._clock.now() < end + DETECTION_S:
            return []
        return [c.agent_id for c in self._candidates if c.domain == DOMAINS[-1]]

    def _start_outage(self) -> None:
        for index in range(SERVERS):
            if self._is_down(index):
                self._epochs[index] += 1
                self._servers[index] = self._new_server(index)
        self._clock.call_later(DETECTION_S, self._fail_pending)

    def _fail_pending(self) -> None:
        for index in range(SERVERS):
            if not self._is_down(index):
                continue
            for req in list(self._in_flight[index]):
                self._release(req)
                if not req.ended:
                    self._retry_or_refuse(req, 1.0)
