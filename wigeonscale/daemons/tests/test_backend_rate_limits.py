"""A backend server in need names how much it takes, and got no less than before.

A first engine named a limit of one request a second. In four seconds it got fifteen
from entries that it had told, where eleven were allowed. Nothing else was wrong: it
answered each of them, and was as near and as empty as before, so the only entry of its
failure domain went on to begin every path there: `generation sent`, its `path` led by
that engine, at 38.65, 38.67, 38.74, 39.79, 40.90, 40.91, 41.26 and 42.51 s, and by an
entry of another domain at 38.80 and 40.50 s. No entry read the header that names the
limit, and none knows by itself what the others send there.
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
        self.declared_at = self.cluster.clock.now()
        await self.cluster.run(12.0)
        self.check_limit(limit_per_s)

    def check_limit(self, limit_per_s):
        over = self.cluster.max_excess(LIMITED, limit_per_s, self.declared_at)
        self.assertTrue(over <= 0, f"{over} requests over the limit")
        self.assertEqual([], self.cluster.refusals)

    async def sent_in(self, seconds):
        before = self.cluster.sent_to(LIMITED)
        await self.cluster.run(seconds)
        return self.cluster.sent_to(LIMITED) - before

    async def test_one_entry_of_its_domain_sends_it_all(self):
        await self.run_with_limit(entries=4, requests_per_s=5.0, limit_per_s=1.0)

    async def test_no_leader_passes_on_what_the_entries_tell(self):
        # Each replica then knows its own entries only.
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

    async def test_it_still_gets_what_it_takes(self):
        await self.run_with_limit(entries=4, requests_per_s=5.0, limit_per_s=2.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(20 <= sent <= 40, f"{sent} sent, 40 taken")

    async def test_most_of_its_work_comes_from_one_entry(self):
        # The others send it a request now and then, when their own engines are dear.
        await self.run_with_limit(entries=4, requests_per_s=8.0, limit_per_s=6.0)
        self.cluster.send_periodically(LIMITED, every_s=2.0)
        await self.cluster.run(6.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(60 <= sent <= 120, f"{sent} sent, 120 taken")

    async def test_when_it_names_no_limit_any_more_it_gets_all_again(self):
        await self.run_with_limit(entries=68, requests_per_s=1.0, limit_per_s=1.0)
        self.cluster.servers.notices[LIMITED] = ServerNotice()
        await self.cluster.run(8.0)
        sent = await self.sent_in(5.0)
        self.assertTrue(sent >= 68, f"{sent} sent, some 110 asked in its domain")

    async def test_all_are_in_need(self):
        await self.run_with_limit(entries=4, requests_per_s=0.2, limit_per_s=1.0)
        for name in ("i-a", "i-b", "i-c"):
            self.cluster.servers.notices[name] = ServerNotice(limit_per_s=1.0)
        declared_at = self.cluster.clock.now()
        self.cluster.requests_per_s = 4.0
        await self.cluster.run(12.0)
        for name in ("i-a", "i-b", "i-c"):
            over = self.cluster.max_excess(name, 1.0, declared_at)
            self.assertTrue(over <= 0, f"{over} requests over the limit of {name}")
        # What does not get in is told at once that it was not run, and when to come.
        self.assertTrue(self.cluster.refusals)
        for exc in self.cluster.refusals:
            self.assertEqual(
                (ErrorKind.OVERLOADED, RunState.NOT_RUN), (exc.kind, exc.run_state)
            )
            self.assertTrue(exc.retry_after > 0)

    async def test_many_entries_send_it_a_little_each(self):
        await self.run_with_limit(entries=68, requests_per_s=1.0, limit_per_s=2.0)

    async def test_more_entries_than_it_takes_requests(self):
        await self.run_with_limit(entries=150, requests_per_s=0.5, limit_per_s=0.5)
