from wigeonscale.entry import BackendInstances
from wigeonscale.membership import MembersView
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class ServerNamesTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.members = MembersView()
        self.names = BackendInstances(members=lambda: self.members)
        self.show()
        (self.name,) = self.names.ids_of(["a/1", "unknown"])

    def show(self, **fields):
        backend = wire.Backend(agent_id="a/1", **{"incarnation": 7, **fields})
        index = self.members.index + 1
        self.members.apply(wire.MembersUpdate(index=index, backends=[backend]))

    def judged(self):
        return self.names.is_serving(self.name), self.names.has_ended(self.name)

    def test_there(self):
        self.assertEqual((True, False), self.judged())

    def test_found_gone_by_its_agent_and_back(self):
        self.show(losses=1, draining=True)
        self.assertEqual((True, True), self.judged())
        self.show(losses=1)
        self.assertEqual((True, True), self.judged())
        self.assertNotEqual((self.name,), self.names.ids_of(["a/1"]))

    def test_leaving_by_intent(self):
        self.show(draining=True)
        self.assertEqual((False, False), self.judged())

    def test_agent_started_again_or_gone(self):
        self.show(incarnation=8)
        self.assertEqual((False, True), self.judged())
        index = self.members.index + 1
        self.members.apply(wire.MembersUpdate(index=index, removed_backends=["a/1"]))
        self.assertEqual((False, True), self.judged())
