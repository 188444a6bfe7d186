from wigeonscale.errors import ErrorKind
from wigeonscale.state import ControlState
from wigeonscale.state.retry_reservations import (
    MAX_RESERVATIONS_PER_SERVICE,
    RetryReservations,
)
from wigeonscale.state.tests.support import Machine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def request(count, limit, service="s"):
    return wire.ReserveRetries(
        service=service, count=count, limit=limit, window_ms=12_000
    )


class ReservationsTest(AsyncTestCase):
    """Guards against more reserved retries than the limit, on every replica."""

    def setUp(self):
        super().setUp()
        self.machine = Machine()

    def reserve(self, count, limit, *, service="s", expired_index=0, operation_id=""):
        command = wire.Command(
            operation_id=operation_id,
            reserve_retries=request(count, limit, service),
            expired_index=expired_index,
        )
        return self.machine.run_bytes(command.SerializeToString())

    def test_sum_of_all_entries_stays_within_the_limit(self):
        reserved = [self.reserve(4, 10).reserved for _ in range(4)]
        self.assertEqual([4, 4, 2, 0], reserved)
        self.assertEqual(10, self.reserve(20, 10, service="t").reserved)

    def test_expired_reservations_do_not_count(self):
        self.reserve(4, 10)
        self.reserve(4, 10)
        self.assertEqual(6, self.reserve(10, 10, expired_index=1).reserved)

    def test_lower_limit_than_reserved(self):
        self.reserve(8, 10)
        self.assertEqual(0, self.reserve(1, 5).reserved)

    def test_repeated_operation_reserves_once(self):
        first = self.reserve(4, 10, operation_id="a", expired_index=0)
        again = self.reserve(4, 10, operation_id="a", expired_index=1)
        self.assertEqual((4, 4), (first.reserved, again.reserved))
        self.assertEqual(6, self.reserve(10, 10).reserved)

    def test_nonsense_reserves_nothing(self):
        for count, limit in ((0, 10), (-3, 10), (5, 0), (5, -1)):
            result = self.reserve(count, limit)
            self.assertEqual(("", 0), (result.kind, result.reserved))
        self.assertEqual(10, self.reserve(20, 10).reserved)

    def test_snapshot_keeps_reservations(self):
        self.reserve(4, 10)
        self.reserve(3, 10, service="t")
        data = self.machine.state.snapshot()
        other = ControlState()
        other.restore(data)
        self.assertEqual(data, other.snapshot())
        self.machine = Machine(state=other)
        self.assertEqual(6, self.reserve(10, 10).reserved)

    def test_snapshot_of_an_older_version(self):
        self.reserve(4, 10)
        self.machine.state.restore(ControlState().snapshot())
        self.assertEqual(10, self.reserve(10, 10).reserved)

    def test_wall_clock_does_not_expire_reservations(self):
        command = wire.Command(reserve_retries=request(4, 10))
        self.machine.run_bytes(command.SerializeToString())
        command.wall_ms = 10**12
        result = self.machine.run_bytes(command.SerializeToString())
        self.assertEqual(4, result.reserved)
        result = self.machine.run_bytes(command.SerializeToString())
        self.assertEqual(2, result.reserved)

    def test_number_of_reservations_is_bounded(self):
        reservations = RetryReservations()
        count = MAX_RESERVATIONS_PER_SERVICE + 5
        for index in range(1, count + 1):
            reservations.reserve(request(1, 10**6), index=index, expired_index=0)
        snapshot = wire.StateSnapshot()
        reservations.save(snapshot)
        kept = snapshot.retry_reservations
        self.assertEqual(MAX_RESERVATIONS_PER_SERVICE, len(kept))
        self.assertEqual(count, sum(each.count for each in kept))

    def test_other_commands_are_not_affected(self):
        result = self.machine.run(claim=wire.Claim())
        self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)
