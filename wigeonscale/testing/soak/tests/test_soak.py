import pathlib
import random

import fixtures

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.faults import LINK_KINDS, NODE_KINDS, draw_faults
from wigeonscale.testing.soak.ledger import Ledger
from wigeonscale.testing.soak.run import run_soak

# Seeds that failed once, each with its cause.
REGRESSIONS = ()
SHORT_S = 3.0


class LedgerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.ledger.once.add("r1")

    def test_second_run_of_what_must_not_repeat(self):
        self.ledger.ran("r1")
        self.assertEqual([], self.ledger.broken)
        self.ledger.ran("r1")
        self.assertEqual(["r1 ran twice"], self.ledger.broken)

    def test_others_may_run_again(self):
        for _ in range(2):
            self.ledger.ran("r2")
        self.assertEqual([], self.ledger.broken)

    def test_not_run_is_true_before_and_after(self):
        self.ledger.ran("r1")
        self.ledger.answered("r1", 503)
        self.ledger.once.add("r2")
        self.ledger.answered("r2", 429)
        self.ledger.ran("r2")
        self.assertEqual(2, len(self.ledger.broken))

    def test_a_failure_that_promises_nothing(self):
        self.ledger.ran("r1")
        self.ledger.answered("r1", 502)
        self.assertEqual([], self.ledger.broken)

    def test_configuration_never_goes_back(self):
        self.ledger.acknowledge(5)
        self.ledger.acknowledge(3)
        self.ledger.read(5, self.ledger.acknowledged)
        self.assertEqual([], self.ledger.broken)
        self.ledger.read(4, self.ledger.acknowledged)
        self.assertEqual(1, len(self.ledger.broken))

    def test_every_layer_once_in_order(self):
        self.ledger.pathway("r1", [(0, 3), (3, 8)], 8)
        self.assertEqual([], self.ledger.broken)
        for wrong in ([(0, 3), (4, 8)], [(0, 4), (3, 8)], [(3, 8), (0, 3)], [(0, 7)]):
            self.ledger.pathway("r1", wrong, 8)
        self.assertEqual(4, len(self.ledger.broken))

    def test_whole_answers(self):
        self.ledger.whole("r1", b"ab", b"ab")
        self.assertEqual([], self.ledger.broken)
        self.ledger.whole("r1", b"a", b"ab")
        self.assertEqual(1, len(self.ledger.broken))


class FaultsTest(AsyncTestCase):
    def drawn(self, seed):
        return draw_faults(random.Random(seed), seconds=30.0, nodes=5, backends=6)

    def test_a_seed_draws_the_same_faults(self):
        self.assertEqual(self.drawn(1), self.drawn(1))
        self.assertNotEqual(self.drawn(1), self.drawn(2))

    def test_every_kind_comes(self):
        kinds = {fault.kind for seed in range(20) for fault in self.drawn(seed)}
        self.assertEqual({*NODE_KINDS, *LINK_KINDS}, kinds)


class ShortRunTest(AsyncTestCase):
    async def test_promises_are_kept(self):
        for seed in (1, *REGRESSIONS):
            folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
            result = await run_soak(seed, seconds=SHORT_S, folder=folder)
            self.assertEqual((), result.broken, seed)
            self.assertTrue(result.answers[200] > 0, result.answers)
