from wigeonscale.entry import BackendInstances
from wigeonscale.membership import MembersView
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class BackendInstancesTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.members = MembersView()
        self.instances = BackendInstances(members=lambda: self.members)
        self.announce()
        (self.instance_id,) = self.instances.ids_of(["a/1", "unknown"])

    def announce(self, **fields):
        backend = wire.Backend(agent_id="a/1", **{"incarnation": 7, **fields})
        index = self.members.index + 1
        self.members.apply(wire.MembersUpdate(index=index, backends=[backend]))

    def status(self):
        return self.instances.is_serving(self.instance_id), self.instances.has_ended(
            self.instance_id
        )

    def test_running_instance(self):
        self.assertEqual((True, False), self.status())

    def test_instance_lost_and_replaced(self):
        self.announce(losses=1, draining=True)
        self.assertEqual((True, True), self.status())
        self.announce(losses=1)
        self.assertEqual((True, True), self.status())
        self.assertNotEqual((self.instance_id,), self.instances.ids_of(["a/1"]))

    def test_draining_agent(self):
        self.announce(draining=True)
        self.assertEqual((False, False), self.status())

    def test_agent_restarted_or_removed(self):
        self.announce(incarnation=8)
        self.assertEqual((False, True), self.status())
        index = self.members.index + 1
        self.members.apply(wire.MembersUpdate(index=index, removed_backends=["a/1"]))
        self.assertEqual((False, True), self.status())
