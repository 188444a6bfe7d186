"""Tests of placement by the leader: planning, draining, upgrades, races."""

import asyncio
import threading
from unittest import mock

from wigeonscale.control import PlacementLoop, placement_loop
from wigeonscale.control.tests.support import ControlFixture
from wigeonscale.errors import ErrorKind
from wigeonscale.replication import Role
from wigeonscale.state.tests.support import DOCUMENT, chain, engine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

LIMIT_S = 30
DRAIN_S = 60.0
REBUILD_AFTER_S = 20.0


class PlacementTest(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        self.state = self.fixture.state
        self.lead()

    def lead(self, **options):
        """Start a placement loop."""
        loop = PlacementLoop(
            state=self.state,
            replica=self.fixture.replica,
            hub=self.fixture.hub,
            commands=self.fixture.commands,
            clock=self.fixture.clock,
            drain_s=DRAIN_S,
            **options,
        )
        task = asyncio.create_task(loop.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)
        self.stop = stop

    async def apply(self, document=DOCUMENT):
        base = self.state.configuration.revision
        config = wire.ApplyConfig(base_revision=base, document=document)
        await self.fixture.run(apply_config=config)

    async def until(self, condition):
        """Advance time until a condition holds; lets the planning thread run."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await self.fixture.clock.advance(0.05)
                await asyncio.sleep(0.001)

    async def settle(self):
        """Advance time by several planning intervals."""
        for _ in range(20):
            await self.fixture.clock.advance(0.25)
            await asyncio.sleep(0.001)

    def planned(self):
        return self.state.chains.planned()

    async def load_all(self):
        for each in self.planned():
            for stage in each.stages:
                layers = (stage.first_layer, stage.last_layer)
                await self.fixture.announce(
                    stage.agent_id, layers=layers, version=each.version
                )

    async def test_engines_form_a_chain(self):
        await self.apply()
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        (only,) = self.planned()
        self.assertEqual(("proof", "m"), (only.pipeline, only.model))
        await self.apply("")
        await self.until(lambda: not self.planned())

    async def test_pipeline_that_is_dropped_while_its_plan_is_computed(self):
        planning, proceed = threading.Event(), threading.Event()
        plan_placement = placement_loop.plan_placement

        def wait_for_change(**inputs):
            if inputs["pipelines"]:
                planning.set()
                proceed.wait(LIMIT_S)
            return plan_placement(**inputs)

        patch = mock.patch.object(placement_loop, "plan_placement", wait_for_change)
        patch.start()
        self.addCleanup(patch.stop)
        self.addCleanup(proceed.set)
        await self.apply()
        await self.fixture.announce("a")
        await self.until(planning.is_set)
        await self.apply("")
        proceed.set()
        await self.settle()
        self.assertEqual([], self.planned())
        await self.apply()
        await self.until(lambda: len(self.planned()) == 1)

    async def test_engine_with_an_implausible_rate_does_not_stop_planning(self):
        await self.apply()
        backend = engine("b")
        backend.layer_rate, backend.link_rate = 1e300, 1e-300
        await self.fixture.run(announce=wire.Announce(backend=backend, replica="c1"))
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        self.assertEqual(["a"], self.stages())

    async def test_engines_that_join_later_form_a_second_replica(self):
        wanted = "layers = 12\nreplicas = {}"
        await self.apply(DOCUMENT.replace("layers = 4", wanted.format(1)))
        for agent_id in "abcd":
            await self.fixture.announce(agent_id)
        await self.until(lambda: len(self.stages()) == 4)
        await self.load_all()
        (before,) = self.planned()
        await self.apply(DOCUMENT.replace("layers = 4", wanted.format(2)))
        for agent_id in "ef":
            await self.fixture.announce(agent_id)
        await self.until(lambda: len(self.planned()) == 2)
        kept = self.state.chains.get(before.chain_id)
        self.assertEqual(before.epoch + 1, kept.epoch)
        self.assertEqual(before.stages[0].agent_id, kept.stages[0].agent_id)
        await self.load_all()
        self.assertTrue(all(each.ready for each in self.state.chains))

    async def test_engines_that_join_later_improve_one_chain_at_a_time(self):
        await self.stop()
        self.lead(rebuild_after_s=REBUILD_AFTER_S)
        wanted = "layers = 12\nreplicas = 2"
        for agent_id in "abcdef":
            await self.fixture.announce(agent_id)
        await self.apply(DOCUMENT.replace("layers = 4", wanted))
        await self.until(lambda: len(self.planned()) == 2)
        await self.load_all()
        before = self.planned()
        for agent_id in "ghijkl":
            await self.fixture.announce(agent_id)
        await self.settle()
        self.assertEqual(before, self.planned())
        await self.fixture.clock.advance(REBUILD_AFTER_S)
        await self.until(lambda: before != self.planned())
        await self.settle()
        self.assertEqual([1, 2], sorted(each.epoch for each in self.planned()))
        await self.load_all()
        await self.until(lambda: all(each.epoch == 2 for each in self.planned()))
        await self.load_all()
        self.assertTrue(all(each.ready for each in self.state.chains))
        for old, new in zip(before, self.planned(), strict=True):
            self.assertEqual(old.chain_id, new.chain_id)
            self.assertEqual(old.stages[0].agent_id, new.stages[0].agent_id)
            self.assertGreaterEqual(new.rate, 1.25 * old.rate)

    async def test_spares_are_kept_out_of_chains(self):
        await self.stop()
        self.lead(spares=1)
        for agent_id in "ab":
            await self.fixture.announce(agent_id, layer_capacity=4)
        await self.fixture.announce("c", layer_capacity=3)
        await self.apply()
        await self.until(lambda: self.planned())
        self.assertEqual(2, len(self.stages()))
        self.assertIn("c", self.stages())

    async def test_retiring_chain_drains_before_its_engines_are_reused(self):
        two = DOCUMENT.replace("layers = 4", "layers = 4\nreplicas = 2")
        await self.apply(two)
        await self.fixture.announce("a")
        await self.fixture.announce("b")
        await self.until(lambda: len(self.planned()) == 2)
        await self.load_all()
        other = "[pipeline other]\nmodel = m\nlayers = 4\n\n"
        await self.apply(other + DOCUMENT)
        await self.until(lambda: any(each.retiring for each in self.planned()))
        await self.settle()
        self.assertEqual(["proof", "proof"], [c.pipeline for c in self.planned()])
        self.assertEqual([False, True], sorted(c.retiring for c in self.planned()))
        await self.fixture.clock.advance(DRAIN_S)
        await self.until(lambda: {"other"} < {c.pipeline for c in self.planned()})
        self.assertEqual([False, False], [c.retiring for c in self.planned()])

    async def test_retiring_chain_that_breaks_is_removed_at_once(self):
        await self.apply()
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        await self.load_all()
        await self.apply("")
        await self.until(lambda: any(each.retiring for each in self.planned()))
        end = wire.EndIncarnation(agent_id="a", incarnation=1)
        await self.fixture.run(end_incarnation=end)
        await self.until(lambda: not self.planned())

    async def test_only_a_fresh_leader_places_chains(self):
        self.fixture.replica.role = Role.FOLLOWER
        await self.apply_as_leader()
        await self.settle()
        self.assertEqual([], self.planned())
        tried = {"command": "place", "kind": ErrorKind.NOT_LEADER}
        self.assertEqual(0, self.fixture.metrics.commands.value(**tried))
        self.fixture.replica.role = Role.LEADER
        self.fixture.replica.stale_s = None
        await self.settle()
        self.assertEqual([], self.planned())
        self.fixture.replica.stale_s = 0.0
        await self.until(lambda: len(self.planned()) == 1)

    async def apply_as_leader(self):
        self.fixture.replica.role = Role.LEADER
        await self.apply()
        await self.fixture.announce("a")
        self.fixture.replica.role = Role.FOLLOWER

    async def test_lost_stage_gets_a_spare(self):
        await self.apply()
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        await self.fixture.announce("s")
        end = wire.EndIncarnation(agent_id="a", incarnation=1)
        await self.fixture.run(end_incarnation=end)
        await self.until(lambda: self.stages() == ["s"])

    def stages(self):
        return [s.agent_id for each in self.planned() for s in each.stages]

    async def test_draining_stage_stays_until_its_spare_is_loaded(self):
        await self.apply()
        await self.start_chain_of_two()
        await self.fixture.announce("s", address="spare")
        drain = wire.DrainBackend(agent_id="b", draining=True)
        await self.fixture.run(drain=drain)
        await self.until(lambda: self.stages() == ["a", "s"])
        (only,) = self.state.chains
        self.assertEqual((1, True), (only.epoch, only.ready))
        await self.load_all()
        (only,) = self.state.chains
        self.assertEqual((2, True), (only.epoch, only.ready))
        await self.settle()
        self.assertEqual(["a", "s"], self.stages())

    async def start_chain_of_two(self):
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        await self.fixture.announce("b")
        old = self.planned()[0].chain_id
        place = wire.PlaceChains(
            chains=[chain("proof-two", 1, ("a", 0, 1), ("b", 2, 3))],
            removed=[old],
            base_index=self.state.placement_index,
        )
        result = await self.fixture.run(place=place)
        self.assertEqual("", result.kind)
        await self.load_all()

    async def test_draining_head_stays(self):
        await self.apply()
        await self.start_chain_of_two()
        await self.fixture.announce("s", layer_capacity=2)
        await self.fixture.run(drain=wire.DrainBackend(agent_id="a", draining=True))
        await self.settle()
        self.assertEqual(["a", "b"], self.stages())

    async def test_new_version_is_loaded_one_chain_at_a_time(self):
        document = DOCUMENT.replace("layers = 4", "layers = 4\nreplicas = 2")
        await self.apply(document)
        await self.fixture.announce("a")
        await self.fixture.announce("b")
        await self.until(lambda: len(self.planned()) == 2)
        await self.load_all()
        upgraded = document.replace("layers = 4", "layers = 4\nversion = v2")
        await self.apply(upgraded)
        await self.until(lambda: "v2" in self.versions())
        await self.settle()
        self.assertEqual(["", "v2"], sorted(self.versions()))
        await self.load_all()
        await self.until(lambda: self.versions() == ["v2", "v2"])

    def versions(self):
        return [each.version for each in self.planned()]

    async def test_engine_that_does_not_answer_its_agent_is_replaced(self):
        await self.apply()
        await self.fixture.announce("a")
        await self.until(lambda: len(self.planned()) == 1)
        unresponsive = wire.Backend(
            agent_id="a", incarnation=1, kind=wire.ENGINE, model="m"
        )
        await self.fixture.run(
            announce=wire.Announce(backend=unresponsive, replica="c1")
        )
        await self.fixture.announce("s")
        await self.until(lambda: self.stages() == ["s"])

    async def test_refused_plan_is_retried(self):
        await self.apply()
        self.fixture.replica.fails = "no quorum"
        await self.announce_despite_failure("a")
        await self.settle()
        self.assertEqual([], self.planned())
        self.fixture.replica.fails = None
        await self.until(lambda: len(self.planned()) == 1)

    async def announce_despite_failure(self, agent_id):
        failure, self.fixture.replica.fails = self.fixture.replica.fails, None
        await self.fixture.announce(agent_id)
        self.fixture.replica.fails = failure
