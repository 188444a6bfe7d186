from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.control import Watcher
from wigeonscale.control.load_aggregator import CLASS_COUNTS, LoadAggregator
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


def loads(**running):
    return wire.Loads(
        loads=[
            wire.Load(backend_id=name, running=count, token_layers=10 * count)
            for name, count in running.items()
        ]
    )


def demands(**requests):
    return [wire.Demand(entry=name, requests=count) for name, count in requests.items()]


def shown(board_loads):
    return {each.backend_id: each.running for each in board_loads.loads}


class LoadAggregatorTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.watchers = set()
        self.load_aggregator = LoadAggregator(watchers=self.watchers, clock=self.clock)

    def attach(self, name, reported):
        watcher = Watcher(
            hello=wire.Hello(node_id=name, role="entry"), clock=self.clock
        )
        watcher.loads = reported
        self.watchers.add(watcher)

    def test_local_total_sums_attached_entries(self):
        self.attach("one", loads(a=2, b=1))
        self.attach("two", loads(a=3))
        self.attach("agent", None)
        self.assertEqual({"a": 5, "b": 1}, shown(self.load_aggregator.local_total()))
        self.assertEqual(
            [50, 10], [x.token_layers for x in self.load_aggregator.local_total().loads]
        )

    def test_total_includes_other_replicas(self):
        self.attach("one", loads(a=2))
        self.load_aggregator.receive("c2", loads(a=1, b=4).SerializeToString())
        self.load_aggregator.receive("c3", loads(b=1).SerializeToString())
        self.assertEqual({"a": 3, "b": 5}, shown(self.load_aggregator.total()))
        # A replica's own report is not sent back to it.
        self.assertEqual(
            {"a": 2, "b": 1}, shown(self.load_aggregator.total(exclude="c2"))
        )

    def test_sends_of_all_entries_add_up_by_service(self):
        sends = wire.ServiceSends(service="s", requests=20, further=3)
        self.attach("one", wire.Loads(sends=[sends]))
        self.attach("two", wire.Loads(sends=[sends]))
        self.load_aggregator.receive(
            "c2", wire.Loads(sends=[sends]).SerializeToString()
        )
        (total,) = self.load_aggregator.total().sends
        self.assertEqual(("s", 60, 9), (total.service, total.requests, total.further))

    async def test_ages_of_reports_grow_on_their_way(self):
        self.attach("one", wire.Loads(tellers=1, report_ages=[1]))
        # An entry of an older version does not send the ages.
        self.attach("two", wire.Loads(tellers=1))
        await self.clock.advance(0.3)
        self.load_aggregator.receive(
            "c2", wire.Loads(tellers=2, report_ages=[0, 2]).SerializeToString()
        )
        await self.clock.advance(0.2)
        total = self.load_aggregator.total()
        self.assertEqual(4, total.tellers)
        self.assertEqual([0, 0, 0, 2, 0, 1], list(total.report_ages))

    def test_reporting_entries_are_counted(self):
        self.attach("one", wire.Loads(tellers=1))
        self.attach("two", wire.Loads(tellers=1))
        self.load_aggregator.receive("c2", wire.Loads(tellers=5).SerializeToString())
        self.assertEqual(7, self.load_aggregator.total().tellers)

    async def test_newest_answer_decides_a_limit(self):
        reported = wire.NamedLimit(
            backend_id="a", per_s=2, age_ms=900, demands=demands(one=3)
        )
        self.attach("one", wire.Loads(limits=[reported]))
        await self.clock.advance(0.5)
        ended = wire.NamedLimit(backend_id="a", age_ms=1300, demands=demands(two=1))
        self.load_aggregator.receive(
            "c2", wire.Loads(limits=[ended]).SerializeToString()
        )
        (limit,) = self.load_aggregator.total().limits
        self.assertEqual(demands(one=3, two=1), list(limit.demands))
        self.assertEqual((False, 1300), (limit.HasField("per_s"), limit.age_ms))
        # A report without an age comes from an entry that got no answer itself, so that
        # only its demand counts.
        wanted = wire.NamedLimit(backend_id="a", per_s=9, demands=demands(three=2))
        self.attach("three", wire.Loads(limits=[wanted]))
        (limit,) = self.load_aggregator.total().limits
        self.assertEqual(demands(one=3, three=2, two=1), list(limit.demands))
        self.assertFalse(limit.HasField("per_s"))

    def test_only_entries_that_share_a_limit_are_listed(self):
        for number in range(300):
            limit = wire.NamedLimit(
                backend_id="a",
                per_s=2,
                age_ms=0,
                demands=demands(**{f"entry-{number}": 3}),
            )
            self.attach(f"entry-{number}", wire.Loads(limits=[limit]))
        (total,) = self.load_aggregator.total().limits
        self.assertEqual(5, len(total.demands))

    async def test_outdated_loads_are_ignored(self):
        self.attach("one", loads(a=2))
        self.load_aggregator.receive("c2", loads(a=1).SerializeToString())
        await self.clock.advance(3)
        self.assertEqual({}, shown(self.load_aggregator.total()))

    def test_only_the_newest_report_of_a_replica_counts(self):
        for count in (5, 1):
            self.load_aggregator.receive("c2", loads(a=count).SerializeToString())
        self.assertEqual({"a": 1}, shown(self.load_aggregator.total()))

    def test_unparsable_report_is_ignored(self):
        self.load_aggregator.receive("c2", b"\xff\xff")
        self.assertEqual({}, shown(self.load_aggregator.total()))

    def test_dropped_replicas_do_not_count(self):
        self.load_aggregator.receive("c2", loads(a=1).SerializeToString())
        self.load_aggregator.retain([])
        self.assertEqual({}, shown(self.load_aggregator.total()))

    def test_demand_of_classes_adds_up(self):
        """Guards against mixing services, priorities or failure domains."""
        fields = dict(zip(CLASS_COUNTS, range(1, 7), strict=True))
        urgent = wire.ClassDemand(service="s", domain="a", **fields)
        others = [
            wire.ClassDemand(service="s", priority=2, domain="a", arrived=1),
            wire.ClassDemand(service="s", domain="b", arrived=1),
            wire.ClassDemand(service="t", domain="a", arrived=1),
        ]
        self.attach("one", wire.Loads(classes=[urgent, *others]))
        self.attach("two", wire.Loads(classes=[urgent]))
        reported = wire.Loads(classes=[urgent])
        self.load_aggregator.receive("c2", reported.SerializeToString())
        total, *rest = self.load_aggregator.total().classes
        self.assertEqual(("s", 0, "a"), (total.service, total.priority, total.domain))
        self.assertEqual(
            [3, 6, 9, 12, 15, 18], [getattr(total, name) for name in CLASS_COUNTS]
        )
        self.assertEqual(others, rest)
        # A count that is added to the message has to be summed, too.
        self.assertEqual(3 + len(CLASS_COUNTS), len(wire.ClassDemand.DESCRIPTOR.fields))

    async def test_classes_of_old_and_outdated_entries(self):
        """Guards against a failure, or demand that lasts, when entries report none."""
        demand = wire.ClassDemand(service="s", domain="a", waiting=4)
        self.attach("old", loads(a=2))
        self.attach("new", wire.Loads(classes=[demand]))
        self.assertEqual([demand], list(self.load_aggregator.total().classes))
        await self.clock.advance(3)
        self.assertEqual([], list(self.load_aggregator.total().classes))

    def test_size_of_the_totals(self):
        """Guards against totals that grow with the number of entries."""
        for number in range(300):
            classes = [
                wire.ClassDemand(
                    service="model",
                    priority=priority,
                    domain=f"domain-{number % 3}",
                    arrived=9,
                    admitted=9,
                    rejected=9,
                    waiting=9,
                    released=9,
                    returning=9,
                )
                for priority in range(3)
            ]
            self.attach(f"entry-{number}", wire.Loads(classes=classes))
        total = self.load_aggregator.total()
        self.assertEqual(9, len(total.classes))
        self.assertTrue(total.ByteSize() < 2000, total.ByteSize())


INT32 = st.one_of(st.sampled_from((-(2**31), -1, 0, 2**31 - 1)), st.integers(0, 50))
INT64 = st.one_of(INT32, st.sampled_from((-(2**63), 2**63 - 1)))
NAMES = st.sampled_from(("a", "b"))
NAMED_LIMITS = st.builds(
    wire.NamedLimit,
    backend_id=NAMES,
    per_s=st.one_of(
        st.none(),
        st.sampled_from((0.0, -1.0, 3.0, 1e308, float("inf"), float("nan"))),
    ),
    age_ms=st.one_of(st.none(), INT64),
    demands=st.lists(st.builds(wire.Demand, entry=NAMES, requests=INT32), max_size=1),
)
LOADS = st.builds(
    wire.Loads,
    loads=st.lists(
        st.builds(wire.Load, backend_id=NAMES, running=INT32, token_layers=INT64),
        max_size=1,
    ),
    sends=st.lists(
        st.builds(wire.ServiceSends, service=NAMES, requests=INT32, further=INT32),
        max_size=1,
    ),
    limits=st.lists(NAMED_LIMITS, max_size=1),
    tellers=INT32,
    classes=st.lists(
        st.builds(
            wire.ClassDemand,
            service=NAMES,
            priority=INT32,
            domain=NAMES,
            **dict.fromkeys(CLASS_COUNTS, INT32),
        ),
        max_size=1,
    ),
    report_ages=st.lists(INT32, max_size=2),
)


class ExtremeLoadsTest(AsyncTestCase):
    """Reports with the largest and smallest values.

    Guards against a sum that no message can hold: it would fail each append request and
    reply, so that no leader could be followed.
    """

    @settings(derandomize=True, deadline=None, max_examples=50, database=None)
    @given(st.lists(LOADS, min_size=1, max_size=2), st.lists(LOADS, max_size=2))
    def test_sums_of_any_reports_can_be_sent(self, attached, received):
        clock = ManualClock()
        watchers = [
            Watcher(hello=wire.Hello(node_id=str(number)), clock=clock)
            for number in range(len(attached))
        ]
        for watcher, reported in zip(watchers, attached, strict=True):
            watcher.loads = reported
        aggregator = LoadAggregator(watchers=watchers, clock=clock)
        for number, reported in enumerate(received):
            aggregator.receive(f"c{number}", reported.SerializeToString())
        wire.Loads.FromString(aggregator.local_total().SerializeToString())
        wire.Loads.FromString(aggregator.total().SerializeToString())

    def test_a_sum_stops_at_the_largest_value(self):
        clock = ManualClock()
        aggregator = LoadAggregator(watchers=[], clock=clock)
        most = wire.Load(backend_id="a", running=2**31 - 1, token_layers=2**63 - 1)
        for name in ("c2", "c3"):
            loads = wire.Loads(loads=[most])
            aggregator.receive(name, loads.SerializeToString())
        self.assertEqual([most], list(aggregator.total().loads))
