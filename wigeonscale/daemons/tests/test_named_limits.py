"""A backend server in need names how much it takes, and gets no less than before.

A first engine named a limit of one request a second. In four seconds it got fifteen
from entries that it had told, where eleven were allowed. Nothing else was wrong: it
answered each of them, and was as near and as empty as before, so the only entry of its
failure domain went on to begin every path there.
"""

from wigeonscale.daemons.tests.named_limits import Entries
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.testing import AsyncTestCase

NEEDY = "i-b"


class NamedLimitTest(AsyncTestCase):
    async def until_judged(self, *, entries, requests_per_s, limit_per_s):
        self.entries = Entries(entries, requests_per_s)
        self.addCleanup(self.entries.close)
        await self.entries.play(2.0)
        self.entries.servers.notices[NEEDY] = ServerNotice(limit_per_s=limit_per_s)
        named_at = self.entries.clock.now()
        await self.entries.play(12.0)
        over = self.entries.most_over_limit(NEEDY, limit_per_s, named_at)
        self.assertTrue(over <= 0, f"{over} requests over the limit")
        self.assertEqual([], self.entries.refusals)

    async def test_one_entry_of_its_domain_sends_it_all(self):
        await self.until_judged(entries=4, requests_per_s=5.0, limit_per_s=1.0)

    async def test_many_entries_send_it_a_little_each(self):
        await self.until_judged(entries=68, requests_per_s=1.0, limit_per_s=2.0)
