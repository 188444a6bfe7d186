from dataclasses import replace

from wigeonscale.control import Watcher
from wigeonscale.control.load_aggregator import LoadAggregator
from wigeonscale.daemons.load_exchange import apply_load_totals, build_load_report
from wigeonscale.direct.tests.support import MODEL, EntryHarness
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class ClassExchangeTest(AsyncTestCase):
    """Demand by class on its way from the entries over control to the entries."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.entries = [
            EntryHarness(clock=self.clock, name=name, domain=domain, entry_count=3)
            for name, domain in (("one", "a"), ("two", "a"), ("three", "b"))
        ]
        self.watchers = [
            Watcher(hello=wire.Hello(node_id=str(n), role="entry"), clock=self.clock)
            for n in range(len(self.entries))
        ]
        self.load_aggregator = LoadAggregator(watchers=self.watchers, clock=self.clock)

    def job(self, entry, priority):
        job = entry.job(service=MODEL)
        return replace(job, route=replace(job.route, priority=priority))

    def exchange(self, *, without_classes=()):
        """Exchange the loads once; the named messages are those of an old version."""
        for number, (entry, watcher) in enumerate(
            zip(self.entries, self.watchers, strict=True)
        ):
            watcher.loads = build_load_report(entry.ctx)
            if number in without_classes:
                watcher.loads.ClearField("classes")
        totals = self.load_aggregator.total()
        if "control" in without_classes:
            totals.ClearField("classes")
        for entry in self.entries:
            apply_load_totals(
                entry.ctx, wire.Loads.FromString(totals.SerializeToString())
            )

    def arrived(self, domain, entry=0):
        demand = self.entries[entry].ctx.class_demand.demand("model", domain, 3)
        return {count.priority: count.arrived for count in demand}

    def test_all_entries_get_the_same_totals(self):
        """Guards against fields that are lost or mixed up on the way."""
        for entry in self.entries:
            tracker = entry.ctx.class_demand
            for priority in (0, 0, 2):
                tracker.note_arrived(self.job(entry, priority))
            tracker.note_admitted(self.job(entry, 0))
            tracker.note_waiting(self.job(entry, 2), +1)
            tracker.note_rejected(self.job(entry, 2), 1.0)
            tracker.note_released(self.job(entry, 0))
        self.exchange()
        for entry in range(3):
            self.assertEqual({0: 4, 2: 2}, self.arrived("a", entry))
            self.assertEqual({0: 2, 2: 1}, self.arrived("b", entry))
        urgent, other = self.entries[2].ctx.class_demand.demand("model", "a", 3)
        self.assertEqual((2, 2), (urgent.admitted, urgent.released))
        self.assertEqual((2, 2, 2), (other.waiting, other.rejected, other.returning))

    def test_no_classes_without_demand(self):
        """Guards against messages for services without traffic classes."""
        self.exchange()
        self.assertEqual(0, len(build_load_report(self.entries[0].ctx).classes))
        self.assertEqual(0, len(self.load_aggregator.total().classes))

    def test_entry_of_an_old_version(self):
        """Guards against a failure in a deployment of mixed versions."""
        for entry in self.entries:
            entry.ctx.class_demand.note_arrived(self.job(entry, 0))
        self.exchange(without_classes={1})
        self.assertEqual({0: 1}, self.arrived("a"))

    def test_control_of_an_old_version(self):
        """Guards against a reserve from missing totals."""
        for entry in self.entries:
            entry.ctx.class_demand.note_arrived(self.job(entry, 0))
            entry.ctx.class_demand.note_waiting(self.job(entry, 0), +1)
        self.exchange(without_classes={"control"})
        self.assertEqual({}, self.arrived("a"))
        share = self.entries[0].ctx.class_demand.reserve(
            "model", "a", 2, entry_count=3, running=lambda: 9.0
        )
        self.assertEqual(0.0, share)

    def note_interrupted(self):
        """Let five streams of the first entry, in domain a, wait for room."""
        tracker = self.entries[0].ctx.class_demand
        for _ in range(5):
            tracker.note_arrived(self.job(self.entries[0], 2), is_interrupted=True)
            tracker.note_waiting(self.job(self.entries[0], 2), +1, is_interrupted=True)
        tracker.note_admitted(self.job(self.entries[0], 2), is_interrupted=True)
        # Totals name a failure domain once one of its entries has demand.
        self.entries[2].ctx.class_demand.note_arrived(self.job(self.entries[2], 0))
        self.entries[2].ctx.class_demand.note_admitted(self.job(self.entries[2], 0))

    def reserve(self, entry, domain, priority=0):
        return self.entries[entry].ctx.class_demand.reserve(
            "model", domain, priority, entry_count=3, running=lambda: 9.0
        )

    def test_interrupted_streams(self):
        """Guards against a negative priority that is lost on the way.

        All entries leave room to the streams, in all failure domains, also for new
        requests of the most urgent class.
        """
        self.note_interrupted()
        report = build_load_report(self.entries[0].ctx)
        (sent,) = report.classes
        fields = (sent.priority, sent.domain, sent.arrived, sent.waiting, sent.admitted)
        self.assertEqual((-1, "a", 5, 5, 1), fields)
        self.exchange()
        for entry in range(3):
            for domain in "ab":
                demand = self.entries[entry].ctx.class_demand.demand("model", domain, 3)
                count = demand[0]
                self.assertEqual((-1, domain), (count.priority, count.domain))
                self.assertEqual(
                    (3, 1, 3), (count.arrived, count.admitted, count.waiting)
                )
                self.assertEqual(0.15, self.reserve(entry, domain))

    def test_interrupted_streams_with_control_of_an_old_version(self):
        """Guards against a reserve, or a failure, without totals by class."""
        self.note_interrupted()
        self.exchange(without_classes={"control"})
        self.assertEqual({}, self.arrived("a"))
        self.assertEqual(0.0, self.reserve(0, "a"))
        self.assertEqual(0.0, self.reserve(2, "b"))

    async def test_interrupted_streams_with_outdated_totals(self):
        """Guards against an entry that is cut off and forgets its own streams."""
        self.exchange()
        await self.clock.advance(3.0)
        self.note_interrupted()
        self.assertTrue(self.reserve(0, "a") > 0.0)
        self.assertEqual(0.0, self.reserve(1, "a"))
