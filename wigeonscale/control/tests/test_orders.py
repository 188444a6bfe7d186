"""Tests of which weight loads are released."""

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
        return sorted(load_orders(self.machine.state, max_loads=LOADS))

    def place_more_urgent(self):
        wanted = chain("two", 1, ("c", 0, 0), ("d", 1, 1))
        wanted.rate = 1000
        self.machine.place(wanted)

    def test_loads_in_progress_keep_their_slots(self):
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


class SpareLoadsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()
        for agent_id in "abcd":
            self.machine.announce(agent_id)
        self.machine.place(chain("one", 1, ("a", 0, 1), ("b", 2, 3)))

    def released(self, loads=LOADS):
        orders = load_orders(self.machine.state, max_loads=loads)
        return {name: (o.first_layer, o.last_layer) for name, o in orders.items()}

    def load_chain(self):
        self.machine.announce("a", layers=(0, 1))
        self.machine.announce("b", layers=(2, 3))

    def test_spares_load_the_stages_one_after_the_other(self):
        self.machine.announce("a", layers=(0, 1))
        self.assertEqual({"b": (2, 3)}, self.released())
        self.machine.announce("b", layers=(2, 3))
        self.assertEqual({"c": (0, 1)}, self.released())
        self.machine.announce("c", loading=True)
        self.assertEqual({"c": (0, 1)}, self.released())
        self.machine.announce("c", layers=(0, 1))
        self.assertEqual({"d": (2, 3)}, self.released())
        self.machine.announce("d", layers=(2, 3))
        self.assertEqual({}, self.released())

    def test_spare_takes_a_stage_of_another_domain(self):
        for lost, domain, layers in (("c", "x", (2, 3)), ("d", "y", (0, 1))):
            machine = Machine()
            machine.announce("a", layers=(0, 1), domain="x")
            machine.announce("b", layers=(2, 3), domain="y")
            wanted = chain("one", 1, ("a", 0, 1), ("b", 2, 3))
            wanted.stages[0].domain, wanted.stages[1].domain = "x", "y"
            machine.place(wanted)
            machine.announce(lost, domain=domain)
            self.machine = machine
            self.assertEqual({lost: layers}, self.released())

    def test_repair_has_priority_over_a_spare(self):
        self.load_chain()
        self.machine.announce("c", loading=True)
        self.machine.place(chain("one", 2, ("a", 0, 1), ("d", 2, 3)))
        self.assertEqual((2, 3), self.released()["d"])

    def test_a_spare_never_takes_the_only_load(self):
        self.load_chain()
        self.assertEqual({}, self.released(loads=1))

    def test_draining_or_small_engines_load_nothing(self):
        self.load_chain()
        self.machine.announce("c", draining=True)
        self.machine.announce("d", layer_capacity=1)
        self.assertEqual({}, self.released())

    def test_new_version_is_loaded_by_spares_too(self):
        self.load_chain()
        self.machine.announce("c", layers=(0, 1))
        self.machine.announce("d", layers=(2, 3))
        new = chain("one", 2, ("a", 0, 1), ("b", 2, 3), version="v2")
        self.machine.place(new)
        for agent_id, layers in (("a", (0, 1)), ("b", (2, 3))):
            self.machine.announce(agent_id, layers=layers, version="v2")
        self.assertEqual({"c": (0, 1)}, self.released())
