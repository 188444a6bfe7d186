"""Tests of members and chains in the control state."""

from wigeonscale.errors import ErrorKind
from wigeonscale.state.tests.support import Machine, chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class MembersCase(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()
        self.members = self.machine.state.members

    def end(self, agent_id, incarnation, replica=""):
        end = wire.EndIncarnation(
            agent_id=agent_id, incarnation=incarnation, replica=replica
        )
        return self.machine.run(end_incarnation=end)


class MembersTest(MembersCase):
    def test_ended_incarnation_cannot_announce_again(self):
        self.machine.announce("a", 1)
        self.end("a", 1)
        result = self.machine.announce("a", 1)
        self.assertEqual(ErrorKind.STALE_INCARNATION, result.kind)
        self.assertIsNone(self.members.get("a"))

    def test_new_incarnation_ends_the_one_before(self):
        self.machine.announce("a", 1)
        self.machine.announce("a", 2)
        result = self.machine.announce("a", 1)
        self.assertEqual(ErrorKind.STALE_INCARNATION, result.kind)
        self.assertTrue(self.members.is_announced("a", 2))

    def test_previous_replica_cannot_end_an_agent_that_moved(self):
        self.machine.announce("a", 1, replica="c1")
        self.machine.announce("a", 1, replica="c2")
        result = self.end("a", 1, replica="c1")
        self.assertEqual(ErrorKind.REVISION_CONFLICT, result.kind)
        self.assertTrue(self.members.is_announced("a", 1))
        self.assertEqual([], self.members.attached_to("c1"))
        self.end("a", 1, replica="c2")
        self.assertFalse(self.members.is_announced("a", 1))
        self.assertEqual([], self.members.replicas())

    def test_invalid_announcement_is_refused(self):
        for agent_id, incarnation in (("", 1), ("a", 0)):
            result = self.machine.announce(agent_id, incarnation)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)
        backend = wire.Backend(agent_id="a", incarnation=1, link_rate=float("nan"))
        result = self.machine.run(announce=wire.Announce(backend=backend))
        self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)

    def test_operator_drain_persists_over_a_restart(self):
        self.machine.announce("a", 1)
        self.machine.run(drain=wire.DrainBackend(agent_id="a", draining=True))
        self.machine.announce("a", 2)
        self.assertTrue(self.members.effective("a").draining)
        self.machine.run(drain=wire.DrainBackend(agent_id="a", draining=False))
        self.assertFalse(self.members.effective("a").draining)

    def test_drain_of_an_unknown_server_is_refused(self):
        result = self.machine.run(drain=wire.DrainBackend(agent_id="x", draining=True))
        self.assertEqual(ErrorKind.NOT_FOUND, result.kind)


class ChainsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()
        self.chains = self.machine.state.chains
        for agent_id in ("a", "b", "s"):
            self.machine.announce(agent_id)
        self.changes = []
        self.machine.state.changes.subscribe(self.changes.append)

    def place_ready(self):
        self.machine.place(chain("c", 1, ("a", 0, 1), ("b", 2, 3)))
        self.machine.announce("a", layers=(0, 1))
        self.machine.announce("b", layers=(2, 3))
        self.assertTrue(self.chains.get("c").ready)

    def test_ready_once_every_stage_is_loaded(self):
        self.machine.place(chain("c", 1, ("a", 0, 1), ("b", 2, 3), ready=True))
        self.assertFalse(self.chains.get("c").ready)
        self.machine.announce("a", layers=(0, 1))
        self.assertFalse(self.chains.get("c").ready)
        self.machine.announce("b", layers=(2, 3))
        self.assertTrue(self.chains.get("c").ready)
        self.assertEqual({"c"}, self.changes[-1].chains)
        self.machine.announce("b", layers=(1, 3))
        self.assertFalse(self.chains.get("c").ready)

    def test_version_and_adapter_must_match(self):
        wanted = chain("c", 1, ("a", 0, 3), version="v2", adapter="x")
        self.machine.place(wanted)
        self.machine.announce("a", layers=(0, 3), version="v1", adapters=["x"])
        self.assertFalse(self.chains.get("c").ready)
        self.machine.announce("a", layers=(0, 3), version="v2")
        self.assertFalse(self.chains.get("c").ready)
        self.machine.announce("a", layers=(0, 3), version="v2", adapters=["x"])
        self.assertTrue(self.chains.get("c").ready)

    def test_restarted_stage_makes_the_chain_unready(self):
        self.place_ready()
        self.machine.announce("b", 2, layers=(2, 3))
        self.assertFalse(self.chains.get("c").ready)

    def test_successor_waits_until_it_is_ready(self):
        self.place_ready()
        self.machine.place(chain("c", 2, ("a", 0, 1), ("s", 2, 3)))
        self.assertEqual(1, self.chains.get("c").epoch)
        self.assertEqual([2], [each.epoch for each in self.chains.planned()])
        self.machine.announce("s", layers=(2, 3))
        self.assertEqual((2, True), self.epoch_and_ready())

    def test_successor_becomes_active_when_the_chain_breaks(self):
        self.place_ready()
        self.machine.place(chain("c", 2, ("a", 0, 1), ("s", 2, 3)))
        end = wire.EndIncarnation(agent_id="b", incarnation=1)
        self.machine.run(end_incarnation=end)
        self.assertEqual((2, False), self.epoch_and_ready())

    def test_successor_that_reloads_an_engine_becomes_active_at_once(self):
        self.place_ready()
        self.machine.place(chain("c", 2, ("a", 0, 0), ("s", 1, 3)))
        self.assertEqual((2, False), self.epoch_and_ready())

    def epoch_and_ready(self):
        return self.chains.get("c").epoch, self.chains.get("c").ready

    def test_invalid_plan_is_refused_atomically(self):
        self.place_ready()
        self.machine.place(removed=["gone"])
        good = chain("d", 1, ("s", 0, 3))
        cases = {
            "an agent of another chain": chain("e", 1, ("a", 0, 3)),
            "an agent of the same plan": chain("e", 1, ("s", 0, 3)),
            "unknown agent": chain("e", 1, ("nobody", 0, 3)),
            "a gap": chain("e", 1, ("a", 1, 3)),
            "a repeated layer": chain("c", 2, ("a", 0, 2), ("b", 2, 3)),
            "no newer epoch": chain("c", 1, ("a", 0, 1), ("b", 2, 3)),
            "no stages": chain("e", 1),
        }
        before = self.machine.state.snapshot()
        for name, bad in cases.items():
            result = self.machine.place(good, bad)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind, name)
            self.assertIsNone(self.chains.get("d"), name)
            self.assertEqual(1, self.chains.get("c").epoch, name)
        self.assertEqual(len(before), len(self.machine.state.snapshot()))

    def test_removed_id_is_not_reused(self):
        self.place_ready()
        self.machine.place(removed=["c"])
        self.assertIsNone(self.chains.get("c"))
        result = self.machine.place(chain("c", 9, ("a", 0, 1), ("b", 2, 3)))
        self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)

    def test_ready_retired_chain_is_kept_until_it_breaks(self):
        self.place_ready()
        self.machine.place(chain("c", 2, ("a", 0, 1), ("s", 2, 3)))
        self.machine.run(wall_ms=7000, place=self.retiring("c"))
        kept = self.chains.get("c")
        self.assertEqual((1, True, True), (kept.epoch, kept.ready, kept.retiring))
        self.assertEqual(7000, kept.retired_ms)
        self.assertEqual([1], [each.epoch for each in self.chains.planned()])
        self.machine.run(wall_ms=9000, place=self.retiring("c"))
        self.assertEqual(7000, self.chains.get("c").retired_ms)
        for bad in (
            chain("c", 3, ("a", 0, 1), ("s", 2, 3)),
            chain("d", 1, ("a", 0, 3)),
        ):
            result = self.machine.place(bad)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)
        self.machine.announce("b", layers=(0, 0))
        self.assertTrue(self.chains.get("c").retiring)
        result = self.machine.place(chain("d", 1, ("a", 0, 3)), retired=["c"])
        self.assertEqual("", result.kind)
        self.assertIsNone(self.chains.get("c"))

    def retiring(self, chain_id):
        base = self.machine.state.placement_index
        return wire.PlaceChains(retired=[chain_id], base_index=base)

    def test_plan_based_on_an_older_placement_is_refused(self):
        base = self.machine.state.placement_index
        self.machine.place(chain("c", 1, ("a", 0, 3)), base=base)
        result = self.machine.place(chain("d", 1, ("b", 0, 3)), base=base)
        self.assertEqual(ErrorKind.REVISION_CONFLICT, result.kind)
        self.assertIsNone(self.chains.get("d"))


class RestartTest(MembersCase):
    """Incarnations that report their start time."""

    def start(self, started_ms, name="a", **fields):
        backend = wire.Backend(
            agent_id=name, incarnation=started_ms, started_ms=started_ms, **fields
        )
        return self.machine.run(announce=wire.Announce(backend=backend, sequence=1))

    def test_later_start_wins_in_any_order(self):
        other = Machine()
        self.start(100)
        self.start(200)
        first, self.machine = self.machine, other
        self.start(200)
        result = self.start(100)
        self.assertEqual(ErrorKind.STALE_INCARNATION, result.kind)
        for machine in (first, other):
            self.assertTrue(machine.state.members.is_announced("a", 200))

    def test_snapshot_without_start_times_is_restored(self):
        self.machine.announce("a", 1)
        self.machine.announce("b", 1)
        self.end("b", 1)
        old = wire.StateSnapshot.FromString(self.machine.state.snapshot())
        for member in old.members:
            self.assertEqual(0, member.backend.started_ms)
        restored = Machine()
        restored.state.restore(old.SerializeToString())
        self.machine = restored
        self.members = restored.state.members
        self.start(100)
        self.assertTrue(self.members.is_announced("a", 100))
        self.start(100, "b")
        self.assertTrue(self.members.is_announced("b", 100))

    def test_snapshot_keeps_ended_starts(self):
        self.start(200)
        self.end("a", 200)
        restored = Machine()
        restored.state.restore(self.machine.state.snapshot())
        self.machine = restored
        self.assertEqual(ErrorKind.STALE_INCARNATION, self.start(150).kind)
        self.assertEqual("", self.start(250).kind)

    def test_end_without_an_incarnation_ends_the_announced_one(self):
        self.start(100)
        self.end("a", 0)
        self.assertIsNone(self.members.get("a"))

    def test_end_of_a_later_start_ends_the_announced_one(self):
        self.start(100)
        self.end("a", 200)
        self.assertIsNone(self.members.get("a"))

    def test_earlier_start_cannot_replace_a_later_one_at_its_address(self):
        self.start(200, address="x:80")
        result = self.start(100, "b", address="x:80")
        self.assertEqual(ErrorKind.STALE_INCARNATION, result.kind)
        self.assertTrue(self.members.is_announced("a", 200))


class _NoIterationDict(dict):
    """A dict that fails when its values are iterated over."""

    def values(self):
        raise AssertionError("iterated over all members")


class AddressTest(MembersCase):
    def backend(self, name, address):
        return wire.Backend(agent_id=name, incarnation=1, address=address)

    def put(self, name, address):
        self.members.put(self.backend(name, address), "c1")

    def test_other_members_at_an_address(self):
        self.put("a", "x:1")
        self.put("b", "x:1")
        self.put("c", "x:2")
        self.put("d", "")
        at_one = self.members.others_at_address(self.backend("a", "x:1"))
        self.assertEqual([("b", 1)], at_one)
        self.assertEqual([], self.members.others_at_address(self.backend("e", "")))

    def test_moved_or_ended_member_is_not_at_its_old_address(self):
        self.put("a", "x:1")
        self.put("a", "x:2")
        self.put("b", "x:2")
        self.assertEqual([], self.members.others_at_address(self.backend("c", "x:1")))
        self.members.end("a", 1)
        at_two = self.members.others_at_address(self.backend("c", "x:2"))
        self.assertEqual([("b", 1)], at_two)

    def test_snapshot_keeps_addresses(self):
        self.put("a", "x:1")
        snapshot = wire.StateSnapshot()
        self.members.save(snapshot)
        self.put("b", "x:1")
        self.members.load(snapshot)
        at_one = self.members.others_at_address(self.backend("c", "x:1"))
        self.assertEqual([("a", 1)], at_one)

    def test_announcement_does_not_iterate_over_all_members(self):
        # Each replica applies thousands of announcements per heartbeat.
        self.put("a", "x:1")
        self.members._members = _NoIterationDict(self.members._members)
        self.assertIsNone(self.members.announcement_error(self.backend("b", "x:2")))
        self.put("b", "x:2")
