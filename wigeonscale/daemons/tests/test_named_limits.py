"""A backend server in need names how much it takes, and got no less than before.

A first engine named a limit of one request a second. In four seconds it got fifteen
from entries that it had told, where eleven were allowed. Nothing else was wrong: it
answered each of them, and was as near and as empty as before, so the only entry of its
failure domain went on to begin every path there: `generation sent`, its `path` led by
that engine, at 38.65, 38.67, 38.74, 39.79, 40.90, 40.91, 41.26 and 42.51 s, and by an
entry of another domain at 38.80 and 40.50 s. No entry read the header that names the
limit, and none knows by itself what the others send there.
"""

from wigeonscale.daemons.tests.named_limits import Entries
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.testing import AsyncTestCase

NEEDY = "i-b"


class NamedLimitTest(AsyncTestCase):
    async def until_judged(self, *, entries, requests_per_s, limit_per_s, replicas=1):
        self.entries = Entries(entries, requests_per_s, replicas)
        self.addCleanup(self.entries.close)
        await self.entries.play(2.0)
        self.entries.servers.notices[NEEDY] = ServerNotice(limit_per_s=limit_per_s)
        self.named_at = self.entries.clock.now()
        await self.entries.play(12.0)
        self.judge(limit_per_s)

    def judge(self, limit_per_s):
        over = self.entries.most_over_limit(NEEDY, limit_per_s, self.named_at)
        self.assertTrue(over <= 0, f"{over} requests over the limit")
        self.assertEqual([], self.entries.refusals)

    async def sent_in(self, seconds):
        before = self.entries.sent_to(NEEDY)
        await self.entries.play(seconds)
        return self.entries.sent_to(NEEDY) - before

    async def test_one_entry_of_its_domain_sends_it_all(self):
        await self.until_judged(entries=4, requests_per_s=5.0, limit_per_s=1.0)

    async def test_no_leader_passes_on_what_the_entries_tell(self):
        # Each replica then knows its own entries only.
        await self.until_judged(
            entries=66, requests_per_s=2.0, limit_per_s=4.0, replicas=11
        )
        self.entries.has_leader = False
        await self.entries.play(6.0)
        self.judge(4.0)
        self.entries.has_leader = True
        await self.entries.play(6.0)
        self.judge(4.0)
        self.assertTrue(await self.sent_in(20.0) >= 40)

    async def test_it_still_gets_what_it_takes(self):
        await self.until_judged(entries=4, requests_per_s=5.0, limit_per_s=2.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(20 <= sent <= 40, f"{sent} sent, 40 taken")

    async def test_most_of_its_work_comes_from_one_entry(self):
        # The others send it a request now and then, when their own engines are dear.
        await self.until_judged(entries=4, requests_per_s=8.0, limit_per_s=6.0)
        self.entries.send_now_and_then(NEEDY, every_s=2.0)
        await self.entries.play(6.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(60 <= sent <= 120, f"{sent} sent, 120 taken")

    async def test_when_it_names_no_limit_any_more_it_gets_all_again(self):
        await self.until_judged(entries=68, requests_per_s=1.0, limit_per_s=1.0)
        self.entries.servers.notices[NEEDY] = ServerNotice()
        await self.entries.play(8.0)
        sent = await self.sent_in(5.0)
        self.assertTrue(sent >= 68, f"{sent} sent, some 110 asked in its domain")

    async def test_all_are_in_need(self):
        await self.until_judged(entries=4, requests_per_s=0.2, limit_per_s=1.0)
        for name in ("i-a", "i-b", "i-c"):
            self.entries.servers.notices[name] = ServerNotice(limit_per_s=1.0)
        named_at = self.entries.clock.now()
        self.entries.requests_per_s = 4.0
        await self.entries.play(12.0)
        for name in ("i-a", "i-b", "i-c"):
            over = self.entries.most_over_limit(name, 1.0, named_at)
            self.assertTrue(over <= 0, f"{over} requests over the limit of {name}")
        # What does not get in is told at once that it was not run, and when to come.
        self.assertTrue(self.entries.refusals)
        for exc in self.entries.refusals:
            self.assertEqual(
                (ErrorKind.OVERLOADED, RunState.NOT_RUN), (exc.kind, exc.run_state)
            )
            self.assertTrue(exc.retry_after > 0)

    async def test_many_entries_send_it_a_little_each(self):
        await self.until_judged(entries=68, requests_per_s=1.0, limit_per_s=2.0)

    async def test_more_entries_than_it_takes_requests(self):
        await self.until_judged(entries=150, requests_per_s=0.5, limit_per_s=0.5)
