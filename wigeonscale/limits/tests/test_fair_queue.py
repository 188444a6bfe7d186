from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import FairQueue
from wigeonscale.testing import AsyncTestCase, ManualClock


def drain(queue):
    items = []
    while (item := queue.pop()) is not None:
        items.append(item)
    return items


class FairQueueTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.queue = FairQueue(limit=90, clock=self.clock)

    def push(self, organisation, count, **kwargs):
        for number in range(count):
            self.queue.push(
                f"{organisation}{number}", organisation=organisation, **kwargs
            )

    def test_higher_priority_is_served_first(self):
        self.push("low", 2)
        self.push("high", 2, priority=5)
        self.assertEqual(["high0", "high1", "low0", "low1"], drain(self.queue))

    def test_service_follows_shares(self):
        self.push("a", 20, share=3.0)
        self.push("b", 20, share=1.0)
        first = [self.queue.pop()[0] for _ in range(16)]
        self.assertEqual(12, first.count("a"))

    def test_service_follows_costs(self):
        self.push("a", 20, cost=3.0)
        self.push("b", 20, cost=1.0)
        first = [self.queue.pop()[0] for _ in range(16)]
        self.assertEqual(4, first.count("a"))

    def test_small_shares_are_served_in_proportion(self):
        self.push("a", 20, share=0.003)
        self.push("b", 20, share=0.001)
        first = [self.queue.pop()[0] for _ in range(16)]
        self.assertIn(first.count("a"), (11, 12, 13))

    def test_new_organisation_waits_one_turn_behind_long_backlog(self):
        self.push("big", 40)
        self.queue.pop()
        self.push("small", 1)
        self.assertIn("small0", [self.queue.pop(), self.queue.pop()])

    def test_full_queue_refuses_as_not_run(self):
        queue = FairQueue(limit=2, clock=self.clock)
        queue.push("x", organisation="a")
        queue.push("y", organisation="b")
        exc = self.assertRaises(WigeonscaleError, queue.push, "z", organisation="c")
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual("not-run", exc.run_state)

    def test_one_organisation_leaves_space_for_others(self):
        refused = self.assertRaises(WigeonscaleError, self.push, "big", 90)
        self.assertIn("organisation big holds 80", str(refused))
        self.push("small", 5)

    def test_removed_item_is_not_served(self):
        self.push("a", 3)
        self.assertTrue(self.queue.remove("a1"))
        self.assertFalse(self.queue.remove("a1"))
        self.assertEqual(["a0", "a2"], drain(self.queue))
        self.assertEqual(0, len(self.queue))

    async def test_expired_items_are_returned_once_and_never_served(self):
        self.push("a", 2, deadline=self.clock.now() + 1.0)
        self.push("b", 1)
        await self.clock.advance(1.0)
        self.assertEqual(["b0"], drain(self.queue))
        self.assertEqual(["a0", "a1"], self.queue.take_expired())
        self.assertEqual([], self.queue.take_expired())

    def test_item_queued_again_has_a_new_deadline(self):
        self.queue.push("x", organisation="a", deadline=self.clock.now() - 1.0)
        self.queue.remove("x")
        self.queue.push("x", organisation="a")
        self.assertEqual([], self.queue.take_expired())
        self.assertEqual("x", self.queue.pop())

    def test_organisation_below_its_share_is_served_first(self):
        self.push("big", 40)
        for _ in range(20):
            self.queue.pop()
        self.push("small", 3)
        first = [self.queue.pop() for _ in range(3)]
        self.assertEqual(["small0", "small1", "small2"], first)

    def test_credit_is_bounded(self):
        self.push("big", 40)
        for _ in range(20):
            self.queue.pop()
        self.push("small", 20)
        first = [self.queue.pop()[:3] for _ in range(20)]
        self.assertEqual(12, first.count("sma"))

    def test_emptied_backlog_gains_no_credit(self):
        self.push("big", 40)
        served = []
        for number in range(20):
            name = f"fast{number}"
            self.queue.push(name, organisation="fast")
            served += [self.queue.pop(), self.queue.pop()]
        self.assertEqual(20, sum(name.startswith("big") for name in served))

    def test_ahead_is_the_position_of_a_new_item(self):
        self.push("big", 40)
        self.push("urgent", 2, priority=1)
        self.assertEqual(42, self.queue.ahead("big"))
        self.assertEqual(3, self.queue.ahead("small"))
        self.assertEqual(2, self.queue.ahead("urgent", priority=1))
