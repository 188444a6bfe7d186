import asyncio

from wigeonscale.control import Commands, Registry
from wigeonscale.control.tests.support import FakeReplica
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import EngineProbeResult, ProbeResult
from wigeonscale.replication import Role
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

HEARTBEAT_S = 1.0


def backend(name="i-1", **fields):
    fields.setdefault("address", f"{name}:80")
    return wire.Backend(agent_id=name, incarnation=1, service="s", **fields)


class RegistryCase(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.state = ControlState()
        self.replica = FakeReplica(state=self.state, clock=self.clock)
        self.commands = Commands(
            replica=self.replica, addresses=["127.0.0.1:1"], clock=self.clock
        )
        self.addCleanup(self.commands.close)
        self.answering = set()
        self.refusing = set()
        self.replaced = set()
        self.paces = {}
        self.probed = []
        self.services = {"s"}
        self.trusting = set()
        self.registry = self.new_registry("c1")
        self.task = asyncio.create_task(self.registry.run())
        self.addCleanup(self.stop)

    def new_registry(self, node_id):
        return Registry(
            node_id=node_id,
            state=self.state,
            replica=self.replica,
            commands=self.commands,
            clock=self.clock,
            heartbeat_s=HEARTBEAT_S,
            probe=self.probe,
            has_service=self.services.__contains__,
            trusts_witnesses=self.trusting.__contains__,
        )

    async def probe(self, address, started_ms):
        self.probed.append(address)
        if (address, started_ms) in self.replaced:
            return EngineProbeResult(ProbeResult.REPLACED)
        if address in self.refusing:
            return EngineProbeResult(ProbeResult.REFUSED)
        if address not in self.answering:
            return EngineProbeResult(ProbeResult.NO_ANSWER)
        return EngineProbeResult(ProbeResult.ANSWERED, self.paces.get(address, 1.0))

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def member(self, name="i-1"):
        return self.state.members.get(name)


class HeartbeatTest(RegistryCase):
    async def test_unchanged_heartbeat_costs_no_log_entry(self):
        for sequence in range(1, 6):
            await self.registry.announce(backend(), sequence)
        self.assertEqual(1, len(self.replica.proposed))

    async def test_changes_are_committed_before_the_acknowledgement(self):
        await self.registry.announce(backend(), 1)
        await self.registry.announce(backend(draining=True), 2)
        self.assertTrue(self.member().backend.draining)
        await self.registry.announce(
            backend(draining=True, first_layer=2, last_layer=5), 3
        )
        self.assertEqual(5, self.member().backend.last_layer)

    async def test_outdated_heartbeat_changes_nothing(self):
        await self.registry.announce(backend(draining=True), 5)
        await self.registry.announce(backend(), 4)
        self.assertTrue(self.member().backend.draining)

    async def test_outdated_heartbeat_at_another_replica_changes_nothing(self):
        await self.registry.announce(backend(draining=True), 5)
        await self.new_registry("c2").announce(backend(), 4)
        self.assertTrue(self.member().backend.draining)

    async def test_late_heartbeat_does_not_restore_a_backend_that_left(self):
        await self.registry.announce(backend(), 1)
        await self.registry.leave("i-1")
        await self.registry.announce(backend(), 2)
        self.assertIsNone(self.member())

    async def test_no_acknowledgement_without_a_majority(self):
        self.replica.fails = "planted"
        try:
            await self.registry.announce(backend(), 1)
        except WigeonscaleError:
            return
        self.fail("it was acknowledged")


class SilenceTest(RegistryCase):
    async def test_backend_is_silent_from_three_missed_heartbeats_to_the_next(self):
        await self.registry.announce(backend(), 1)
        await self.clock.advance(2.9)
        self.assertFalse(self.member().backend.silent)
        await self.clock.advance(1.0)
        self.assertTrue(self.member().backend.silent)
        await self.registry.announce(backend(), 2)
        self.assertFalse(self.member().backend.silent)

    async def test_backends_of_another_replica_are_not_checked(self):
        await self.new_registry("c2").announce(backend(), 1)
        self.replica.silence_s["c2"] = 0.0
        await self.clock.advance(30)
        self.assertFalse(self.member().backend.silent)

    async def test_leader_checks_backends_of_a_lost_replica(self):
        await self.new_registry("c2").announce(backend(), 1)
        self.replica.silence_s["c2"] = 9.0
        self.replica.role = Role.FOLLOWER
        await self.clock.advance(5)
        self.assertFalse(self.member().backend.silent)
        self.replica.role = Role.LEADER
        await self.clock.advance(5)
        self.assertTrue(self.member().backend.silent)

    async def test_backends_of_a_lost_replica_have_time_to_move(self):
        # A lost replica may have had half of the engines, which are healthy.
        names = [f"i-{number}" for number in range(20)]
        other = self.new_registry("c2")
        for name in names:
            await other.announce(backend(name), 1)
        await self.clock.advance(60)
        self.replica.silence_s["c2"] = 9.0
        await self.clock.advance(2)
        for name in names:
            await self.registry.announce(backend(name), 2)
        await self.clock.advance(2)
        silent = [n for n in names if self.member(n).backend.silent]
        self.assertEqual([], silent)

    async def test_backend_that_answers_probes_is_not_silent(self):
        await self.registry.announce(backend(), 1)
        self.answering.add("i-1:80")
        await self.clock.advance(20)
        self.assertFalse(self.member().backend.silent)
        self.answering.clear()
        await self.clock.advance(5)
        self.assertTrue(self.member().backend.silent)


class SuspicionTest(RegistryCase):
    async def test_suspected_backend_without_probe_answer_is_silent(self):
        await self.registry.announce(backend(), 1)
        self.registry.suspect(wire.Suspect(agent_id="i-1"), source_role="entry")
        await self.clock.advance(0.5)
        self.assertTrue(self.member().backend.silent)

    async def test_backend_whose_port_refuses_is_silent_at_once(self):
        # Streams through a crashed engine stall until entries learn of the crash.
        await self.registry.announce(backend(), 1)
        self.refusing.add("i-1:80")
        self.registry.suspect(wire.Suspect(agent_id="i-1"), source_role="entry")
        await self.clock.advance(0)
        self.assertTrue(self.member().backend.silent)

    async def test_backend_without_a_sign_of_its_end_may_go_on(self):
        """Guards against a sound backend that is taken for a crashed one."""
        for name in ("i-1", "i-2"):
            await self.registry.announce(backend(name), 1)
        self.refusing.add("i-2:80")
        await self.clock.advance(4.0)
        self.assertTrue(self.member("i-1").backend.may_go_on)
        self.assertTrue(self.member("i-2").backend.silent)
        self.assertFalse(self.member("i-2").backend.may_go_on)
        await self.registry.announce(backend("i-1"), 2)
        self.assertFalse(self.member("i-1").backend.may_go_on)

    async def test_hints_about_a_healthy_backend_cost_few_probes(self):
        # 23 entries see the same path stall while its engines are busy.
        await self.registry.announce(backend(), 1)
        self.answering.add("i-1:80")
        hint = wire.Suspect(agent_id="i-1", is_hint=True)
        for _ in range(10):
            for _ in range(23):
                self.registry.suspect(hint, source_role="entry")
            await self.clock.advance(0.1)
        self.assertEqual(["i-1:80"], self.probed)

    async def test_each_definite_suspicion_causes_a_probe(self):
        await self.registry.announce(backend(), 1)
        self.answering.add("i-1:80")
        for _ in range(3):
            self.registry.suspect(wire.Suspect(agent_id="i-1"), source_role="entry")
            await self.clock.advance(0.1)
        self.assertEqual(3, len(self.probed))

    async def test_suspected_backend_that_answers_stays_alive(self):
        await self.registry.announce(backend(), 1)
        self.answering.add("i-1:80")
        self.registry.suspect(wire.Suspect(agent_id="i-1"), source_role="entry")
        await self.clock.advance(0.5)
        self.assertFalse(self.member().backend.silent)

    async def test_suspicion_of_an_unknown_backend_is_ignored(self):
        self.registry.suspect(wire.Suspect(agent_id="nobody"), source_role="entry")
        await self.clock.advance(0.5)
        self.assertEqual([], self.replica.proposed)


def start(started_ms, name="i-1", **fields):
    each = backend(name, started_ms=started_ms, **fields)
    each.incarnation = started_ms
    return each


class RestartTest(RegistryCase):
    """Backend servers that restart under the same name."""

    async def test_restart_resets_the_sequence_number(self):
        await self.registry.announce(start(100, first_layer=2, last_layer=5), 40)
        await self.registry.announce(start(200, last_layer=-1), 1)
        self.assertEqual(200, self.member().backend.started_ms)
        self.assertEqual(-1, self.member().backend.last_layer)

    async def test_late_heartbeat_of_the_former_incarnation_is_ignored(self):
        await self.registry.announce(start(100), 40)
        await self.registry.announce(start(200), 1)
        for replica in (self.registry, self.new_registry("c2")):
            await replica.announce(start(100, draining=True), 41)
            self.assertEqual(200, self.member().backend.started_ms)
            self.assertFalse(self.member().backend.draining)
        # Heartbeats of the new incarnation are still accepted afterwards.
        await self.registry.announce(start(200, draining=True), 2)
        self.assertTrue(self.member().backend.draining)

    async def test_former_incarnation_leaves_without_the_new_one(self):
        await self.registry.announce(start(100), 1)
        await self.registry.announce(start(200), 1)
        await self.registry.leave("i-1", 100)
        self.assertEqual(200, self.member().backend.started_ms)
        await self.registry.leave("i-1", 200)
        self.assertIsNone(self.member())

    async def test_incarnation_before_one_that_left_is_not_restored(self):
        await self.registry.announce(start(200), 1)
        await self.registry.leave("i-1")
        await self.registry.announce(start(100), 9)
        self.assertIsNone(self.member())
        await self.registry.announce(start(300), 1)
        self.assertEqual(300, self.member().backend.started_ms)

    async def test_heartbeat_without_start_time_does_not_replace_one_with_it(self):
        await self.registry.announce(start(100), 1)
        await self.registry.announce(backend(draining=True), 9)
        self.assertEqual(100, self.member().backend.started_ms)
        self.assertFalse(self.member().backend.draining)

    async def test_suspicion_of_the_former_incarnation_is_ignored(self):
        await self.registry.announce(start(100), 1)
        await self.registry.announce(start(200), 1)
        suspicion = wire.Suspect(agent_id="i-1", incarnation=100)
        self.registry.suspect(suspicion, source_role="entry")
        await self.clock.advance(0.5)
        self.assertEqual([], self.probed)

    async def test_probe_answered_by_a_later_incarnation_means_silent(self):
        await self.registry.announce(start(100), 1)
        self.replaced.add(("i-1:80", 100))
        suspicion = wire.Suspect(agent_id="i-1", incarnation=100)
        self.registry.suspect(suspicion, source_role="entry")
        await self.clock.advance(0)
        self.assertTrue(self.member().backend.silent)
        await self.registry.announce(start(200), 1)
        self.assertFalse(self.member().backend.silent)


class ForeignHeartbeatTest(RegistryCase):
    """Heartbeats of unconfigured senders must not add backend servers."""

    async def refused(self, each):
        try:
            await self.registry.announce(each, 1)
        except WigeonscaleError as exc:
            return exc.kind
        self.fail("it was acknowledged")

    async def test_unknown_service_is_refused(self):
        await self.registry.announce(backend(), 1)
        stranger = backend("i-2", address="i-1:80")
        stranger.service = "other"
        self.assertEqual(ErrorKind.BAD_REQUEST, await self.refused(stranger))
        self.assertIsNone(self.member("i-2"))
        self.assertIsNotNone(self.member("i-1"))

    async def test_member_of_a_removed_service_can_still_announce_draining(self):
        await self.registry.announce(backend(), 1)
        self.services.clear()
        await self.registry.announce(backend(draining=True), 2)
        self.assertTrue(self.member().backend.draining)

    async def test_new_backend_without_start_time_is_refused_if_others_have_one(self):
        await self.registry.announce(start(100), 1)
        self.assertEqual(ErrorKind.BAD_REQUEST, await self.refused(backend("i-2")))
        self.assertIsNone(self.member("i-2"))

    async def test_earlier_start_at_the_same_address_is_ignored(self):
        await self.registry.announce(start(200), 1)
        await self.registry.announce(start(100, "i-2", address="i-1:80"), 1)
        self.assertIsNone(self.member("i-2"))
        await self.registry.announce(start(300, "i-3", address="i-1:80"), 1)
        self.assertIsNone(self.member("i-1"))
        self.assertIsNotNone(self.member("i-3"))


class SlownessTest(RegistryCase):
    """Engines that become many times slower while their heartbeats continue."""

    async def hint(self):
        hint = wire.Suspect(agent_id="i-1", incarnation=1, is_hint=True)
        self.registry.suspect(hint, source_role="entry")
        await self.clock.advance(0)

    async def prepare(self):
        await super().prepare()
        await self.registry.announce(backend(), 1)
        self.answering.add("i-1:80")

    async def test_slowness_is_set_by_the_first_probe_and_kept(self):
        self.paces["i-1:80"] = 12.0
        await self.hint()
        self.assertEqual(16, self.member().backend.slowness)
        self.assertFalse(self.member().backend.silent)
        await self.registry.announce(backend(), 2)
        self.assertEqual(16, self.member().backend.slowness)

    async def test_slow_backend_is_probed_until_it_recovers(self):
        self.paces["i-1:80"] = 4.0
        await self.hint()
        await self.registry.announce(backend(), 2)
        self.paces["i-1:80"] = 1.0
        await self.clock.advance(1.5)
        self.assertEqual(0, self.member().backend.slowness)
        probes = len(self.probed)
        for sequence in range(3, 8):
            await self.registry.announce(backend(), sequence)
            await self.clock.advance(1.0)
        self.assertEqual(probes, len(self.probed))

    async def test_fluctuating_pace_costs_few_log_entries(self):
        before = len(self.replica.proposed)
        for pace in (3.7, 4.4, 3.9, 4.8, 3.3):
            self.paces["i-1:80"] = pace
            await self.clock.advance(1.1)
            await self.hint()
        self.assertEqual(1, len(self.replica.proposed) - before)

    async def test_restart_resets_slowness(self):
        await self.registry.announce(start(100, "i-2"), 1)
        self.answering.add("i-2:80")
        self.paces["i-2:80"] = 8.0
        hint = wire.Suspect(agent_id="i-2", incarnation=100, is_hint=True)
        self.registry.suspect(hint, source_role="entry")
        await self.clock.advance(0)
        self.assertEqual(8, self.member("i-2").backend.slowness)
        await self.registry.announce(start(200, "i-2"), 1)
        self.assertEqual(0, self.member("i-2").backend.slowness)
