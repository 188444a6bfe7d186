"""Tests of revisions: conflicts, retries, preparation and history."""

from unittest import mock

from wigeonscale.errors import ErrorKind
from wigeonscale.rules import editing, parse_document
from wigeonscale.state import ControlState
from wigeonscale.state.tests.support import DOCUMENT, Machine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def document(number):
    return DOCUMENT + f"\n[service s{number}]\n"


class ConfigurationTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine(state=ControlState(history_limit=3))
        self.configuration = self.machine.state.configuration

    def test_second_change_of_the_same_base_conflicts(self):
        first = self.machine.apply(document(1))
        second = self.machine.apply(document(2))
        self.assertEqual(("", 1), (first.kind, first.revision))
        self.assertEqual(ErrorKind.REVISION_CONFLICT, second.kind)
        self.assertEqual(1, second.revision)
        self.assertIn("revision 1", second.message)
        self.assertEqual({"s1"}, set(self.configuration.document.services))

    def test_invalid_document_changes_nothing(self):
        self.machine.apply(document(1))
        result = self.machine.apply("[rule x]\nwhen = nonsense\n", base=1)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, result.kind)
        self.assertEqual(1, self.configuration.revision)
        self.assertEqual({"s1"}, set(self.configuration.document.services))

    def test_changes_that_cannot_be_applied_are_refused(self):
        self.machine.apply(document(1))
        change = wire.SectionChange(name="rule b", text="[rule b]\n", after="absent")
        config = wire.ApplyConfig(base_revision=1, changes=[change])
        result = self.machine.run(apply_config=config)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, result.kind)
        self.assertEqual(1, self.configuration.revision)

    def test_document_and_changes_together_are_refused(self):
        change = wire.SectionChange(name="service s", text="[service s]\n")
        config = wire.ApplyConfig(document=document(1), changes=[change])
        result = self.machine.run(apply_config=config)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, result.kind)

    def test_prepared_command_is_not_parsed_again_and_gives_the_same_state(self):
        services = "".join(f"[service t{n}]\n" for n in range(2000))
        command = wire.Command(
            apply_config=wire.ApplyConfig(document=DOCUMENT + services)
        )
        data = command.SerializeToString()
        plain, prepared = ControlState(), ControlState()
        plain.apply(1, 1, data)
        prepared.preparation(data)()
        self.assertIsNone(prepared.preparation(data))
        self.assertEqual(0, prepared.configuration.revision)
        with mock.patch.object(editing, "parse_section") as parse_section:
            prepared.apply(1, 1, data)
        parse_section.assert_not_called()
        self.assertEqual(plain.snapshot(), prepared.snapshot())
        self.assertEqual(
            plain.configuration.document.text, prepared.configuration.document.text
        )

    def test_preparation_for_another_base_is_not_used(self):
        services = "".join(f"[service t{n}]\n" for n in range(2000))
        late = wire.ApplyConfig(base_revision=1, document=DOCUMENT + services)
        self.assertIsNone(self.configuration.preparation(late))
        first = wire.ApplyConfig(document=DOCUMENT + services)
        prepare = self.configuration.preparation(first)
        self.machine.apply(document(1))
        prepare()
        result = self.machine.run(apply_config=first)
        self.assertEqual(ErrorKind.REVISION_CONFLICT, result.kind)
        changed = wire.ApplyConfig(base_revision=1, changes=first.changes)
        changed.changes.add(name="service s2", text="[service s2]\n")
        self.machine.run(apply_config=changed)
        self.assertEqual({"s1", "s2"}, set(self.configuration.document.services))

    def test_preparation_of_another_command_or_document_is_not_used(self):
        other = ControlState()
        for state, number in ((self.machine.state, 1), (other, 2)):
            apply = wire.ApplyConfig(document=document(number))
            command = wire.Command(apply_config=apply)
            state.apply(1, 1, command.SerializeToString())

        def added(name):
            change = wire.SectionChange(
                name=f"service {name}", text=f"[service {name}]"
            )
            return wire.ApplyConfig(base_revision=1, changes=[change])

        self.configuration.preparation(added("s3"))()
        self.machine.run(apply_config=added("s4"))
        self.assertEqual({"s1", "s4"}, set(self.configuration.document.services))
        # The same revision number of another history has a different document.
        foreign = parse_document(document(1))
        other.configuration.set_prepared(added("s3"), foreign, foreign)
        command = wire.Command(apply_config=added("s3"))
        other.apply(2, 1, command.SerializeToString())
        self.assertEqual({"s2", "s3"}, set(other.configuration.document.services))

    def test_preparation_of_another_snapshot_is_not_used(self):
        first, second = ControlState(), ControlState()
        for state, number in ((first, 1), (second, 2)):
            apply = wire.ApplyConfig(document=document(number))
            state.apply(1, 1, wire.Command(apply_config=apply).SerializeToString())
        state = ControlState()
        state.restore_preparation(first.snapshot())()
        state.restore(second.snapshot())
        self.assertEqual({"s2"}, set(state.configuration.document.services))

    def test_prepared_snapshot_is_not_parsed_again_and_gives_the_same_state(self):
        self.machine.apply(document(1))
        data = self.machine.state.snapshot()
        state = ControlState()
        state.restore_preparation(data)()
        with mock.patch.object(editing, "parse_section") as parse_section:
            state.restore(data)
        parse_section.assert_not_called()
        self.assertEqual(data, state.snapshot())

    def test_document_must_have_the_digest_of_the_command(self):
        meant = wire.ApplyConfig(document=document(1), digest="0" * 64)
        result = self.machine.run(apply_config=meant)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, result.kind)
        self.assertEqual(0, self.configuration.revision)

    def test_history_is_bounded_and_contiguous(self):
        for number in range(5):
            self.machine.apply(document(number), base=number)
        self.assertEqual(2, self.configuration.oldest_base_revision)
        self.assertEqual([4, 5], [r.number for r in self.configuration.after(3)])
        self.assertEqual([], self.configuration.after(5))
        self.assertIsNone(self.configuration.document_at(1))
        self.assertEqual({"s1"}, set(self.configuration.document_at(2).services))
        self.assertEqual({"s4"}, set(self.configuration.document_at(5).services))
        self.assertIsNone(self.configuration.document_at(6))

    def test_snapshot_keeps_history(self):
        for number in range(5):
            self.machine.apply(document(number), base=number, operator=f"o{number}")
        other = ControlState(history_limit=3)
        other.restore(self.machine.state.snapshot())
        self.assertEqual(5, other.configuration.revision)
        self.assertEqual(
            self.configuration.document.digest, other.configuration.document.digest
        )
        self.assertEqual(
            [r.operator for r in self.configuration.history],
            [r.operator for r in other.configuration.history],
        )
        self.assertEqual({"s1"}, set(other.configuration.document_at(2).services))


class OperationsTest(AsyncTestCase):
    def test_retry_gets_the_first_result(self):
        machine = Machine()
        first = machine.apply(document(1), operation_id="op")
        machine.apply(document(2), base=1, operation_id="later")
        again = machine.apply(document(1), operation_id="op")
        self.assertEqual(first, again)
        self.assertEqual(2, machine.state.configuration.revision)

    def test_retry_of_a_refused_command_gets_the_refusal(self):
        machine = Machine()
        machine.apply(document(1))
        first = machine.apply(document(2), operation_id="op")
        self.assertEqual(ErrorKind.REVISION_CONFLICT, first.kind)
        self.assertEqual(first, machine.apply(document(2), operation_id="op"))

    def test_retry_after_a_snapshot_gets_the_first_result(self):
        machine = Machine()
        first = machine.apply(document(1), operation_id="op")
        machine.announce("a")
        claimed = machine.run(
            operation_id="c", claim=wire.Claim(key="k", dispatch_id="d", agent_id="a")
        )
        restored = Machine()
        restored.state.restore(machine.state.snapshot())
        self.assertEqual(first, restored.apply(document(1), operation_id="op"))
        again = restored.run(
            operation_id="c", claim=wire.Claim(key="k", dispatch_id="d", agent_id="a")
        )
        self.assertEqual(claimed, again)

    def test_operation_id_of_another_command_is_refused(self):
        machine = Machine()
        machine.apply(document(1), operation_id="op")
        other = machine.apply(document(2), base=1, operation_id="op")
        self.assertEqual(ErrorKind.IDEMPOTENCY_KEY_REUSED, other.kind)
        self.assertEqual(1, machine.state.configuration.revision)

    def test_results_are_bounded_by_age(self):
        machine = Machine()
        day_ms = 24 * 3600 * 1000
        drain = wire.DrainBackend(agent_id="absent", draining=True)
        machine.run(operation_id="old", wall_ms=1, drain=drain)
        machine.run(operation_id="new", wall_ms=day_ms + 2, drain=drain)
        command = wire.Command(operation_id="old", drain=drain)
        self.assertIsNone(machine.state.first_result(command))
        command.operation_id = "new"
        self.assertIsNotNone(machine.state.first_result(command))
