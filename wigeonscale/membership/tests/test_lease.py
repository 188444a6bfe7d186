from wigeonscale.membership.lease import Lease
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


def us(seconds):
    return int(seconds * 1_000_000)


class LeaseTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=100.0)
        self.lease = Lease(clock=self.clock, lease_s=3.0)

    def add_grant(self, echo_s, age_s=0.0, revision=1, applied=1, last_sent_s=100.0):
        grant = wire.LeaseGrant(echo_us=us(echo_s), age_us=us(age_s), revision=revision)
        return self.lease.add_grant(
            grant, last_sent_us=us(last_sent_s), applied_revision=applied
        )

    async def test_lease_starts_at_the_heartbeat_minus_the_age(self):
        self.assertFalse(self.lease.is_valid())
        self.assertTrue(self.add_grant(echo_s=100, age_s=1))
        await self.clock.advance(1.999)
        self.assertTrue(self.lease.is_valid())
        await self.clock.advance(0.001)
        self.assertFalse(self.lease.is_valid())

    async def test_delayed_grant_does_not_extend_the_lease(self):
        await self.clock.advance(10)
        self.assertFalse(self.add_grant(echo_s=100))
        self.assertFalse(self.lease.is_valid())

    async def test_buffered_grants_count_from_their_heartbeats(self):
        self.add_grant(echo_s=100)
        await self.clock.advance(2)
        for echo_s in (99.0, 99.5, 100.0):
            self.assertFalse(self.add_grant(echo_s=echo_s))
        await self.clock.advance(1)
        self.assertFalse(self.lease.is_valid())

    def test_echo_of_a_heartbeat_never_sent_is_refused(self):
        self.assertFalse(self.add_grant(echo_s=200))
        self.assertFalse(self.lease.is_valid())

    def test_negative_age_is_refused(self):
        self.assertFalse(self.add_grant(echo_s=100, age_s=-1))
        self.assertFalse(self.lease.is_valid())

    def test_grant_for_an_unapplied_revision_counts_once_applied(self):
        self.assertFalse(self.add_grant(echo_s=100, revision=3, applied=1))
        self.assertFalse(self.lease.is_valid())
        self.assertFalse(self.lease.note_applied(2))
        self.assertFalse(self.lease.is_valid())
        self.assertTrue(self.lease.note_applied(3))
        self.assertTrue(self.lease.is_valid())

    async def test_pending_grant_does_not_extend_the_lease(self):
        self.add_grant(echo_s=100)
        await self.clock.advance(2)
        self.add_grant(echo_s=102, revision=2, applied=1, last_sent_s=102)
        self.assertTrue(self.lease.is_valid())
        await self.clock.advance(1)
        self.assertFalse(self.lease.is_valid())
