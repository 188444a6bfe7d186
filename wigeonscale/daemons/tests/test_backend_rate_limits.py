"""Guards against entries exceeding a rate limit that a backend server announces.

A first-stage engine announced a limit of one request a second, and within 4 s got 15
requests from entries that had received the limit, where 11 were allowed. No entry read
the header with the limit, and no entry knows by itself what the others send. The engine
answered every request and was as near and as idle as before, so the only entry of its
failure domain started every path there (8 sends, at 38.65, 38.67, 38.74, 39.79, 40.90,
40.91, 41.26 and 42.51 s), and an entry of another domain sent 2 more, at 38.80 and
40.50 s.
"""

from wigeonscale.daemons.tests.rate_limit_cluster import EntryCluster
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.testing import AsyncTestCase

LIMITED = "i-b"


class BackendRateLimitTest(AsyncTestCase):
    async def run_with_limit(self, *, entries, requests_per_s, limit_per_s, replicas=1):
        self.cluster = EntryCluster(entries, requests_per_s, replicas)
        self.addCleanup(self.cluster.close)
        await self.cluster.run(2.0)
        self.cluster.servers.notices[LIMITED] = ServerNotice(limit_per_s=limit_per_s)
        self.announced_at = self.cluster.clock.now()
        await self.cluster.run(12.0)
        self.check_limit(limit_per_s)

    def check_limit(self, limit_per_s):
        over = self.cluster.max_excess(LIMITED, limit_per_s, self.announced_at)
        self.assertTrue(over <= 0, f"{over} requests over the limit")
        self.assertEqual([], self.cluster.refusals)

    async def sent_in(self, seconds):
        before = self.cluster.sent_to(LIMITED)
        await self.cluster.run(seconds)
        return self.cluster.sent_to(LIMITED) - before

    async def test_single_entry_of_the_domain_sends_all_requests(self):
        await self.run_with_limit(entries=4, requests_per_s=5.0, limit_per_s=1.0)

    async def test_limit_holds_without_a_leader_that_shares_the_reports(self):
        # Without a leader each replica knows only its own entries.
        await self.run_with_limit(
            entries=66, requests_per_s=2.0, limit_per_s=4.0, replicas=11
        )
        self.cluster.has_leader = False
        await self.cluster.run(6.0)
        self.check_limit(4.0)
        self.cluster.has_leader = True
        await self.cluster.run(6.0)
        self.check_limit(4.0)
        self.assertTrue(await self.sent_in(20.0) >= 40)

    async def test_limited_server_still_gets_requests_up_to_its_limit(self):
        await self.run_with_limit(entries=4, requests_per_s=5.0, limit_per_s=2.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(20 <= sent <= 40, f"{sent} sent, 40 taken")

    async def test_limit_is_used_when_most_requests_come_from_one_entry(self):
        # The other entries send a request occasionally, as if it were the cheapest.
        await self.run_with_limit(entries=4, requests_per_s=8.0, limit_per_s=6.0)
        self.cluster.send_periodically(LIMITED, every_s=2.0)
        await self.cluster.run(6.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(60 <= sent <= 120, f"{sent} sent, 120 taken")

    async def test_all_requests_return_once_the_limit_is_withdrawn(self):
        await self.run_with_limit(entries=68, requests_per_s=1.0, limit_per_s=1.0)
        self.cluster.servers.notices[LIMITED] = ServerNotice()
        await self.cluster.run(8.0)
        sent = await self.sent_in(5.0)
        self.assertTrue(sent >= 68, f"{sent} sent, some 110 asked in its domain")

    async def test_all_servers_are_limited(self):
        await self.run_with_limit(entries=4, requests_per_s=0.2, limit_per_s=1.0)
        for name in ("i-a", "i-b", "i-c"):
            self.cluster.servers.notices[name] = ServerNotice(limit_per_s=1.0)
        announced_at = self.cluster.clock.now()
        self.cluster.requests_per_s = 4.0
        await self.cluster.run(12.0)
        for name in ("i-a", "i-b", "i-c"):
            over = self.cluster.max_excess(name, 1.0, announced_at)
            self.assertTrue(over <= 0, f"{over} requests over the limit of {name}")
        # Excess requests are rejected at once, as not run and with a Retry-After.
        self.assertTrue(self.cluster.refusals)
        for exc in self.cluster.refusals:
            self.assertEqual(
                (ErrorKind.OVERLOADED, RunState.NOT_RUN), (exc.kind, exc.run_state)
            )
            self.assertTrue(exc.retry_after > 0)

    async def test_many_entries_with_few_requests_each(self):
        await self.run_with_limit(entries=68, requests_per_s=1.0, limit_per_s=2.0)

    async def test_more_entries_than_allowed_requests(self):
        await self.run_with_limit(entries=150, requests_per_s=0.5, limit_per_s=0.5)
