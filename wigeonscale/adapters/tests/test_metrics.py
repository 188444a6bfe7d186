import os
import pathlib

import aiohttp

from wigeonscale.adapters import Metrics, bound_address, start_http
from wigeonscale.adapters.metrics import Histogram, priority_label
from wigeonscale.errors import ErrorKind
from wigeonscale.testing import AsyncTestCase

ORGANISATIONS = 10_000
# A key as orjson returns it, with its unused buffer, takes four times as much.
BYTES_PER_ORGANISATION = 1_000


class MetricsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.metrics = Metrics()

    def test_unknown_and_missing_labels_are_rejected(self):
        add = self.metrics.requests.add
        self.assertRaises(ValueError, add, organisation="o")
        self.assertRaises(ValueError, add, organisation="o", kind="ok", path="/x")
        self.assertRaises(ValueError, self.metrics.running.set, 1, organisation="o")
        observe = self.metrics.first_token_s.observe
        self.assertRaises(ValueError, observe, 1.0, organisation="o")

    def test_unknown_kinds_count_as_other(self):
        for kind in ("", ErrorKind.OVERLOADED, "overloaded", "made-up", "invented"):
            self.metrics.retries.add(kind=kind)
        counts = [
            self.metrics.retries.value(kind=kind)
            for kind in ("ok", "overloaded", "other")
        ]
        self.assertEqual([1, 2, 2], counts)

    def test_capacity_waits_have_no_organisation(self):
        # Guards against a series for each caller: routes have few priorities.
        add = self.metrics.capacity_waits.add
        add(priority="0", outcome="admitted")
        self.assertRaises(ValueError, add, priority="0")
        self.assertRaises(
            ValueError, add, priority="0", outcome="admitted", organisation="o"
        )
        value = self.metrics.capacity_waits.value
        self.assertEqual(1, value(priority="0", outcome="admitted"))
        self.assertEqual(0, value(priority="2", outcome="admitted"))

    def test_priority_labels_are_a_fixed_set(self):
        # Guards against a series for each priority that a configuration names.
        labels = {priority_label(priority) for priority in range(-5, 300)}
        self.assertEqual({"interrupted", *"0123456789"}, labels)

    def test_values(self):
        self.metrics.tokens.add(5, organisation="o")
        self.metrics.tokens.add(organisation="o")
        self.metrics.queued.set(3)
        self.metrics.request_s.observe(0.3)
        self.assertEqual(6, self.metrics.tokens.value(organisation="o"))
        self.assertEqual(0, self.metrics.tokens.value(organisation="other"))
        self.assertEqual(3, self.metrics.queued.value())
        self.assertEqual(1, self.metrics.request_s.count())
        self.assertEqual(0, Metrics().tokens.value(organisation="o"))


class ManyOrganisationsTest(AsyncTestCase):
    def test_no_histogram_has_the_organisation_as_label(self):
        found = vars(Metrics()).values()
        histograms = [metric for metric in found if isinstance(metric, Histogram)]
        self.assertGreater(len(histograms), 3)
        for histogram in histograms:
            with self.assertRaises(ValueError, msg=histogram.name):
                histogram.observe(1.0, organisation="o")

    def test_counter_memory_per_organisation(self):
        metrics = Metrics()
        before = _resident_bytes()
        for number in range(ORGANISATIONS):
            metrics.tokens.add(1, organisation=f"organisation-{number}")
        grown = _resident_bytes() - before
        self.assertLess(grown, ORGANISATIONS * BYTES_PER_ORGANISATION)


def _resident_bytes():
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


class HttpTest(AsyncTestCase):
    async def get(self, path):
        url = f"http://{bound_address(self.runner)}{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as res:
            return res.status, await res.text()

    async def prepare(self):
        self.is_ready = True
        self.metrics = Metrics()
        self.runner = await start_http(
            "127.0.0.1:0", [], lambda: self.is_ready, metrics=self.metrics
        )
        self.addCleanup(self.runner.cleanup)

    async def test_health_and_readiness(self):
        self.assertEqual((200, '{"ok": true}'), await self.get("/healthz"))
        self.assertEqual((200, '{"ready": true}'), await self.get("/readyz"))
        self.is_ready = False
        self.assertEqual((200, '{"ok": true}'), await self.get("/healthz"))
        self.assertEqual((503, '{"ready": false}'), await self.get("/readyz"))

    async def test_metrics_page(self):
        self.metrics.requests.add(organisation="o", kind="")
        self.metrics.first_token_s.observe(1.05)
        status, text = await self.get("/metrics")
        self.assertEqual(200, status)
        self.assertIn('wigeonscale_requests_total{kind="ok",organisation="o"} 1', text)
        bucket = 'wigeonscale_first_token_seconds_bucket{le="1.1"} 1'
        self.assertIn(bucket, text)

    async def test_address_in_use_raises(self):
        with self.assertRaises(OSError):
            await start_http(bound_address(self.runner), [], lambda: True)
