"""The retry budget with reservations at control, on the model of late totals."""

import asyncio
import random

from wigeonscale.direct import (
    MAX_UNUSED_RESERVATION_S,
    ReservedRetries,
    SharedRetryBudget,
)
from wigeonscale.direct.tests import test_retry_lateness
from wigeonscale.direct.tests.retry_model import (
    DEMAND_AT_S,
    RATIO,
    STEP_S,
    WINDOW_S,
    RetryModel,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.state.retry_reservations import RetryReservations
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

PLAY_S = 23
USUAL_STEPS = (6, 14)
LATE_STEPS = (14, 30)
# Latency of a reservation, from the entry to control and back, in seconds.
LATENCY_S = (0.01, 0.3)


class Ledger:
    """Control's reservations, with latency, partitions and lost answers.

    Args:
        clock: Clock of all entries and of control.
        seed: Seed of the latencies.
        lost_fraction: Fraction of the answers that are lost.
    """

    def __init__(self, *, clock, seed, lost_fraction=0.0):
        self.clock = clock
        self.began_at = clock.now()
        self.rng = random.Random(seed)
        self.lost_fraction = lost_fraction
        self.reservations = RetryReservations()
        self.applied_at = []
        self.cut = frozenset()
        # Reservations count as new after a restart of all replicas.
        self.restarted_at = float("-inf")

    def reserver(self, entry):
        async def reserve(service, count, limit):
            await self.clock.sleep(self.rng.uniform(*LATENCY_S) / 2)
            if entry in self.cut and self.now() >= DEMAND_AT_S:
                await self.clock.sleep(1.0)
                raise WigeonscaleError(ErrorKind.NO_QUORUM, "cut")
            req = wire.ReserveRetries(service=service, count=count, limit=limit)
            self.applied_at.append(self.now())
            reserved = self.reservations.reserve(
                req, index=len(self.applied_at), expired_index=self.expired_index()
            )
            await self.clock.sleep(self.rng.uniform(*LATENCY_S) / 2)
            if self.rng.random() < self.lost_fraction:
                raise WigeonscaleError(ErrorKind.NO_QUORUM, "answer lost")
            return reserved

        return reserve

    def now(self):
        return self.clock.now() - self.began_at

    def expired_index(self):
        oldest = self.now() - WINDOW_S - MAX_UNUSED_RESERVATION_S
        return sum(max(at, self.restarted_at) <= oldest for at in self.applied_at)


class ReservingModel(RetryModel):
    """Entries that reserve retries at one ledger.

    Args:
        entries: Number of entries.
        seed: As for the base class.
        lost_fraction: Fraction of the answers that are lost.
        restarts: Entries that restart, by the time after the demand begins.
        **options: As for the base class.
    """

    def __init__(
        self, *, entries=28, seed, lost_fraction=0.0, restarts=None, **options
    ):
        super().__init__(entries=entries, seed=seed, **options)
        self.ledger = Ledger(clock=self.clock, seed=seed, lost_fraction=lost_fraction)
        self.ledger.cut = self.cut
        self.entries = entries
        self.reserved = []
        self.restarts = dict(restarts or {})
        self.budgets = [self.new_budget(number) for number in range(entries)]

    def spend(self, now):
        for number in self.restarts.pop(round(now - DEMAND_AT_S, 2), ()):
            self.budgets[number] = self.new_budget(number)
        return super().spend(now)

    async def play(self, *, seconds):
        # The entries are older than a window when the demand begins.
        await self.clock.advance(1.0)
        self.ledger.began_at = self.clock.now()
        await super().play(seconds=seconds)
        for reserved in self.reserved:
            await reserved.close()
        return self

    def new_budget(self, number):
        reserve = self.ledger.reserver(number)
        self.reserved.append(ReservedRetries(clock=self.clock, reserve=reserve))
        return SharedRetryBudget(
            clock=self.clock,
            ratio=RATIO,
            slack=self.slack,
            window_s=WINDOW_S,
            entry_count=lambda: self.entries,
            reserved=self.reserved[-1],
        )


def late_rest(first, delay_s):
    """Return a demand: some entries from the start, the others later."""
    return lambda entry, now: entry < first or now >= DEMAND_AT_S + delay_s


class WithinBudgetTest(AsyncTestCase):
    """Guards against more retries than the budget, whoever wants them when."""

    async def assert_within_budget(self, **options):
        model = await ReservingModel(**options).play(seconds=PLAY_S)
        self.assertTrue(model.highest <= 1.0, (options, model.highest))

    async def test_all_entries(self):
        for slack in (24, 384, 3000):
            await self.assert_within_budget(slack=slack, seed=1)

    async def test_second_half(self):
        for delay_s in (1.0, 2.5):
            for delay_steps in (USUAL_STEPS, LATE_STEPS):
                wants = late_rest(14, delay_s)
                await self.assert_within_budget(
                    slack=384, seed=1, wants=wants, delay_steps=delay_steps
                )

    async def test_second_half_of_few_entries(self):
        for entries in (2, 5):
            for slack in (24, 384, 3000):
                wants = late_rest(entries // 2, 1.0)
                await self.assert_within_budget(
                    slack=slack, seed=1, entries=entries, wants=wants
                )

    async def test_two_thirds_later(self):
        for delay_steps in (USUAL_STEPS, LATE_STEPS):
            wants = late_rest(9, 1.5)
            await self.assert_within_budget(
                slack=384, seed=2, wants=wants, delay_steps=delay_steps
            )

    async def test_many_entries(self):
        for slack in (24, 3000):
            wants = late_rest(75, 1.0)
            await self.assert_within_budget(
                slack=slack, seed=1, entries=150, wants=wants
            )

    async def test_entries_without_contact_to_control(self):
        for cut in (range(9), range(19)):
            await self.assert_within_budget(slack=384, seed=1, cut=frozenset(cut))

    async def test_lost_answers(self):
        await self.assert_within_budget(slack=384, seed=1, lost_fraction=0.4)

    async def test_demand_that_moves_between_entries(self):
        def wants(entry, now):
            return int((now - DEMAND_AT_S) // 4) % 3 == entry % 3

        await self.assert_within_budget(slack=384, seed=1, wants=wants)

    async def test_entries_that_restart(self):
        for restarts in ({3.0: range(9)}, {1.0: range(28)}, {0.5: [0], 6.0: [0, 1]}):
            await self.assert_within_budget(slack=384, seed=1, restarts=restarts)

    async def test_restart_of_control(self):
        model = ReservingModel(slack=384, seed=1)
        model.ledger.restarted_at = DEMAND_AT_S + 5.0
        await model.play(seconds=PLAY_S)
        self.assertTrue(model.highest <= 1.0, model.highest)


class OneThirdTest(AsyncTestCase):
    """Guards against entries of one failure domain that wait for unused budget."""

    async def test_one_third_of_the_entries_wants_retries(self):
        by_totals = test_retry_lateness.OneThirdTest
        retries = dict.fromkeys(by_totals.NEEDED, 0)
        for seed in by_totals.SEEDS:
            model = ReservingModel(
                slack=150, seed=seed, wants=lambda entry, now: entry % 3 == 0
            )
            await model.play(seconds=20)
            for seconds in retries:
                retries[seconds] += model.retries_by(seconds)
        for seconds, needed in by_totals.NEEDED.items():
            mean = retries[seconds] / len(by_totals.SEEDS)
            self.assertTrue(mean >= needed, (seconds, mean))


class ReservedRetriesTest(AsyncTestCase):
    """Guards against reservations that are used late, twice or while unsupported."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.asked = []
        self.kind = None

    async def reserve(self, service, count, limit):
        self.asked.append((service, count, limit))
        if self.kind is not None:
            raise WigeonscaleError(self.kind, "refused")
        return min(count, limit)

    def reserved(self):
        return ReservedRetries(clock=self.clock, reserve=self.reserve)

    async def test_one_request_for_retries_wanted_at_once(self):
        reserved = self.reserved()
        for _ in range(5):
            reserved.ask("s", limit=10, max_count=3)
        await self.clock.advance(0.01)
        self.assertEqual([("s", 3, 10)], self.asked)
        self.assertEqual(
            [True, True, True, False], [reserved.take("s") for _ in range(4)]
        )

    async def test_unused_reservations_expire(self):
        reserved = self.reserved()
        reserved.ask("s", limit=10, max_count=3)
        await self.clock.advance(0.01)
        await self.clock.advance(MAX_UNUSED_RESERVATION_S)
        self.assertFalse(reserved.take("s"))

    async def test_pause_after_a_refusal(self):
        reserved = self.reserved()
        self.kind = ErrorKind.NO_QUORUM
        for _ in range(3):
            reserved.ask("s", limit=10, max_count=3)
            await self.clock.advance(0.01)
        self.assertEqual(1, len(self.asked))
        self.assertTrue(reserved.is_supported)
        await self.clock.advance(0.5)
        reserved.ask("s", limit=10, max_count=3)
        await self.clock.advance(0.01)
        self.assertEqual(2, len(self.asked))

    async def test_control_of_an_older_version(self):
        reserved = self.reserved()
        self.kind = ErrorKind.BAD_REQUEST
        reserved.ask("s", limit=10, max_count=3)
        await self.clock.advance(0.01)
        self.assertFalse(reserved.is_supported)
        await self.clock.advance(31)
        self.assertTrue(reserved.is_supported)

    async def test_acquire_waits_for_the_answer(self):
        budget = SharedRetryBudget(
            clock=self.clock,
            ratio=0.0,
            slack=10,
            window_s=WINDOW_S,
            entry_count=lambda: 10,
            reserved=self.reserved(),
        )
        # A new entry reserves each retry.
        task = asyncio.create_task(budget.acquire("s"))
        await self.clock.advance(0.01)
        self.assertTrue(await task)
        self.assertEqual({"s": (0, 1)}, budget.report_sends())


class StepTest(AsyncTestCase):
    """Guards against a model in which no reservation arrives within a step."""

    async def test_latency_is_longer_than_a_step(self):
        self.assertTrue(LATENCY_S[0] < STEP_S < LATENCY_S[1])
