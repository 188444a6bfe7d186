"""Which weight loads are released."""

from wigeonscale.control.orders import load_orders
from wigeonscale.state.tests.support import Machine, chain
from wigeonscale.testing import AsyncTestCase

LOADS = 2


class LoadOrdersTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()
        for agent_id in "abcd":
            self.machine.announce(agent_id)
        self.machine.place(chain("one", 1, ("a", 0, 1), ("b", 2, 3)))

    def released(self):
        return sorted(load_orders(self.machine.state, loads=LOADS))

    def place_more_urgent(self):
        wanted = chain("two", 1, ("c", 0, 0), ("d", 1, 1))
        wanted.rate = 1000
        self.machine.place(wanted)

    def test_loads_that_began_hold_their_place(self):
        self.assertEqual(["a", "b"], self.released())
        self.machine.announce("a", loading=True)
        self.place_more_urgent()
        self.assertEqual(["a", "c"], self.released())
        self.machine.announce("a", layers=(0, 1))
        self.assertEqual(["c", "d"], self.released())

    def test_load_of_a_removed_chain_counts(self):
        self.machine.announce("a", loading=True)
        self.machine.place(removed=["one"])
        self.place_more_urgent()
        self.assertEqual(["c"], self.released())
        self.machine.announce("a")
        self.assertEqual(["c", "d"], self.released())

    def test_retiring_chain_loads_nothing(self):
        self.machine.announce("a", layers=(0, 1))
        self.machine.announce("b", layers=(2, 3))
        self.machine.place(retired=["one"])
        self.machine.announce("b")
        self.assertEqual([], self.released())
