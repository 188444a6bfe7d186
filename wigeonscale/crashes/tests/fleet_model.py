"""Entries, engines and control under requests with parts that crash engines."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

from wigeonscale.crashes import (
    START_CRASH_WINDOW_S,
    CrashTracker,
    crash_refusal,
    prompt_part_key,
    report_crashes,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import known_crashes, record_crashes_command
from wigeonscale.state.crash_records import CrashRecords
from wigeonscale.testing import ManualClock
from wigeonscale.wire import wire_pb2 as wire

STEP_S = 0.02
FIRST_EVENT_S = (0.03, 0.12)
STREAM_S = 2.0
RESTART_S = 3.0
ENTRY_RESTART_S = 0.5
CONTROL_RESTART_S = 2.0
# Without an engine, requests wait for this long.
MAX_WAIT_S = 5.0
SILENCE_S = (1.5, 2.5)
POPULAR = b"popular"
DETECTION_S = (0.02, 0.3)
UPDATE_S = (0.01, 0.1)
GRANT_S = (0.2, 0.3)
SENDS = 2
SHARED = prompt_part_key("model", "shared")


@dataclass(eq=False)
class ModelRun:
    entry: CrashTracker
    fingerprint: bytes
    parts: tuple[bytes, ...]
    deadly: bytes
    number: int
    sends: int = 0
    has_gone_on: bool = False
    engine: str = ""


@dataclass(kw_only=True)
class FleetModel:
    """Plays a fleet of entries that share the records of control.

    Attributes:
        entries: Number of entries.
        deadly: Names of the parts that crash engines.
        deadly_rate: Requests per second that crash engines.
        deadly_from_s: When the first of them arrives.
        sound_rate: Other requests per second.
        rare_parts: Number of rare parts that sound requests share.
        deadly_requests: Names of requests that crash engines and are repeated.
        popular_share: Share of the sound requests that are the same request.
        racks: Times at which a quarter of the engines ends for another reason.
        silences: Times at which all engines fall silent for some seconds.
        is_control_old: Whether control has no records of good runs and failed trials.
        entry_restarts: Pairs of a time and the share of the entries that restart then.
        control_restarts: Times at which all replicas of control restart.
        power_losses: Times at which all engines, entries and replicas end.
        outage: Start and end of the time in which control has no majority.
        detection_s: Range of the time until control knows that an engine has ended.
    """

    entries: int
    seed: int
    deadly: tuple[str, ...] = ("deadly",)
    deadly_rate: float = 3.0
    deadly_from_s: float = 0.0
    sound_rate: float = 30.0
    engines: int = 12
    rare_parts: int = 0
    deadly_requests: tuple[str, ...] = ()
    popular_share: float = 0.0
    racks: tuple[float, ...] = ()
    silences: tuple[float, ...] = ()
    is_control_old: bool = False
    entry_restarts: tuple[tuple[float, float], ...] = ()
    control_restarts: tuple[float, ...] = ()
    power_losses: tuple[float, ...] = ()
    outage: tuple[float, float] = (0.0, 0.0)
    detection_s: tuple[float, float] = DETECTION_S
    # Times of crashes and of sends by deadly part or request.
    crashes: dict = field(default_factory=dict)
    sends: dict = field(default_factory=dict)
    # Pairs of an arrival time and a sound request.
    sound: list = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.clock = ManualClock(start=0.0)
        self._names = itertools.count()
        self._sequence = itertools.count()
        self._events = []
        self._records = CrashRecords()
        self._log_index = 0
        self._out_until = float("-inf")
        # Engines that count as ended for control, and those that do not answer.
        self._ended = set()
        self._silent = set()
        self._runs = {}
        self._waiting = []
        for _ in range(self.engines):
            self._start_engine()
        # Running entries, with the log index of the records that each knows, and the
        # task that reports its crashes.
        self.trackers = []
        self._known = {}
        self._reporters = {}
        self._deadly = [prompt_part_key("model", name) for name in self.deadly]
        self._deadly_requests = [name.encode() for name in self.deadly_requests]
        keys = [*self._deadly, *self._deadly_requests]
        self.crashes = {key: [] for key in keys}
        self.sends = {key: [] for key in keys}

    @property
    def _is_out(self):
        now = self.clock.now()
        return now < self._out_until or self.outage[0] <= now < self.outage[1]

    def _start_entry(self):
        """Start an entry, which serves once it knows the records of control."""
        if self._is_out:
            self._later(UPDATE_S, self._start_entry)
            return
        tracker = CrashTracker(
            clock=self.clock,
            is_serving=lambda name: True,
            has_ended=self._ended.__contains__,
            rng=self.rng,
            is_connected=lambda: not self._is_out,
        )
        self.trackers.append(tracker)
        self._known[tracker] = 0
        self._update(tracker)
        self._reporters[tracker] = asyncio.create_task(
            report_crashes(tracker, submit=self._submit, clock=self.clock)
        )

    def _restart_entries(self, share):
        for tracker in self.rng.sample(self.trackers, round(share * self.entries)):
            self.trackers.remove(tracker)
            del self._known[tracker]
            self._reporters.pop(tracker).cancel()
            for runs in self._runs.values():
                runs -= {run for run in runs if run.entry is tracker}
            self._at(self.clock.now() + ENTRY_RESTART_S, self._start_entry)

    def _restart_control(self):
        snapshot = wire.StateSnapshot()
        self._records.save(snapshot)
        restored = wire.StateSnapshot.FromString(snapshot.SerializeToString())
        self._records = CrashRecords()
        self._records.load(restored.crashes)
        self._out_until = self.clock.now() + CONTROL_RESTART_S

    def _lose_power(self):
        for engine in list(self._runs):
            self._end(engine)
        self._restart_control()
        self._restart_entries(len(self.trackers) / self.entries)

    async def play(self, seconds):
        for _ in range(self.entries):
            self._start_entry()
        for at in self.racks:
            self._at(at, self._end_rack)
        for at in self.silences:
            self._at(at, self._silence_engines)
        for at, share in self.entry_restarts:
            self._at(at, self._restart_entries, share)
        for at in self.control_restarts:
            self._at(at, self._restart_control)
        for at in self.power_losses:
            self._at(at, self._lose_power)
        while self.clock.now() < seconds:
            while self._events and self._events[0][0] <= self.clock.now():
                _, _, action, args = heapq.heappop(self._events)
                action(*args)
            self._arrive()
            await self.clock.advance(STEP_S)
        reporters = list(self._reporters.values())
        for task in reporters:
            task.cancel()
        await asyncio.gather(*reporters, return_exceptions=True)

    def _at(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._sequence), action, args))

    def _later(self, span, action, *args):
        self._at(self.clock.now() + self.rng.uniform(*span), action, *args)

    def _start_engine(self):
        self._runs[f"e{next(self._names)}"] = set()
        self._send_waiting()

    def _send_waiting(self):
        waiting, self._waiting = self._waiting, []
        for since, run in waiting:
            if self.clock.now() - since < MAX_WAIT_S:
                self._send(run)

    def _arrive(self):
        for rate, is_deadly in ((self.deadly_rate, True), (self.sound_rate, False)):
            if self.rng.random() >= rate * STEP_S or not self.trackers:
                continue
            if is_deadly and self.clock.now() < self.deadly_from_s:
                continue
            number = next(self._sequence)
            rare = [
                prompt_part_key("model", f"rare {self.rng.randrange(self.rare_parts)}")
                for _ in range(min(1, self.rare_parts))
            ]
            deadly = self.rng.choice(list(self.crashes)) if is_deadly else b""
            is_whole_request = deadly in self._deadly_requests
            parts = (SHARED, *rare, *([deadly] if deadly in self._deadly else []))
            entry = self.rng.choice(self.trackers)
            fingerprint = deadly if is_whole_request else b"request %d" % number
            is_popular = self.popular_share and self.rng.random() < self.popular_share
            if not is_deadly and is_popular:
                fingerprint = POPULAR
            run = ModelRun(entry, fingerprint, parts, deadly, number)
            self._send(run)
            if not is_deadly:
                self.sound.append((self.clock.now(), run))

    def _send(self, run, may_wait=True):
        if run.entry not in self._known:
            return
        if crash_refusal(run.entry, run.fingerprint, parts=run.parts) is not None:
            keys = (run.fingerprint, *run.parts)
            refused = run.entry.refused_keys(keys)
            if may_wait and run.entry.ask_for_trials(refused, keys=keys):
                self._later(GRANT_S, self._send, run, False)
            return
        engines = [name for name in self._runs if name not in self._silent]
        if not engines:
            self._waiting.append((self.clock.now(), run))
            return
        run.engine = self.rng.choice(engines)
        run.entry.note_sent(run.fingerprint, run.parts)
        run.sends += 1
        self._runs[run.engine].add(run)
        if run.deadly:
            self.sends[run.deadly].append(self.clock.now())
            self._later(FIRST_EVENT_S, self._crash, run, run.engine)
        else:
            self._later(FIRST_EVENT_S, self._begin, run, run.engine)

    def _begin(self, run, engine):
        self._at(self.clock.now() + START_CRASH_WINDOW_S, self._go_on, run, engine)
        self._at(self.clock.now() + STREAM_S, self._finish, run, engine)

    def _go_on(self, run, engine):
        if run in self._runs.get(engine, ()):
            run.has_gone_on = True
            run.entry.clear_suspect(run.fingerprint, run.parts)

    def _finish(self, run, engine):
        self._runs.get(engine, set()).discard(run)

    def _crash(self, run, engine):
        if engine in self._runs:
            self.crashes[run.deadly].append(self.clock.now())
            self._end(engine)

    def _end_rack(self):
        for engine in self.rng.sample(sorted(self._runs), len(self._runs) // 4):
            self._end(engine)

    def _end(self, engine):
        self._later((RESTART_S, RESTART_S), self._start_engine)
        self._later(self.detection_s, self._detect, engine)
        self._abort(self._runs.pop(engine), engine)

    def _silence_engines(self):
        for engine in sorted(self._runs):
            self._silent.add(engine)
            self._later(self.detection_s, self._detect, engine)
            self._later(SILENCE_S, self._answer_again, engine)
            runs, self._runs[engine] = self._runs[engine], set()
            self._abort(runs, engine)

    def _answer_again(self, engine):
        self._silent.discard(engine)
        if engine in self._runs:
            self._ended.discard(engine)
        for tracker in self.trackers:
            tracker.confirm_crashes()
        self._send_waiting()

    def _abort(self, runs, engine):
        for run in sorted(runs, key=lambda run: (run.fingerprint, run.number)):
            if not run.has_gone_on:
                run.entry.note_aborted_start(run.fingerprint, engine, run.parts)
            if run.sends < SENDS:
                self._send(run)

    def _detect(self, engine):
        if self._is_out:
            self._later((0.5, 0.5), self._detect, engine)
            return
        self._ended.add(engine)
        for tracker in self.trackers:
            tracker.confirm_crashes()

    async def _submit(self, report):
        await self.clock.sleep(self.rng.uniform(*UPDATE_S))
        if self._is_out:
            raise WigeonscaleError(ErrorKind.NO_QUORUM, "nobody leads")
        self._log_index += 1
        found = record_crashes_command(report).record_crashes
        if self.is_control_old:
            found.ClearField("ran")
            found.ClearField("withdrawn")
        now_ms = int(self.clock.now() * 1000)
        self._records.record(found, index=self._log_index, now_ms=now_ms)
        for tracker in self.trackers:
            self._later(UPDATE_S, self._update, tracker)

    def _update(self, tracker):
        if tracker not in self._known:
            return
        update = wire.CrashUpdate(
            index=self._records.index,
            now_ms=int(self.clock.now() * 1000),
            records=self._records.after(self._known[tracker]),
        )
        self._known[tracker] = update.index
        if self.is_control_old:
            for record in update.records:
                for name in ("ran_ms", "is_common", "failed_trials"):
                    record.ClearField(name)
        if update.records:
            tracker.apply_records(known_crashes(update))

    @property
    def disturbed_at(self):
        """Times of restarts and of losses of power."""
        restarts = [at for at, _ in self.entry_restarts]
        return [*restarts, *self.control_restarts, *self.power_losses]

    def late_sends(self, key, *, contact_s=3.0):
        """Return the number of sends of a part long after its fifth crash."""
        crashes = self.crashes[key]
        if len(crashes) < 5:
            return 0
        return sum(at > crashes[4] + contact_s for at in self.sends[key])

    def accepted_share(self, first, end, *, fingerprint=None):
        """Return the share of the sound requests of a time that reached an engine."""
        accepted = [
            run.sends > 0
            for at, run in self.sound
            if first <= at < end and fingerprint in (None, run.fingerprint)
        ]
        return sum(accepted) / len(accepted)
