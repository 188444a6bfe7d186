"""Tests of the detection of lost agents, with a manual clock."""

import asyncio

from wigeonscale.control.tests.support import DOWN_AFTER_S, LEASE_S, ControlFixture
from wigeonscale.errors import ErrorKind
from wigeonscale.ports import ProbeResult
from wigeonscale.replication import Role
from wigeonscale.state.tests.support import chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

CHECK_S = DOWN_AFTER_S / 12
GRACE_S = DOWN_AFTER_S + LEASE_S


class LivenessTest(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        task = asyncio.create_task(self.fixture.liveness.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)
        await self.pass_time(GRACE_S + 1)

    async def pass_time(self, seconds, *active):
        """Advance time by single checks; the streams in ``active`` get heartbeats."""
        end = self.fixture.clock.now() + seconds
        while self.fixture.clock.now() < end - 1e-9:
            for watcher in active:
                watcher.last_message_at = self.fixture.clock.now()
            await self.fixture.clock.advance(CHECK_S)

    def is_alive(self, agent_id="a"):
        return self.fixture.state.members.is_announced(agent_id, 1)

    def suspect(self, agent_id="a", source_role="entry"):
        suspicion = wire.Suspect(agent_id=agent_id, incarnation=1)
        self.fixture.liveness.suspect(suspicion, source_role=source_role)

    async def test_agent_with_heartbeats_stays_alive(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(20, watcher)
        self.assertTrue(self.is_alive())

    async def test_agent_without_stream_ends_after_down_time(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(1, watcher)
        self.fixture.hub.remove(watcher)
        await self.pass_time(DOWN_AFTER_S - CHECK_S)
        self.assertTrue(self.is_alive())
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_agent_with_silent_stream_has_time_to_reattach(self):
        await self.fixture.attach("a")
        # An agent may look for another replica for this long, and its lease holds.
        await self.pass_time(max(DOWN_AFTER_S, LEASE_S) - CHECK_S)
        self.assertTrue(self.is_alive())
        self.assertEqual([], self.fixture.probed)
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_agent_without_stream_that_refuses_a_probe_ends_at_once(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(1, watcher)
        self.fixture.probe_answer = ProbeResult.REFUSED
        self.fixture.hub.remove(watcher)
        self.fixture.liveness.wake()
        await self.fixture.clock.advance(0)
        self.assertFalse(self.is_alive())

    async def test_agent_that_answers_a_probe_has_time_to_reattach(self):
        self.fixture.probe_answer = ProbeResult.ANSWERED
        lost, silent = await self.fixture.attach("a"), await self.fixture.attach("b")
        await self.pass_time(1, lost, silent)
        silent.last_message_at = self.fixture.clock.now()
        self.fixture.hub.remove(lost)
        for _ in range(3):
            self.suspect("a")
            self.suspect("b")
            await self.pass_time(DOWN_AFTER_S / 3 - CHECK_S)
        self.assertEqual([True, True], [self.is_alive("a"), self.is_alive("b")])
        await self.pass_time(5 * CHECK_S)
        self.assertEqual([False, False], [self.is_alive("a"), self.is_alive("b")])

    async def test_answer_before_the_suspicion_does_not_count(self):
        watcher = await self.fixture.attach("a")
        self.fixture.probe_answer = ProbeResult.ANSWERED
        self.suspect()
        await self.pass_time(CHECK_S)
        watcher.last_message_at = self.fixture.clock.now()
        self.fixture.probe_answer = ProbeResult.NO_ANSWER
        await self.pass_time(CHECK_S)
        self.suspect()
        await self.pass_time(LEASE_S / 3 + CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_suspected_silent_agent_ends_after_two_heartbeats(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(1, watcher)
        watcher.last_message_at = self.fixture.clock.now()
        self.suspect()
        await self.pass_time(1.0 - CHECK_S)
        self.assertTrue(self.is_alive())
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_heartbeat_after_suspicion_clears_it(self):
        watcher = await self.fixture.attach("a")
        self.suspect()
        await self.pass_time(1, watcher)
        await self.pass_time(1.5)
        self.assertTrue(self.is_alive())

    async def test_pause_of_this_process_ends_no_agent(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(1, watcher)
        self.fixture.clock._now += 60
        await self.pass_time(1)
        self.assertTrue(self.is_alive())

    async def test_stale_replica_ends_no_agent(self):
        watcher = await self.fixture.attach("a")
        self.fixture.replica.stale_s = None
        self.fixture.hub.remove(watcher)
        await self.pass_time(10)
        self.assertTrue(self.is_alive())

    async def test_restarted_replica_lets_agents_attach_elsewhere(self):
        fixture = self.fixture = ControlFixture()
        self.addCleanup(fixture.hub.close)
        await fixture.announce("a")
        task = asyncio.create_task(fixture.liveness.run())
        await self.pass_time(GRACE_S - CHECK_S)
        self.assertTrue(self.is_alive())
        await self.pass_time(DOWN_AFTER_S + 2 * CHECK_S)
        self.assertFalse(self.is_alive())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_leader_ends_agents_of_a_lost_replica_after_grace(self):
        await self.fixture.announce("a", replica="c2")
        await self.fixture.announce("b", replica="c3")
        self.fixture.replica.silence_s = {"c2": GRACE_S, "c3": GRACE_S - 0.1}
        self.fixture.replica.role = Role.FOLLOWER
        await self.pass_time(20)
        self.assertTrue(self.is_alive("a"))
        self.fixture.replica.role = Role.LEADER
        await self.pass_time(GRACE_S - CHECK_S)
        self.assertTrue(self.is_alive("a"))
        await self.pass_time(3 * CHECK_S)
        self.assertEqual([False, True], [self.is_alive("a"), self.is_alive("b")])

    async def test_suspicion_is_forwarded_to_the_replica_with_the_stream(self):
        self.fixture.replica.silence_s = {"c2": 0.0}
        await self.fixture.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertEqual([("two", "a")], self.fixture.forwarded)
        self.suspect(source_role="control")
        await self.pass_time(CHECK_S)
        self.assertEqual(1, len(self.fixture.forwarded))
        self.assertTrue(self.is_alive())

    async def test_suspected_agent_of_an_unreachable_replica_ends(self):
        self.fixture.replica.silence_s = {"c2": 0.0}
        self.fixture.peer_answers = False
        await self.fixture.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_suspected_agent_that_moves_between_replicas_stays_alive(self):
        self.fixture.replica.silence_s = {"c2": 0.0}
        self.fixture.peer_answers = False
        self.fixture.probe_answer = ProbeResult.ANSWERED
        await self.fixture.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertTrue(self.is_alive())

    async def test_suspicion_of_another_incarnation_is_ignored(self):
        await self.fixture.announce("a", replica="c2")
        suspicion = wire.Suspect(agent_id="a", incarnation=9)
        self.fixture.liveness.suspect(suspicion, source_role="entry")
        await self.pass_time(CHECK_S)
        self.assertEqual([], self.fixture.forwarded)

    async def test_end_is_retried_after_loss_of_quorum(self):
        watcher = await self.fixture.attach("a")
        await self.pass_time(1, watcher)
        self.fixture.hub.remove(watcher)
        self.fixture.replica.fails = "no quorum"
        await self.pass_time(3)
        self.assertTrue(self.is_alive())
        self.fixture.replica.fails = None
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.is_alive())

    async def test_orders_refused_as_outdated_do_not_count_as_failures(self):
        watcher = await self.fixture.attach("a")
        place = wire.PlaceChains(chains=[chain("c", 1, ("a", 0, 3))])
        await self.fixture.run(place=place)
        await self.pass_time(1, watcher)
        list(self.fixture.hub.pending_events(watcher))
        for _ in range(9):
            stale = wire.OrderResult(order_id="load", kind=ErrorKind.STALE_TERM)
            self.fixture.hub.handle_order_result(watcher, stale)
        await self.pass_time(1, watcher)
        self.assertTrue(self.is_alive())

    async def test_server_that_repeatedly_fails_to_load_is_ended(self):
        watcher = await self.fixture.attach("a")
        place = wire.PlaceChains(chains=[chain("c", 1, ("a", 0, 3))])
        await self.fixture.run(place=place)
        for number in range(5):
            await self.pass_time(1.25, watcher)
            self.assertTrue(self.is_alive(), f"after {number} failures")
            list(self.fixture.hub.pending_events(watcher))
            failed = wire.OrderResult(order_id="load", kind=ErrorKind.INTERNAL)
            self.fixture.hub.handle_order_result(watcher, failed)
        await self.pass_time(2 * CHECK_S, watcher)
        self.assertFalse(self.is_alive())
