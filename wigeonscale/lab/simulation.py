"""Simulates a scenario: many entries that route independently to the same engines.

Entries run the production code (:mod:`wigeonscale.direct.choice`,
:mod:`wigeonscale.direct.backend_tracker`, :mod:`wigeonscale.layers`) on load data that
is as stale as in production. All random draws come from one seed; the same seed gives
the same results.
"""

__all__ = ["simulate"]

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from wigeonscale.direct import BackendTracker
from wigeonscale.direct.admission_queue import (
    INITIAL_RESPONSE_TIME_S,
    MAX_QUEUE_WAIT_S,
    QUEUE_POLL_INTERVAL_S,
)
from wigeonscale.direct.choice import choose_path, path_costs
from wigeonscale.direct.progress import MAX_SENDS
from wigeonscale.direct.runs import Run
from wigeonscale.lab.engines import SimulatedEngine, SimulatedRun, advance, start, stop
from wigeonscale.lab.fleet import plan_engines
from wigeonscale.lab.load_exchange import LoadExchange
from wigeonscale.lab.results import WINDOW_S, SimulationResult, Window
from wigeonscale.lab.scenario import Scenario
from wigeonscale.lab.workload import draw_poisson, draw_request_sizes
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import GenerationSize

STEP_S = 0.02
# A first token after this time is late, as the users' requirements define it.
FIRST_TOKEN_TARGET_S = 0.6
# Time from the failure of an engine until its streams move to other engines and it gets
# no more requests: a silent path triggers a probe, the probe fails, and the failure is
# reported to the entries.
FAILURE_DETECTION_S = 0.5


def simulate(scenario: Scenario, *, seed: int) -> SimulationResult:
    """Simulate a scenario and return its results.

    Args:
        scenario: Fleet, load and faults.
        seed: Seed of all random draws.

    Notes:
        Each step of 20 simulated ms costs time proportional to the runs in progress
        times the parts of their paths, and each request one choice of path. 11
        simulated seconds of 68 entries and 130 engines take 14 s.
    """
    return _Simulation(scenario, seed).run()


class _SimulatedClock:
    """Clock of simulated time, advanced by the simulation."""

    def __init__(self):
        self.time_s = 0.0

    def now(self) -> float:
        return self.time_s

    def wall(self) -> float:
        return self.time_s


@dataclass(slots=True, eq=False)
class _Entry:
    """One entry: its view of the load, and its running and queued requests."""

    tracker: BackendTracker
    domain: str
    running: int = 0
    queued: int = 0


@dataclass(slots=True, eq=False)
class _Request:
    """One request in progress.

    Attributes:
        entry: Entry that received the request.
        run: State of the request on the engines.
        declared_size: Sizes that the caller declared to the router.
        arrived_at: Time of arrival, in seconds.
        window: Window that counts the request.
        sends: Attempts to start the run so far.
        refused_by: Backend ids of the engines that refused the run.
        queue_deadline: End of the wait for capacity, in seconds; None while the request
            is not queued.
        tracked_run: Run in progress as the entry's load tracker counts it.
    """

    entry: _Entry
    run: SimulatedRun
    declared_size: GenerationSize
    arrived_at: float
    window: Window
    sends: int = 0
    refused_by: set[str] = field(default_factory=set)
    queue_deadline: float | None = None
    tracked_run: Run | None = None

    @property
    def has_first_token(self) -> bool:
        return self.run.first_token_at is not None


class _Simulation:
    """State of one simulation.

    Args:
        scenario: Fleet, load and faults.
        seed: Seed of all random draws.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = _SimulatedClock()
        self._result = SimulationResult()
        self._engines = plan_engines(scenario)
        self._entries = [
            _Entry(BackendTracker(clock=self._clock), domain)
            for domain, count in scenario.entries.items()
            for _ in range(count)
        ]
        self._load_exchange = LoadExchange(
            [entry.tracker for entry in self._entries],
            interval_s=scenario.word_s,
            rng=self._rng,
        )
        self._running: dict[SimulatedRun, _Request] = {}
        # Time of the next retry, sequence number and request of each queued request.
        self._queued: list[tuple[float, int, _Request]] = []
        self._sequence = itertools.count()
        self._losses = sorted(scenario.losses, key=lambda loss: loss.at_s)
        self._detection_times: list[float] = []
        self._recoveries: list[tuple[float, SimulatedEngine]] = []
        self._unknown_losses = True
        self._known_servers = [engine.server for engine in self._engines.values()]

    def run(self) -> SimulationResult:
        """Simulate until all requests are answered or rejected."""
        while self._is_active():
            self._clock.time_s += STEP_S
            self._apply_faults()
            self._load_exchange.exchange_due(self._clock.time_s)
            if self._clock.time_s < self._scenario.seconds:
                self._generate_arrivals()
            self._retry_queued()
            self._advance()
        return self._result

    def _is_active(self) -> bool:
        has_arrivals = self._clock.time_s < self._scenario.seconds
        return bool(has_arrivals or self._running or self._queued)

    def _advance(self) -> None:
        done, preempted = advance(
            list(self._running), self._engines, now=self._clock.time_s, step_s=STEP_S
        )
        self._result.put_back += preempted
        for run in done:
            self._record_answer(self._running.pop(run))

    def _record_answer(self, req: _Request) -> None:
        req.entry.tracker.end(req.tracked_run)
        req.entry.running -= 1
        first_token_s = req.run.first_token_at - req.arrived_at
        if req.run.is_late or first_token_s > FIRST_TOKEN_TARGET_S:
            req.window.late += 1
        else:
            req.window.in_time += 1

    def _generate_arrivals(self) -> None:
        for domain, per_s in self._scenario.per_s.items():
            entries = [each for each in self._entries if each.domain == domain]
            for _ in range(
                draw_poisson(self._rng, per_s * self._burst_factor() * STEP_S)
            ):
                self._submit(self._rng.choice(entries))

    def _burst_factor(self) -> float:
        factor = 1.0
        for burst in self._scenario.bursts:
            if burst.at_s <= self._clock.time_s < burst.at_s + burst.for_s:
                factor *= burst.factor
        return factor

    def _submit(self, entry: _Entry) -> None:
        sizes = draw_request_sizes(self._rng, self._scenario.model)
        window = self._result.windows[int(self._clock.time_s // WINDOW_S)]
        window.asked += 1
        run = SimulatedRun(
            prompt_tokens=sizes.declared_size.prompt_tokens,
            answer_tokens=sizes.answer_tokens,
        )
        self._send(
            _Request(entry, run, sizes.declared_size, self._clock.time_s, window)
        )

    def _choose_path(self, req: _Request) -> tuple[Sequence[Part] | None, bool]:
        """Return the path of the next attempt, and whether an engine on it is full."""
        costs = path_costs(
            self._scenario.model,
            req.declared_size,
            tracker=req.entry.tracker,
            entry_count=len(self._entries),
        )
        path = choose_path(
            self._known_servers,
            self._scenario.model,
            costs,
            domain=req.entry.domain,
            lost=req.refused_by,
        )
        is_full = any(
            not costs.has_capacity(
                self._engines[part.backend_id].server, part.layers.count
            )
            for part in path or ()
        )
        return path, is_full

    def _send(self, req: _Request) -> None:
        """Try paths until a request starts, is queued or is given up."""
        while True:
            path, is_full = self._choose_path(req)
            if path is None or req.sends >= MAX_SENDS:
                self._give_up(req)
                return
            if is_full and not req.has_first_token:
                self._enqueue(req)
                return
            req.sends += 1
            self._result.sends += 1
            refusing_backend = start(req.run, path, self._engines)
            if refusing_backend is None:
                self._record_running(req, path)
                return
            self._result.turned_away += not self._engines[refusing_backend].is_lost
            req.entry.tracker.note_refused(refusing_backend)
            req.refused_by.add(refusing_backend)

    def _record_running(self, req: _Request, path: Sequence[Part]) -> None:
        tokens = req.declared_size.prompt_tokens + req.declared_size.expected_tokens
        req.tracked_run = Run(
            tuple(part.backend_id for part in path),
            {part.backend_id: float(tokens * part.layers.count) for part in path},
        )
        req.entry.tracker.begin(req.tracked_run)
        req.entry.running += 1
        self._running[req.run] = req

    def _enqueue(self, req: _Request) -> None:
        entry = req.entry
        now = self._clock.time_s
        if req.queue_deadline is None:
            # The limit of AdmissionQueue while all queued requests are admitted and the
            # mean response time has its initial value.
            if entry.queued >= 1 + int(
                entry.running * MAX_QUEUE_WAIT_S / INITIAL_RESPONSE_TIME_S
            ):
                self._give_up(req)
                return
            entry.queued += 1
            req.queue_deadline = now + MAX_QUEUE_WAIT_S
        if now >= req.queue_deadline:
            self._give_up(req)
            return
        self._queued.append((now + QUEUE_POLL_INTERVAL_S, next(self._sequence), req))

    def _retry_queued(self) -> None:
        due = [each for each in self._queued if each[0] <= self._clock.time_s]
        self._queued = [each for each in self._queued if each[0] > self._clock.time_s]
        for _, _, req in due:
            path, is_full = self._choose_path(req)
            if path is None or is_full:
                self._enqueue(req)
                continue
            req.entry.queued -= 1
            req.queue_deadline = None
            self._send(req)

    def _give_up(self, req: _Request) -> None:
        if req.queue_deadline is not None:
            req.entry.queued -= 1
        if req.has_first_token:
            req.window.cut += 1
        else:
            req.window.refused += 1

    def _apply_faults(self) -> None:
        now = self._clock.time_s
        while self._losses and self._losses[0].at_s <= now:
            self._fail_engines(self._losses.pop(0))
        recovered = [each for each in self._recoveries if each[0] <= now]
        for each in recovered:
            self._recoveries.remove(each)
            each[1].is_lost = False
        detected = [at for at in self._detection_times if at <= now]
        self._detection_times = [at for at in self._detection_times if at > now]
        if recovered or detected:
            self._update_known_engines()

    def _fail_engines(self, loss) -> None:
        candidates = [
            engine
            for engine in self._engines.values()
            if engine.server.domain == loss.domain and not engine.is_lost
        ]
        candidates.sort(key=lambda engine: engine.server.layers)
        first = int(loss.from_share * len(candidates))
        for engine in candidates[first : first + loss.count]:
            engine.is_lost = True
            self._recoveries.append((self._clock.time_s + loss.for_s, engine))
        self._detection_times.append(self._clock.time_s + FAILURE_DETECTION_S)

    def _update_known_engines(self) -> None:
        """Update the engines known to entries, and resend the runs of lost engines."""
        self._known_servers = [
            engine.server for engine in self._engines.values() if not engine.is_lost
        ]
        for run, req in list(self._running.items()):
            if not any(self._engines[part.backend_id].is_lost for part in run.parts):
                continue
            stop(run, self._engines)
            del self._running[run]
            req.entry.tracker.end(req.tracked_run)
            req.entry.running -= 1
            run.is_late = True
            run.is_preempted = False
            self._send(req)
