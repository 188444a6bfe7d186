from dataclasses import replace

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct import ClassDemandTracker
from wigeonscale.direct.tests.support import MODEL, EntryHarness
from wigeonscale.limits import ClassCount
from wigeonscale.testing import AsyncTestCase, ManualClock


def count(priority, *, domain="a", **counts):
    return ClassCount(service="model", priority=priority, domain=domain, **counts)


def summed(reports):
    """Return the totals over the reports of several entries."""
    totals = {}
    names = ("arrived", "admitted", "rejected", "waiting", "released", "returning")
    for each in sum(reports, []):
        key = each.service, each.priority, each.domain
        total = totals.setdefault(key, ClassCount(**dict(zip(KEYS, key, strict=True))))
        totals[key] = replace(
            total,
            **{name: getattr(total, name) + getattr(each, name) for name in names},
        )
    return list(totals.values())


KEYS = ("service", "priority", "domain")


class TrackerCase(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = EntryHarness()
        self.tracker = self.entry()

    def entry(self, domain="a"):
        return ClassDemandTracker(clock=self.clock, domain=domain)

    def job(self, priority):
        job = self.harness.job(service=MODEL)
        return replace(job, route=replace(job.route, priority=priority))


class CountsTest(TrackerCase):
    def test_nothing_to_report(self):
        """Guards against messages for services without traffic classes."""
        self.assertEqual([], self.tracker.report())

    async def test_counts_leave_the_window(self):
        """Guards against demand that is reported long after it ended."""
        urgent = self.job(0)
        self.tracker.note_arrived(urgent)
        await self.clock.advance(1.5)
        self.tracker.note_arrived(urgent)
        self.tracker.note_admitted(urgent)
        self.tracker.note_released(urgent)
        self.tracker.note_arrived(self.job(2))
        self.assertEqual(
            [count(0, arrived=2, admitted=1, released=1), count(2, arrived=1)],
            self.tracker.report(),
        )
        await self.clock.advance(1.0)
        self.assertEqual(
            [count(0, arrived=1, admitted=1, released=1), count(2, arrived=1)],
            self.tracker.report(),
        )
        await self.clock.advance(1.1)
        self.assertEqual([], self.tracker.report())

    async def test_waiting_is_current(self):
        """Guards against losing requests that wait for longer than the window."""
        job = self.job(1)
        self.tracker.note_waiting(job, +1)
        self.tracker.note_waiting(job, +1)
        await self.clock.advance(4.0)
        self.assertEqual([count(1, waiting=2)], self.tracker.report())
        self.tracker.note_waiting(job, -1)
        self.tracker.note_waiting(job, -1)
        self.assertEqual([], self.tracker.report())

    async def test_callers_return_after_their_retry_after(self):
        """Guards against counting callers that are already back."""
        job = self.job(1)
        self.tracker.note_rejected(job, 3.0)
        self.tracker.note_rejected(job, 0.5)
        self.assertEqual([count(1, rejected=2, returning=2)], self.tracker.report())
        await self.clock.advance(0.6)
        self.assertEqual([count(1, rejected=2, returning=1)], self.tracker.report())
        await self.clock.advance(2.0)
        self.assertEqual([count(1, returning=1)], self.tracker.report())
        await self.clock.advance(0.5)
        self.assertEqual([], self.tracker.report())

    async def test_bounded_memory(self):
        """Guards against events that are kept while nothing is reported."""
        job = self.job(0)
        for _ in range(200):
            self.tracker.note_arrived(job)
            await self.clock.advance(0.1)
        (counts,) = self.tracker._own.values()
        self.assertTrue(len(counts.arrived) <= 22, len(counts.arrived))


class TotalsTest(TrackerCase):
    def test_no_demand_before_any_totals(self):
        """Guards against extrapolating from callers that return unevenly at a start."""
        self.tracker.note_arrived(self.job(0))
        self.assertEqual([], self.tracker.demand("model", "a", 28))

    def test_totals_of_several_entries(self):
        """Guards against mixing domains, and against counting an entry twice."""
        entries = [self.entry("a"), self.entry("a"), self.entry("b")]
        for entry in entries:
            entry.note_arrived(self.job(2))
            entry.note_arrived(self.job(0))
        totals = summed([entry.report() for entry in entries])
        self.tracker.apply_totals(totals)
        self.assertEqual(
            [count(0, arrived=2), count(2, arrived=2)],
            self.tracker.demand("model", "a", 3),
        )
        self.assertEqual(
            [count(0, domain="b", arrived=1), count(2, domain="b", arrived=1)],
            self.tracker.demand("model", "b", 3),
        )
        self.assertEqual([], self.tracker.demand("other", "a", 3))
        self.assertEqual([], self.tracker.demand("model", "c", 3))

    async def test_outdated_totals(self):
        """Guards against acting on demand from before control became unavailable."""
        totals = [count(0, arrived=90), count(0, domain="b"), count(0, domain="c")]
        self.tracker.apply_totals(totals)
        await self.clock.advance(2.4)
        self.assertEqual(90, self.tracker.demand("model", "a", 28)[0].arrived)
        await self.clock.advance(0.2)
        self.assertEqual([], self.tracker.demand("model", "a", 28))
        self.tracker.note_arrived(self.job(1))
        self.tracker.note_waiting(self.job(1), +1)
        # 28 entries in three domains.
        for domain in "ab":
            self.assertEqual(
                [count(1, domain=domain, arrived=9, waiting=9)],
                self.tracker.demand("model", domain, 28),
            )

    async def test_outdated_totals_of_a_single_entry(self):
        """Guards against scaling the demand below that of the entry itself."""
        self.tracker.apply_totals([count(0), count(0, domain="b")])
        await self.clock.advance(3.0)
        self.tracker.note_arrived(self.job(1))
        self.assertEqual(1, self.tracker.demand("model", "a", 1)[0].arrived)

    def test_entry_that_restarts(self):
        """Guards against a reserve from totals that an earlier process received."""
        other, restarted = self.entry(), self.entry()
        for entry in (other, restarted):
            entry.note_arrived(self.job(0))
            entry.note_waiting(self.job(0), +1)
        before = summed([other.report(), restarted.report()])
        restarted = self.entry()
        self.assertEqual([], restarted.demand("model", "a", 2))
        self.assertEqual([], restarted.report())
        # The totals still include what its earlier process reported.
        restarted.apply_totals(before)
        self.assertEqual(2, restarted.demand("model", "a", 2)[0].waiting)
        restarted.apply_totals(summed([other.report(), restarted.report()]))
        self.assertEqual(1, restarted.demand("model", "a", 2)[0].waiting)

    def test_totals_without_classes(self):
        """Guards against a reserve without demand while control is an older version."""
        self.tracker.note_waiting(self.job(0), +1)
        self.tracker.apply_totals([])
        self.assertEqual([], self.tracker.demand("model", "a", 28))


class ReserveTest(TrackerCase):
    SHORT = (count(0, arrived=40, waiting=2), count(2, arrived=8, admitted=8))

    def reserve(self, priority=2, *, domain="a", entry_count=6):
        return self.tracker.reserve(
            "model",
            domain,
            priority,
            entry_count=entry_count,
            running=lambda: 98.0,
        )

    def test_from_the_totals_of_the_domain(self):
        """Guards against a reserve in a domain where nobody is short."""
        self.assertEqual(0.0, self.reserve())
        self.tracker.apply_totals(self.SHORT)
        self.assertEqual(0.2, self.reserve())
        self.assertEqual(0.0, self.reserve(0))
        self.assertEqual(0.0, self.reserve(domain="b"))

    def test_computed_once_for_each_totals(self):
        """Guards against summing the loads of all engines for each request."""
        self.tracker.apply_totals(self.SHORT)
        calls = []
        for _ in range(20):
            self.tracker.reserve(
                "model",
                "a",
                2,
                entry_count=1,
                running=lambda: calls.append(1) or 98.0,
            )
        self.assertEqual(1, len(calls))

    async def test_falls_by_steps(self):
        """Guards against the return of all requests that were held back at once."""
        self.tracker.apply_totals(self.SHORT)
        shares = [self.reserve()]
        for _ in range(5):
            await self.clock.advance(0.5)
            self.tracker.apply_totals([count(0, arrived=40)])
            shares.append(self.reserve())
        self.assertEqual([0.2, 0.15, 0.1, 0.05, 0.0, 0.0], shares)

    async def test_falls_without_totals(self):
        """Guards against a reserve that lasts while control is unavailable."""
        self.tracker.apply_totals(self.SHORT)
        self.assertEqual(0.2, self.reserve())
        for _ in range(10):
            await self.clock.advance(0.5)
            self.reserve()
        self.assertEqual(0.0, self.reserve())

    async def test_from_the_own_demand_without_totals(self):
        """Guards against no protection while control is unavailable."""
        self.tracker.apply_totals([count(0), count(0, domain="b")])
        await self.clock.advance(3.0)
        for _ in range(10):
            self.tracker.note_arrived(self.job(0))
        self.tracker.note_waiting(self.job(0), +1)
        # Three entries in each of two domains: 15 arrivals per second, 101 places.
        self.assertEqual(0.15, self.reserve())

    def test_none_below_the_floor(self):
        """Guards against a class that gets nothing while another is short."""
        self.tracker.apply_totals([self.SHORT[0], count(2, arrived=8, admitted=1)])
        self.assertEqual(0.0, self.reserve())

    def test_changes_are_logged_with_their_inputs(self):
        """Guards against a decision that cannot be explained from the logs."""
        self.tracker.apply_totals(self.SHORT)
        with self.assertLogs("wigeonscale.direct.class_demand", "INFO") as logs:
            self.reserve()
            self.reserve()
            self.tracker.apply_totals(self.SHORT)
            self.reserve()
        (line,) = logs.records
        self.assertEqual(
            {
                "service": "model",
                "domain": "a",
                "priority": 2,
                "reserve": 0.2,
                "wanted": 0.2,
                "places": 100.0,
                "arrived": 40,
                "waiting": 2,
                "rejected": 0,
                "below_floor": False,
                "totals_age_s": 0.0,
            },
            line.fields,
        )

    def test_metrics(self):
        """Guards against labels beyond the fixed set."""
        before = METRICS.class_admissions.value(priority="9")
        self.tracker.note_admitted(self.job(12))
        self.assertEqual(before + 1, METRICS.class_admissions.value(priority="9"))
        self.tracker.apply_totals(self.SHORT)
        self.reserve()
        self.assertEqual(0.2, METRICS.class_reserve.value(priority="2"))
