"""Plays a scenario: many entries that decide apart before the same engines.

Entries run the product's own decisions (:mod:`wigeonscale.direct.choice`,
:mod:`wigeonscale.direct.backend_tracker`, :mod:`wigeonscale.layers`) on what they
know, as old as in the product. Everything is drawn from one seed; the same seed gives
the same figures.
"""

__all__ = ["play"]

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
from wigeonscale.direct.runs import Run
from wigeonscale.direct.stream import MAX_SENDS
from wigeonscale.lab.callers import draw_count, draw_sizes
from wigeonscale.lab.engines import EngineModel, ModelRun, advance, start, stop
from wigeonscale.lab.figures import WINDOW_S, Figures, Window
from wigeonscale.lab.fleet import planned_engines
from wigeonscale.lab.scenario import Scenario
from wigeonscale.lab.words import Words
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import GenerationSize

STEP_S = 0.02
# Time after which an answer's first token is late, as on the users' sheets.
AIM_S = 0.6
# From the loss of an engine until its streams are sent elsewhere and no more is sent
# to it: a quiet path is asked about, a probe is in vain, and the news goes out.
NOTICE_S = 0.5


def play(scenario: Scenario, *, seed: int) -> Figures:
    """Return the figures of one play.

    Args:
        scenario: Fleet, load and faults.
        seed: Seed of everything that is drawn.

    Notes:
        Costs the runs in progress times their parts each 20 simulated ms, and a choice
        of path each request: 14 s for 11 s of 68 entries and 130 engines.
    """
    return _Play(scenario, seed).run()


class _LabClock:
    """Simulated time, moved by the play."""

    def __init__(self):
        self.at = 0.0

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


@dataclass(slots=True, eq=False)
class _Entry:
    """One entry: what it believes, and its requests that wait for room."""

    tracker: BackendTracker
    domain: str
    running: int = 0
    waiting: int = 0


@dataclass(slots=True, eq=False)
class _Request:
    """One request on its way.

    Attributes:
        entry: Where it came in.
        run: What the engines have of it.
        told: Sizes as the router was told.
        asked_at: Instant at which it came.
        window: Where it is counted.
        sends: Sends so far.
        refused_by: Engines that refused it.
        waits_until: End of its wait for room; None where it does not wait.
        held: Its send in progress as the entry counts it.
    """

    entry: _Entry
    run: ModelRun
    told: GenerationSize
    asked_at: float
    window: Window
    sends: int = 0
    refused_by: set[str] = field(default_factory=set)
    waits_until: float | None = None
    held: Run | None = None

    @property
    def is_begun(self) -> bool:
        return self.run.first_token_at is not None


class _Play:
    """State of one play.

    Args:
        scenario: Fleet, load and faults.
        seed: Seed of everything that is drawn.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = _LabClock()
        self._figures = Figures()
        self._engines = planned_engines(scenario)
        self._entries = [
            _Entry(BackendTracker(clock=self._clock), domain)
            for domain, count in scenario.entries.items()
            for _ in range(count)
        ]
        self._words = Words(
            [entry.tracker for entry in self._entries],
            interval_s=scenario.word_s,
            rng=self._rng,
        )
        self._running: dict[ModelRun, _Request] = {}
        # Instant, order and request of those that wait for room.
        self._waiting: list[tuple[float, int, _Request]] = []
        self._order = itertools.count()
        self._losses = sorted(scenario.losses, key=lambda loss: loss.at_s)
        self._notices: list[float] = []
        self._returns: list[tuple[float, EngineModel]] = []
        self._unknown_losses = True
        self._known = [engine.server for engine in self._engines.values()]

    def run(self) -> Figures:
        """Play to the last answer."""
        while self._is_on():
            self._clock.at += STEP_S
            self._lose_engines()
            self._words.pass_on(self._clock.at)
            if self._clock.at < self._scenario.seconds:
                self._let_come()
            self._look_for_room()
            self._advance()
        return self._figures

    def _is_on(self) -> bool:
        is_early = self._clock.at < self._scenario.seconds
        return bool(is_early or self._running or self._waiting)

    def _advance(self) -> None:
        done, put_back = advance(
            list(self._running), self._engines, now=self._clock.at, step_s=STEP_S
        )
        self._figures.put_back += put_back
        for run in done:
            self._count_answer(self._running.pop(run))

    def _count_answer(self, req: _Request) -> None:
        req.entry.tracker.end(req.held)
        req.entry.running -= 1
        first_s = req.run.first_token_at - req.asked_at
        if req.run.is_late or first_s > AIM_S:
            req.window.late += 1
        else:
            req.window.in_time += 1

    def _let_come(self) -> None:
        for domain, per_s in self._scenario.per_s.items():
            entries = [each for each in self._entries if each.domain == domain]
            for _ in range(draw_count(self._rng, per_s * self._factor() * STEP_S)):
                self._ask(self._rng.choice(entries))

    def _factor(self) -> float:
        factor = 1.0
        for burst in self._scenario.bursts:
            if burst.at_s <= self._clock.at < burst.at_s + burst.for_s:
                factor *= burst.factor
        return factor

    def _ask(self, entry: _Entry) -> None:
        sizes = draw_sizes(self._rng, self._scenario.model)
        window = self._figures.windows[int(self._clock.at // WINDOW_S)]
        window.asked += 1
        run = ModelRun(prompt=sizes.told.prompt_tokens, answer=sizes.answer)
        self._send(_Request(entry, run, sizes.told, self._clock.at, window))

    def _choose(self, req: _Request) -> tuple[Sequence[Part] | None, bool]:
        """Return the path of the next send, and whether an engine of it is full."""
        costs = path_costs(
            self._scenario.model,
            req.told,
            tracker=req.entry.tracker,
            entries=len(self._entries),
        )
        path = choose_path(
            self._known,
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
        """Send a request until an engine takes it, or it waits or is given up."""
        while True:
            path, is_full = self._choose(req)
            if path is None or req.sends >= MAX_SENDS:
                self._give_up(req)
                return
            if is_full and not req.is_begun:
                self._wait(req)
                return
            req.sends += 1
            self._figures.sends += 1
            refuser = start(req.run, path, self._engines)
            if refuser is None:
                self._hold(req, path)
                return
            self._figures.turned_away += not self._engines[refuser].is_lost
            req.entry.tracker.note_refused(refuser)
            req.refused_by.add(refuser)

    def _hold(self, req: _Request, path: Sequence[Part]) -> None:
        tokens = req.told.prompt_tokens + req.told.expected_tokens
        req.held = Run(
            tuple(part.backend_id for part in path),
            {part.backend_id: float(tokens * part.layers.count) for part in path},
        )
        req.entry.tracker.begin(req.held)
        req.entry.running += 1
        self._running[req.run] = req

    def _wait(self, req: _Request) -> None:
        entry = req.entry
        now = self._clock.at
        if req.waits_until is None:
            # As the product's queue where those before got room.
            if entry.waiting >= 1 + int(
                entry.running * MAX_QUEUE_WAIT_S / INITIAL_RESPONSE_TIME_S
            ):
                self._give_up(req)
                return
            entry.waiting += 1
            req.waits_until = now + MAX_QUEUE_WAIT_S
        if now >= req.waits_until:
            self._give_up(req)
            return
        self._waiting.append((now + QUEUE_POLL_INTERVAL_S, next(self._order), req))

    def _look_for_room(self) -> None:
        due = [each for each in self._waiting if each[0] <= self._clock.at]
        self._waiting = [each for each in self._waiting if each[0] > self._clock.at]
        for _, _, req in due:
            path, is_full = self._choose(req)
            if path is None or is_full:
                self._wait(req)
                continue
            req.entry.waiting -= 1
            req.waits_until = None
            self._send(req)

    def _give_up(self, req: _Request) -> None:
        if req.waits_until is not None:
            req.entry.waiting -= 1
        if req.is_begun:
            req.window.cut += 1
        else:
            req.window.refused += 1

    def _lose_engines(self) -> None:
        now = self._clock.at
        while self._losses and self._losses[0].at_s <= now:
            self._lose(self._losses.pop(0))
        back = [each for each in self._returns if each[0] <= now]
        for each in back:
            self._returns.remove(each)
            each[1].is_lost = False
        notices = [at for at in self._notices if at <= now]
        self._notices = [at for at in self._notices if at > now]
        if back or notices:
            self._take_notice()

    def _lose(self, loss) -> None:
        group = [
            engine
            for engine in self._engines.values()
            if engine.server.domain == loss.domain and not engine.is_lost
        ]
        group.sort(key=lambda engine: engine.server.layers)
        first = int(loss.from_share * len(group))
        for engine in group[first : first + loss.count]:
            engine.is_lost = True
            self._returns.append((self._clock.at + loss.for_s, engine))
        self._notices.append(self._clock.at + NOTICE_S)

    def _take_notice(self) -> None:
        """Tell the entries which engines are there, and send on what was lost."""
        self._known = [
            engine.server for engine in self._engines.values() if not engine.is_lost
        ]
        for run, req in list(self._running.items()):
            if not any(self._engines[part.backend_id].is_lost for part in run.parts):
                continue
            stop(run, self._engines)
            del self._running[run]
            req.entry.tracker.end(req.held)
            req.entry.running -= 1
            run.is_late = True
            run.is_waiting = False
            self._send(req)
