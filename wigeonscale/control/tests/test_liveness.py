"""Tests of when an agent counts as gone, by a manual clock."""

import asyncio

from wigeonscale.control.tests.support import DOWN_AFTER_S, LEASE_S, Parts
from wigeonscale.errors import ErrorKind
from wigeonscale.ports import ProbeAnswer
from wigeonscale.replication import Role
from wigeonscale.state.tests.support import chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

CHECK_S = DOWN_AFTER_S / 12
GRACE_S = DOWN_AFTER_S + LEASE_S


class LivenessTest(AsyncTestCase):
    async def prepare(self):
        self.parts = Parts()
        self.addCleanup(self.parts.hub.close)
        task = asyncio.create_task(self.parts.liveness.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)
        await self.pass_time(GRACE_S + 1)

    async def pass_time(self, seconds, *heard):
        """Let time pass check by check; ``heard`` are streams with heartbeats."""
        end = self.parts.clock.now() + seconds
        while self.parts.clock.now() < end - 1e-9:
            for watcher in heard:
                watcher.last_message_at = self.parts.clock.now()
            await self.parts.clock.advance(CHECK_S)

    def lives(self, agent_id="a"):
        return self.parts.state.members.holds(agent_id, 1)

    def suspect(self, agent_id="a", came_from="entry"):
        suspicion = wire.Suspect(agent_id=agent_id, incarnation=1)
        self.parts.liveness.suspect(suspicion, came_from=came_from)

    async def test_agent_with_heartbeats_stays(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(20, watcher)
        self.assertTrue(self.lives())

    async def test_agent_without_stream_ends_after_down_time(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(1, watcher)
        self.parts.hub.remove(watcher)
        await self.pass_time(DOWN_AFTER_S - CHECK_S)
        self.assertTrue(self.lives())
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.lives())

    async def test_silent_stream_leaves_time_to_move(self):
        await self.parts.attach("a")
        # An agent looks for another replica for this long, and its lease holds.
        await self.pass_time(max(DOWN_AFTER_S, LEASE_S) - CHECK_S)
        self.assertTrue(self.lives())
        self.assertEqual([], self.parts.probed)
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.lives())

    async def test_agent_without_stream_that_refuses_a_probe_ends_at_once(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(1, watcher)
        self.parts.probe_answer = ProbeAnswer.REFUSED
        self.parts.hub.remove(watcher)
        self.parts.liveness.wake()
        await self.parts.clock.advance(0)
        self.assertFalse(self.lives())

    async def test_agent_that_answers_a_probe_gets_time_to_move(self):
        self.parts.probe_answer = ProbeAnswer.ANSWERED
        lost, silent = await self.parts.attach("a"), await self.parts.attach("b")
        await self.pass_time(1, lost, silent)
        silent.last_message_at = self.parts.clock.now()
        self.parts.hub.remove(lost)
        for _ in range(3):
            self.suspect("a")
            self.suspect("b")
            await self.pass_time(DOWN_AFTER_S / 3 - CHECK_S)
        self.assertEqual([True, True], [self.lives("a"), self.lives("b")])
        await self.pass_time(5 * CHECK_S)
        self.assertEqual([False, False], [self.lives("a"), self.lives("b")])

    async def test_answer_before_the_suspicion_does_not_count(self):
        watcher = await self.parts.attach("a")
        self.parts.probe_answer = ProbeAnswer.ANSWERED
        self.suspect()
        await self.pass_time(CHECK_S)
        watcher.last_message_at = self.parts.clock.now()
        self.parts.probe_answer = ProbeAnswer.NOTHING
        await self.pass_time(CHECK_S)
        self.suspect()
        await self.pass_time(LEASE_S / 3 + CHECK_S)
        self.assertFalse(self.lives())

    async def test_suspected_silent_agent_ends_after_two_heartbeats(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(1, watcher)
        watcher.last_message_at = self.parts.clock.now()
        self.suspect()
        await self.pass_time(1.0 - CHECK_S)
        self.assertTrue(self.lives())
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.lives())

    async def test_heartbeat_after_suspicion_clears_it(self):
        watcher = await self.parts.attach("a")
        self.suspect()
        await self.pass_time(1, watcher)
        await self.pass_time(1.5)
        self.assertTrue(self.lives())

    async def test_pause_of_this_process_ends_nobody(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(1, watcher)
        self.parts.clock._now += 60
        await self.pass_time(1)
        self.assertTrue(self.lives())

    async def test_replica_that_is_not_fresh_ends_nobody(self):
        watcher = await self.parts.attach("a")
        self.parts.replica.stale_s = None
        self.parts.hub.remove(watcher)
        await self.pass_time(10)
        self.assertTrue(self.lives())

    async def test_restarted_replica_lets_agents_attach_elsewhere(self):
        parts = self.parts = Parts()
        self.addCleanup(parts.hub.close)
        await parts.announce("a")
        task = asyncio.create_task(parts.liveness.run())
        await self.pass_time(GRACE_S - CHECK_S)
        self.assertTrue(self.lives())
        await self.pass_time(DOWN_AFTER_S + 2 * CHECK_S)
        self.assertFalse(self.lives())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_leader_ends_agents_of_a_lost_replica_after_grace(self):
        await self.parts.announce("a", replica="c2")
        await self.parts.announce("b", replica="c3")
        self.parts.replica.silences = {"c2": GRACE_S, "c3": GRACE_S - 0.1}
        self.parts.replica.role = Role.FOLLOWER
        await self.pass_time(20)
        self.assertTrue(self.lives("a"))
        self.parts.replica.role = Role.LEADER
        await self.pass_time(GRACE_S - CHECK_S)
        self.assertTrue(self.lives("a"))
        await self.pass_time(3 * CHECK_S)
        self.assertEqual([False, True], [self.lives("a"), self.lives("b")])

    async def test_suspicion_goes_to_the_replica_that_holds_the_stream(self):
        self.parts.replica.silences = {"c2": 0.0}
        await self.parts.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertEqual([("two", "a")], self.parts.told)
        self.suspect(came_from="control")
        await self.pass_time(CHECK_S)
        self.assertEqual(1, len(self.parts.told))
        self.assertTrue(self.lives())

    async def test_suspected_agent_of_an_unreachable_replica_ends(self):
        self.parts.replica.silences = {"c2": 0.0}
        self.parts.peer_answers = False
        await self.parts.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertFalse(self.lives())

    async def test_agent_between_two_replicas_outlives_a_suspicion(self):
        self.parts.replica.silences = {"c2": 0.0}
        self.parts.peer_answers = False
        self.parts.probe_answer = ProbeAnswer.ANSWERED
        await self.parts.announce("a", replica="c2")
        self.suspect()
        await self.pass_time(CHECK_S)
        self.assertTrue(self.lives())

    async def test_suspicion_of_another_incarnation_is_ignored(self):
        await self.parts.announce("a", replica="c2")
        suspicion = wire.Suspect(agent_id="a", incarnation=9)
        self.parts.liveness.suspect(suspicion, came_from="entry")
        await self.pass_time(CHECK_S)
        self.assertEqual([], self.parts.told)

    async def test_end_is_tried_again_without_a_quorum(self):
        watcher = await self.parts.attach("a")
        await self.pass_time(1, watcher)
        self.parts.hub.remove(watcher)
        self.parts.replica.fails = "no quorum"
        await self.pass_time(3)
        self.assertTrue(self.lives())
        self.parts.replica.fails = None
        await self.pass_time(2 * CHECK_S)
        self.assertFalse(self.lives())

    async def test_orders_refused_as_outdated_do_not_count_as_failures(self):
        watcher = await self.parts.attach("a")
        place = wire.PlaceChains(chains=[chain("c", 1, ("a", 0, 3))])
        await self.parts.run(place=place)
        await self.pass_time(1, watcher)
        list(self.parts.hub.due(watcher))
        for _ in range(9):
            stale = wire.OrderResult(order_id="load", kind=ErrorKind.STALE_TERM)
            self.parts.hub.note_order_result(watcher, stale)
        await self.pass_time(1, watcher)
        self.assertTrue(self.lives())

    async def test_server_that_cannot_load_gives_up_its_place(self):
        watcher = await self.parts.attach("a")
        place = wire.PlaceChains(chains=[chain("c", 1, ("a", 0, 3))])
        await self.parts.run(place=place)
        for number in range(5):
            await self.pass_time(1.25, watcher)
            self.assertTrue(self.lives(), f"after {number} failures")
            list(self.parts.hub.due(watcher))
            failed = wire.OrderResult(order_id="load", kind=ErrorKind.INTERNAL)
            self.parts.hub.note_order_result(watcher, failed)
        await self.pass_time(2 * CHECK_S, watcher)
        self.assertFalse(self.lives())
