"""Replay of the decision: many interrupted streams, little room, and new requests."""

import asyncio
import dataclasses
import random

from wigeonscale.direct.admission_queue import QUEUE_POLL_INTERVAL_S
from wigeonscale.direct.next_path import next_path, service_level_of
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.support import ENGINE, EntryHarness, engine
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.routes import Repeat, Service
from wigeonscale.testing import AsyncTestCase

STREAMS = 30
ROOM = 8
SLOTS = 40
RELEASED_PER_S = 12.0
NEW_PER_S = 9.0
STEP_S = 0.01
LENGTH_S = 6.0
SEEDS = range(3)
GAP_TARGET_S = 0.3
# Targets for the first event of the classes.
TARGETS_S = {0: 0.502, 1: 0.602, 2: 1.203}


class Outcome:
    """What happened to one request.

    Attributes:
        priority: Its priority.
        since: Time of the last event, or of the arrival of a new request.
        patience_s: Patience of its service level.
        at: Time of its end; None while it waits.
        end: ``room``, ``full`` or ``rejected``.
    """

    def __init__(self, *, priority, since, patience_s):
        self.priority = priority
        self.since = since
        self.patience_s = patience_s
        self.at = None
        self.end = ""


class Replay:
    """One entry and one path whose first engine has a fixed number of slots."""

    def __init__(self, *, seed, has_classes=True):
        self.rng = random.Random(seed)
        self.service = Service(
            name="model", engine=dataclasses.replace(ENGINE, slots=SLOTS)
        )
        self.harness = EntryHarness(engine("a1", 0, 5), engine("a2", 5, 10))
        self.ctx = dataclasses.replace(
            self.harness.ctx, has_classes=lambda name: has_classes
        )
        self.clock = self.harness.clock
        self.running = [Run(("a1",)) for _ in range(SLOTS - ROOM)]
        for run in self.running:
            self.harness.tracker.begin(run)
            # They bound the queue of new requests.
            self.ctx.stalls.add(run)
        self.streams, self.new, self.tasks = [], [], []
        # Times in a row at which there was room while a request waited.
        self.longest_idle_s = 0.0
        self.most_waiting = 0

    @property
    def free(self):
        return SLOTS - int(self.harness.tracker.load_of("a1", 1)[0])

    def job(self, priority):
        job = self.harness.job(
            Repeat.STREAM, service=self.service, left_s=20.0, resumable=True
        )
        route = dataclasses.replace(
            job.route,
            target_s=TARGETS_S[priority],
            gap_target_s=GAP_TARGET_S,
            priority=priority,
        )
        return dataclasses.replace(job, route=route)

    async def follow(self, job, progress, outcome):
        try:
            choice = await next_path(self.ctx, job, progress)
        except WigeonscaleError as exc:
            assert exc.kind is ErrorKind.OVERLOADED, exc
            assert exc.run_state is RunState.NOT_RUN, exc
            outcome.end = "rejected"
        else:
            run = Run(tuple(part.backend_id for part in choice.path))
            self.harness.tracker.begin(run)
            self.running.append(run)
            outcome.end = "full" if choice.full else "room"
        outcome.at = self.clock.now()

    def begin(self, outcomes, priority, progress, since):
        job = self.job(priority)
        level = service_level_of(self.ctx, job)
        outcome = Outcome(
            priority=priority,
            since=since,
            patience_s=level.patience_s if level is not None else 1.5,
        )
        outcomes.append(outcome)
        coro = self.follow(job, progress, outcome)
        self.tasks.append(asyncio.create_task(coro))

    async def play(self, *, streams=STREAMS, new_per_s=NEW_PER_S):
        began_at = self.began_at = self.clock.now()
        for _ in range(streams):
            # Streams notice the loss in any order, 0.1 to 0.3 s after their last event.
            since = began_at - self.rng.uniform(0.1, 0.3)
            progress = Progress(last_id=3, sends=1, ran_on={"a1"})
            progress.first_event_at = progress.latest_event_at = since
            self.begin(self.streams, self.rng.choice((0, 1, 2)), progress, since)
        idle_s = 0.0
        released = 0
        for step in range(round(LENGTH_S / STEP_S)):
            await self.clock.advance(STEP_S)
            now = self.clock.now()
            if self.rng.random() < new_per_s * STEP_S:
                self.begin(
                    self.new, self.rng.choice((0, 1, 2)), Progress(last_id=None), now
                )
                await self.clock.advance(0.0)
            while released < int((step + 1) * STEP_S * RELEASED_PER_S):
                released += 1
                if self.running:
                    self.harness.tracker.end(self.running.pop(0))
            waiting = [each for each in self.streams + self.new if each.at is None]
            self.most_waiting = max(self.most_waiting, len(waiting))
            idle_s = idle_s + STEP_S if waiting and self.free > 0 else 0.0
            self.longest_idle_s = max(self.longest_idle_s, idle_s)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for task in self.tasks:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()


class ReplayTest(AsyncTestCase):
    async def play(self, seed, **fields):
        replay = Replay(seed=seed)
        await replay.play(**fields)
        return replay

    async def test_streams_on_time_go_first(self):
        # Guards against released capacity for new requests while streams wait whose
        # next event can still be on time, and against another order than that of
        # their pauses.
        for seed in SEEDS:
            replay = await self.play(seed)
            self.assertTrue(all(each.at is not None for each in replay.streams))
            admitted_at = [each.at for each in replay.new if each.end == "room"]
            overtaken = [
                (at, stream.since)
                for at in admitted_at
                for stream in replay.streams
                if at < stream.at and at < stream.since + GAP_TARGET_S
            ]
            self.assertEqual([], overtaken)
            room = [each for each in replay.streams if each.end == "room"]
            at_once = [each for each in room if each.at == replay.began_at]
            self.assertEqual(ROOM, len(at_once))
            # At the end of its patience a stream takes any path, whoever waits.
            later = [
                each
                for each in room
                if replay.began_at < each.at < each.since + each.patience_s - STEP_S
            ]
            self.assertTrue(len(later) >= 5, len(later))
            later.sort(key=lambda each: each.at)
            pauses = [each.since for each in later]
            self.assertEqual(sorted(pauses), pauses)

    async def test_no_full_engines_before_the_patience_ends(self):
        # Guards against streams that full engines refuse, or that preempt others: the
        # 22 beyond the room get it as it is released, or use up their patience.
        for seed in SEEDS:
            replay = await self.play(seed)
            for each in replay.streams:
                waited_s = each.at - each.since
                if each.end == "full":
                    self.assertAlmostEqual(each.patience_s, waited_s, delta=STEP_S)
                else:
                    self.assertEqual("room", each.end)
                    self.assertTrue(waited_s <= each.patience_s + STEP_S, waited_s)
            room = sum(each.end == "room" for each in replay.streams)
            # Capacity for 12 a second in the 1.2 s before the first patience ends.
            self.assertTrue(room >= ROOM + int(1.2 * RELEASED_PER_S), room)

    async def test_new_requests_wait_by_their_own_service_level(self):
        # Guards against new requests that are rejected for interrupted streams before
        # their patience ends, and those that get no capacity later on.
        for seed in SEEDS:
            replay = await self.play(seed)
            ended = [each for each in replay.new if each.at is not None]
            self.assertTrue(any(each.end == "room" for each in ended))
            for each in ended:
                waited_s = each.at - each.since
                longest_s = each.patience_s + QUEUE_POLL_INTERVAL_S
                self.assertTrue(waited_s <= longest_s, waited_s)
                # At once if the queue is full; otherwise at the end of the patience.
                if each.end == "rejected" and waited_s > STEP_S:
                    self.assertAlmostEqual(
                        each.patience_s, waited_s, delta=QUEUE_POLL_INTERVAL_S
                    )
            by_class = {each.priority for each in ended if each.end == "room"}
            self.assertEqual({0, 1, 2}, by_class)

    async def test_nothing_waits_while_there_is_room(self):
        # Guards against capacity that stays unused, because the wrong one waits.
        for seed in SEEDS:
            replay = await self.play(seed)
            self.assertTrue(replay.most_waiting > STREAMS - ROOM)
            self.assertTrue(
                replay.longest_idle_s <= QUEUE_POLL_INTERVAL_S + STEP_S,
                replay.longest_idle_s,
            )
            few = await self.play(seed, streams=ROOM, new_per_s=0.0)
            self.assertTrue(all(each.end == "room" for each in few.streams))
            self.assertEqual(0, few.most_waiting)

    async def test_without_classes_all_are_sent_at_once(self):
        # Guards against a wait for services without traffic classes.
        replay = Replay(seed=1, has_classes=False)
        await replay.play()
        self.assertTrue(all(each.at - each.since < 0.31 for each in replay.streams))
        full = sum(each.end == "full" for each in replay.streams)
        self.assertEqual(STREAMS - ROOM, full)

    async def test_few_looks_for_a_path(self):
        # Guards against a look by each waiting stream in each interval: an entry has a
        # quarter of a core.
        replay = Replay(seed=1)
        looks = 0
        load_of = replay.harness.tracker.load_of

        def counted(name, entry_count):
            nonlocal looks
            looks += name == "a1"
            return load_of(name, entry_count)

        replay.harness.tracker.load_of = counted
        replay.running.clear()
        for _ in range(ROOM):
            replay.harness.tracker.begin(Run(("a1",)))
        for _ in range(10):
            progress = Progress(last_id=3, sends=1, ran_on={"a1"})
            progress.first_event_at = progress.latest_event_at = replay.clock.now()
            replay.begin(replay.streams, 2, progress, replay.clock.now())
        await replay.clock.advance(0.0)
        looks = 0
        await replay.clock.advance(1.0)
        self.assertEqual(10, len(replay.ctx.interrupted))
        # One in each interval, and some at its boundaries.
        self.assertTrue(20 <= looks <= 30, looks)
        for task in replay.tasks:
            task.cancel()
        await asyncio.gather(*replay.tasks, return_exceptions=True)
