import random

from wigeonscale.limits import ALL_SHARE_PARTS
from wigeonscale.state import ControlState
from wigeonscale.state.tests.support import Machine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def share(entry, parts, *, process=1, sequence=1):
    return wire.RetryShare(
        entry=entry, process=process, sequence=sequence, parts=parts, release_ms=45_000
    )


class SharesTest(AsyncTestCase):
    """Guards against shares that exceed the whole, on every replica."""

    def setUp(self):
        super().setUp()
        self.machine = Machine()

    def run_command(self, **body):
        return self.machine.run_bytes(wire.Command(**body).SerializeToString())

    def hold(self, *args, **fields):
        return self.run_command(hold_retry_share=share(*args, **fields)).share_parts

    def drop(self, entry, **fields):
        dropped = wire.DropRetryShares(shares=[share(entry, 0, **fields)])
        self.run_command(drop_retry_shares=dropped)

    def holders(self):
        return self.machine.state.share_holders()

    def test_sum_is_bounded(self):
        rng = random.Random(1)
        for number in range(300):
            name = f"e{rng.randrange(9)}"
            wanted = rng.randrange(ALL_SHARE_PARTS)
            self.hold(name, wanted, process=rng.randrange(3), sequence=number)
            held = sum(each.parts for each in self.machine.state.retry_shares)
            self.assertTrue(0 <= held <= ALL_SHARE_PARTS, held)
            self.assertEqual(
                ALL_SHARE_PARTS - held, self.machine.state.retry_shares.free
            )

    def test_increase_takes_what_is_left(self):
        self.assertEqual(700_000, self.hold("e1", 700_000))
        self.assertEqual(300_000, self.hold("e2", 700_000))
        self.assertEqual(0, self.hold("e3", 1))
        self.hold("e1", 200_000, sequence=2)
        self.assertEqual(700_000, self.hold("e2", 700_000, sequence=2))

    def test_late_command_of_the_same_process_changes_nothing(self):
        self.hold("e1", 500_000, sequence=2)
        self.assertEqual(500_000, self.hold("e1", 100_000, sequence=1))
        self.assertEqual(500_000, self.hold("e1", 100_000, sequence=2))

    def test_late_command_of_a_former_process_lowers_nothing(self):
        self.hold("e1", 500_000, process=2)
        self.assertEqual(500_000, self.hold("e1", 100_000, process=1, sequence=9))
        self.assertEqual(500_000, self.hold("e1", 100_000, process=2, sequence=2))
        self.assertEqual(100_000, self.hold("e1", 100_000, process=2, sequence=3))

    def test_drop_of_a_share_that_has_changed(self):
        self.hold("e1", 500_000, sequence=2)
        self.drop("e1", sequence=1)
        self.drop("e1", process=2, sequence=2)
        self.assertEqual(500_000, self.machine.state.retry_shares.get("e1").parts)
        self.drop("e1", sequence=2)
        self.assertIsNone(self.machine.state.retry_shares.get("e1"))
        self.assertEqual(ALL_SHARE_PARTS, self.machine.state.retry_shares.free)

    def test_drop_of_the_share_of_an_attached_entry(self):
        self.hold("e1", 500_000)
        count = wire.CountEntries(replica="c1", attached=["e1"])
        self.run_command(count_entries=count)
        self.drop("e1")
        self.assertEqual(1, len(self.machine.state.retry_shares))

    def test_holders_are_attached_or_have_a_share(self):
        self.hold("e1", 500_000)
        self.hold("e2", 100_000)
        count = wire.CountEntries(replica="c1", attached=["e2", "e3"])
        self.run_command(count_entries=count)
        self.assertEqual(3, self.holders())
        count = wire.CountEntries(replica="c1", gone=["e2", "e3"])
        self.run_command(count_entries=count)
        self.assertEqual(2, self.holders())
        self.drop("e1")
        self.assertEqual(1, self.holders())

    def test_snapshot_contains_the_shares(self):
        self.hold("e1", 600_000)
        self.hold("e2", 600_000)
        restored = ControlState()
        restored.restore(self.machine.state.snapshot())
        self.assertEqual(0, restored.retry_shares.free)
        self.assertEqual(2, restored.share_holders())
        self.assertEqual(self.machine.state.snapshot(), restored.snapshot())
