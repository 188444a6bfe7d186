from wigeonscale.state import ControlState
from wigeonscale.state.tests.support import Machine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class NumberedTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()

    def put(self, number, content):
        document = wire.NumberedDocument(number=number, content=content)
        return self.machine.run(put_document=document)

    def held(self, state=None):
        document = (state or self.machine.state).document
        return document.number, document.content

    def test_highest_number_is_in_force(self):
        for number in (3, 9, 5):
            self.assertEqual("", self.put(number, b"%d" % number).kind)
        self.assertEqual((9, b"9"), self.held())

    def test_different_content_with_the_same_number_is_ignored(self):
        self.put(3, b"first")
        self.assertEqual("", self.put(3, b"other").kind)
        self.assertEqual((3, b"first"), self.held())

    def test_change_is_emitted_for_new_documents_only(self):
        emitted = []
        self.machine.state.changes.subscribe(lambda change: emitted.append(change))
        self.put(3, b"a")
        self.put(3, b"b")
        self.put(2, b"c")
        self.assertEqual([True], [change.document for change in emitted])

    def test_snapshot_keeps_the_document(self):
        self.put(3, b"a")
        other = ControlState()
        other.restore(self.machine.state.snapshot())
        self.assertEqual((3, b"a"), self.held(other))


class AnnouncementTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()

    def announce(self, name, sequence, **fields):
        backend = wire.Backend(agent_id=name, incarnation=1, **fields)
        command = wire.Announce(backend=backend, replica="c1", sequence=sequence)
        return self.machine.run(announce=command)

    def test_reordered_announcement_is_ignored(self):
        self.announce("i-1", 4, draining=True)
        self.assertEqual("revision-conflict", self.announce("i-1", 3).kind)
        self.assertTrue(self.machine.state.members.effective("i-1").draining)

    def test_snapshot_keeps_the_sequence_number(self):
        self.announce("i-1", 4)
        self.machine.state.restore(self.machine.state.snapshot())
        self.assertEqual("revision-conflict", self.announce("i-1", 3).kind)

    def test_new_backend_at_an_address_ends_the_previous_one(self):
        self.announce("i-1", 4, address="10.0.0.1:80")
        self.announce("i-2", 1, address="10.0.0.1:80")
        members = self.machine.state.members
        self.assertTrue(members.is_ended("i-1", 1))
        self.assertIsNone(members.get("i-1"))
        # A delayed heartbeat of the first backend does not announce it again.
        self.assertEqual("stale-incarnation", self.announce("i-1", 9).kind)
        self.assertIsNotNone(members.get("i-2"))

    def test_backends_without_an_address_are_independent(self):
        self.announce("i-1", 1)
        self.announce("i-2", 1)
        self.assertEqual(2, len(self.machine.state.members))
