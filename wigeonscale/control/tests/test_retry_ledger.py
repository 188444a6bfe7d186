from wigeonscale.control import Commands, RetryLedger
from wigeonscale.control.retry_ledger import MAX_WINDOW_S
from wigeonscale.control.tests.support import FakeReplica
from wigeonscale.membership import reserve_retries_command
from wigeonscale.replication import NotLeaderError, Role
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

WINDOW_S = 12.0


class LedgerTest(AsyncTestCase):
    """Guards against reservations that expire early, whatever the leader's past."""

    async def prepare(self):
        self.clock = ManualClock()
        self.state = ControlState()
        self.replica = FakeReplica(state=self.state, clock=self.clock)
        self.start_replica()

    def start_replica(self):
        self.ledger = RetryLedger(
            state=self.state, replica=self.replica, clock=self.clock
        )
        self.commands = Commands(
            replica=self.replica,
            addresses=["127.0.0.1:1"],
            clock=self.clock,
            retry_ledger=self.ledger,
        )
        self.addCleanup(self.commands.close)

    async def pass_time(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.ledger.sample()
            await self.clock.advance(0.25)
        self.ledger.sample()

    async def reserve(self, count, *, limit=10, window_s=WINDOW_S):
        command = reserve_retries_command(
            "s", count=count, limit=limit, window_s=window_s
        )
        return (await self.commands.propose(command)).reserved

    async def test_reservations_expire_after_the_window(self):
        self.assertEqual(10, await self.reserve(10))
        await self.pass_time(WINDOW_S - 0.5)
        self.assertEqual(0, await self.reserve(1))
        await self.pass_time(1.0)
        self.assertEqual(1, await self.reserve(1))

    async def test_nothing_is_proposed_while_all_are_reserved(self):
        await self.reserve(10)
        proposed = len(self.replica.proposed)
        self.assertEqual(0, await self.reserve(1))
        self.assertEqual(proposed, len(self.replica.proposed))

    async def test_reservations_count_as_new_after_a_restart(self):
        await self.reserve(10)
        await self.pass_time(WINDOW_S - 1.0)
        self.start_replica()
        await self.pass_time(WINDOW_S - 0.5)
        self.assertEqual(0, await self.reserve(1))
        await self.pass_time(1.0)
        self.assertEqual(1, await self.reserve(1))

    async def test_jump_of_the_wall_clock(self):
        await self.reserve(10)
        await self.pass_time(1.0)
        jump = wire.Command(wall_ms=10**13, count_entries=wire.CountEntries())
        self.state.apply(self.state.index + 1, 1, jump.SerializeToString())
        self.assertEqual(0, await self.reserve(1))

    async def test_too_long_a_window_never_expires(self):
        await self.reserve(10, window_s=MAX_WINDOW_S + 1)
        await self.pass_time(2 * MAX_WINDOW_S)
        self.assertEqual(0, await self.reserve(1, window_s=MAX_WINDOW_S + 1))

    async def test_follower_refers_to_the_leader(self):
        await self.reserve(10)
        self.replica.role = Role.FOLLOWER
        with self.assertRaises(NotLeaderError):
            await self.reserve(1)

    async def test_other_commands_are_not_changed(self):
        command = wire.Command(count_entries=wire.CountEntries(replica="c1"))
        await self.commands.propose(command)
        self.assertEqual(0, self.replica.proposed[-1].expired_index)
