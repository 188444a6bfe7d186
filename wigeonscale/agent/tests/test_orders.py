import dataclasses

from wigeonscale.agent import BackendState, OrderExecutor
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.pipelines.constants import LEAVING_GRACE_S
from wigeonscale.ports import EngineInfo
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire


def load_order(term, sequence, first=0, last=3, **fields):
    load = wire.LoadLayers(model="m", first_layer=first, last_layer=last, **fields)
    return wire.Order(order_id="o", term=term, sequence=sequence, load=load)


class BackendCase(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        # This engine ignores fencing tokens, so only the agent checks them.
        self.engine = FakeEngine(
            name="e", info=EngineInfo(model="m", checks_fencing=False)
        )
        self.changes = []
        self.floor = (3, 10)
        self.state = BackendState(
            base=wire.Backend(agent_id="a0"),
            engine=self.engine,
            clock=self.clock,
            probe_s=0.5,
            on_changed=lambda: self.changes.append(self.state.announcement()),
        )
        self.orders = self.new_executor()
        await self.state.probe()

    def new_executor(self):
        return OrderExecutor(
            state=self.state, engine=self.engine, floor=self.query_floor
        )

    async def query_floor(self):
        if self.floor is None:
            raise WigeonscaleError(ErrorKind.NO_QUORUM, "no majority")
        return self.floor

    async def execute(self, order, executor=None):
        result = await (executor or self.orders).execute(order)
        return result.done, result.kind


class OrderTest(BackendCase):
    async def test_load_is_executed_and_announced(self):
        self.assertEqual((True, ""), await self.execute(load_order(3, 10)))
        self.assertEqual([(3, 10, "load")], self.engine.orders)
        last = self.changes[-1]
        self.assertEqual((0, 3), (last.first_layer, last.last_layer))
        self.assertFalse(last.loading)
        self.assertTrue(any(change.loading for change in self.changes))

    async def test_nothing_counts_as_loaded_while_an_order_runs(self):
        await self.execute(load_order(3, 10))
        self.assertEqual(3, self.state.loaded().last_layer)
        seen = []
        order = self.engine.order

        async def watched_order(**kwargs):
            await order(**kwargs)
            seen.append(self.state.loaded())

        self.engine.order = watched_order
        await self.execute(load_order(3, 11, first=4, last=7))
        self.assertEqual([None], seen)
        self.assertEqual(7, self.state.loaded().last_layer)

    async def test_loaded_layers_are_not_loaded_again(self):
        await self.execute(load_order(3, 10))
        self.assertEqual((True, ""), await self.execute(load_order(3, 11)))
        self.assertEqual(1, len(self.engine.orders))
        await self.execute(load_order(3, 12, version="v2"))
        self.assertEqual(2, len(self.engine.orders))

    async def test_older_fencing_token_is_refused(self):
        await self.execute(load_order(4, 20))
        for number in ((4, 19), (3, 99)):
            self.assertEqual(
                (False, ErrorKind.STALE_TERM),
                await self.execute(load_order(*number, last=1)),
            )
        self.assertEqual([(4, 20, "load")], self.engine.orders)

    async def test_superseded_leader_is_refused_after_a_restart(self):
        # A new executor has no previous token and queries the majority for it.
        self.floor = (4, 20)
        stale = await self.execute(load_order(3, 99), self.new_executor())
        self.assertEqual((False, ErrorKind.STALE_TERM), stale)
        self.assertEqual([], self.engine.orders)

    async def test_order_is_refused_without_a_majority(self):
        self.floor = None
        refused = await self.execute(load_order(3, 99))
        self.assertEqual((False, ErrorKind.NO_QUORUM), refused)
        self.assertEqual([], self.engine.orders)
        self.floor = (3, 10)
        self.assertEqual((True, ""), await self.execute(load_order(3, 99)))

    async def test_drain_starts_and_ends(self):
        for number, draining in ((10, True), (11, False)):
            order = wire.Order(order_id="d", term=3, sequence=number, drain=draining)
            announced_before = len(self.changes)
            self.assertEqual((True, ""), await self.execute(order))
            self.assertEqual(draining, self.state.leaving)
            # Entries are notified by a load report.
            self.assertEqual(announced_before + 1, len(self.changes))
            # Control ordered the drain; announcing it back would make it permanent.
            self.assertFalse(self.state.announcement().draining)


class AnnouncementTest(BackendCase):
    async def test_engine_that_reports_leaving_is_announced(self):
        self.engine.state = dataclasses.replace(self.engine.state, leaving=True)
        await self.state.probe()
        self.assertTrue(self.changes[-1].draining)
        self.assertTrue(self.state.leaving)

    async def test_unreachable_engine_is_announced_without_layers(self):
        await self.execute(load_order(3, 10))
        self.engine.failing = True
        await self.state.probe()
        self.assertFalse(self.state.unreachable)
        await self.state.probe()
        last = self.changes[-1]
        self.assertEqual(
            (True, 0, -1), (last.draining, last.first_layer, last.last_layer)
        )
        self.engine.failing = False
        await self.state.probe()
        self.assertEqual(3, self.changes[-1].last_layer)

    async def test_unchanged_engine_is_not_announced_again(self):
        before = len(self.changes)
        await self.state.probe()
        self.assertEqual(before, len(self.changes))

    async def test_ended_incarnation_is_replaced_once(self):
        old = self.state.incarnation
        self.state.renew_incarnation(old)
        new = self.state.incarnation
        self.state.renew_incarnation(old)
        self.assertNotEqual(old, new)
        self.assertEqual([old, new], self.state.incarnations())
        self.assertEqual(new, self.changes[-1].incarnation)

    async def test_leaving_stage_accepts_sequences_only_for_grace_period(self):
        self.state.set_draining(True)
        self.state.check_sequence()
        await self.clock.advance(LEAVING_GRACE_S + 0.1)
        with self.assertRaises(WigeonscaleError):
            self.state.check_sequence()
        self.state.set_draining(False)
        self.state.check_sequence()
