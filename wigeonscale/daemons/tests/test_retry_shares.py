import random

from wigeonscale.daemons.tests.retry_cluster import WINDOW_S, RetryCluster
from wigeonscale.direct.retry_share import RELEASE_MARGIN_S, UNCONFIRMED_USE_S
from wigeonscale.testing import AsyncTestCase

# All entries hold their share by then.
SETTLE_S = WINDOW_S + 5
# A lost entry is attached for some seconds after its last message.
RELEASE_S = UNCONFIRMED_USE_S + WINDOW_S + RELEASE_MARGIN_S + 10


def no_retries(name):
    return False


class RetryShareCase(AsyncTestCase):
    async def start(self, **options):
        """Return entries that hold their shares and have made no retry."""
        cluster = RetryCluster(**options)
        self.addCleanup(cluster.close)
        await cluster.play(SETTLE_S, wants=no_retries)
        return cluster

    def assert_within_budget(self, cluster, *details):
        self.assertTrue(cluster.highest <= 1.0, (*details, cluster.highest))


class CutEntriesTest(RetryShareCase):
    """Guards against entries that divide the share of one that control can't hear."""

    async def test_two_of_five_entries(self):
        for cut_s in (7, 20, 60):
            cluster = await self.start()
            cluster.cut("e0", "e1")
            await cluster.play(cut_s)
            cluster.join("e0", "e1")
            await cluster.play(30)
            self.assert_within_budget(cluster, cut_s)

    async def test_retries_begin_during_the_cut(self):
        for delay_s in (5, 31, 44):
            cluster = await self.start()
            cluster.cut("e0", "e1")
            await cluster.play(delay_s, wants=no_retries)
            await cluster.play(30)
            self.assert_within_budget(cluster, delay_s)

    async def test_many_entries(self):
        for entries, slack in ((28, 384), (28, 24)):
            cluster = await self.start(entries=entries, slack=slack)
            cluster.cut(*(f"e{number}" for number in range(0, entries, 3)))
            await cluster.play(12)
            self.assert_within_budget(cluster, entries, slack)

    async def test_all_entries(self):
        cluster = await self.start()
        cluster.cut(*cluster.entries)
        await cluster.play(20)
        cluster.join(*cluster.entries)
        await cluster.play(20)
        self.assert_within_budget(cluster)

    async def test_cut_entry_has_its_share(self):
        cluster = await self.start(slack=200)
        cluster.cut("e0")
        await cluster.play(UNCONFIRMED_USE_S - 1, wants=no_retries)
        await cluster.play(0.5, wants=lambda name: name == "e0")
        # 0.6 of the fifth of the slack, and of the ratio for its own requests.
        self.assertEqual(27, cluster.retries_by_name["e0"])

    async def test_entries_added_during_the_cut(self):
        for wanted_after_s in (0, 25):
            cluster = await self.start()
            cluster.cut("e0", "e1")
            await cluster.play(1)
            cluster.add("e5", "e6", "e7")
            await cluster.play(wanted_after_s, wants=no_retries)
            await cluster.play(25)
            cluster.join("e0", "e1")
            await cluster.play(25)
            self.assert_within_budget(cluster, wanted_after_s)

    async def test_restarts_during_the_cut(self):
        for names in (("e0",), ("e2", "e3", "e4"), ("e0", "e1", "e2", "e3", "e4")):
            cluster = await self.start()
            cluster.cut("e0", "e1")
            await cluster.play(8)
            await cluster.restart(*names)
            await cluster.play(40)
            self.assert_within_budget(cluster, names)


class ChangingEntriesTest(RetryShareCase):
    """Guards against shares of more than the whole when entries come and go."""

    async def shares(self, cluster):
        return [round(entry.share.fraction(), 3) for entry in cluster.entries.values()]

    async def test_added_entries_share_after_a_window(self):
        cluster = await self.start()
        cluster.add("e5", "e6")
        await cluster.play(2 * WINDOW_S + 5)
        self.assert_within_budget(cluster)
        self.assertEqual([0.143] * 7, await self.shares(cluster))

    async def test_lost_entries_are_released(self):
        cluster = await self.start()
        await cluster.end("e0", "e1")
        await cluster.play(UNCONFIRMED_USE_S)
        self.assertEqual([0.2] * 3, await self.shares(cluster))
        await cluster.play(RELEASE_S - UNCONFIRMED_USE_S)
        self.assert_within_budget(cluster)
        self.assertEqual([0.333] * 3, await self.shares(cluster))

    async def test_stopped_entries_are_released_after_a_window(self):
        cluster = await self.start()
        await cluster.stop("e0", "e1")
        await cluster.play(WINDOW_S + RELEASE_MARGIN_S + 10)
        self.assert_within_budget(cluster)
        self.assertEqual([0.333] * 3, await self.shares(cluster))

    async def test_restarted_entry_has_its_share_after_a_window(self):
        cluster = await self.start()
        await cluster.restart("e0")
        await cluster.play(SETTLE_S)
        self.assert_within_budget(cluster)
        self.assertEqual([0.2] * 5, await self.shares(cluster))

    async def test_lost_answers(self):
        cluster = await self.start(lost_fraction=0.4)
        cluster.add("e5", "e6")
        await cluster.play(30)
        await cluster.end("e0", "e1")
        await cluster.play(RELEASE_S + 30)
        self.assert_within_budget(cluster)
        self.assertEqual([0.2] * 5, await self.shares(cluster))

    async def test_random_changes(self):
        for seed in range(2):
            rng = random.Random(seed)
            cluster = await self.start(seed=seed, lost_fraction=0.2)
            for number in range(15):
                name = rng.choice(list(cluster.entries))
                match rng.choice(["cut", "cut", "join", "add", "end", "restart"]):
                    case "cut":
                        cluster.cut(name)
                    case "join":
                        cluster.join(*cluster.entries)
                    case "add" if len(cluster.entries) < 12:
                        cluster.add(f"a{number}")
                    case "end" if len(cluster.entries) > 2:
                        await cluster.end(name)
                    case "restart":
                        await cluster.restart(name)
                await cluster.play(rng.choice([0.3, 2, 8, 20]))
            self.assert_within_budget(cluster, seed)


class OneThirdTest(RetryShareCase):
    """Guards against entries of one failure domain that wait for unused budget."""

    async def test_entries_that_want_retries_while_others_are_cut_off(self):
        retries = []
        for cut in ((), ("e1", "e4")):
            cluster = await self.start(entries=6)
            cluster.cut(*cut)
            await cluster.play(12, wants=lambda name: name in ("e0", "e3"))
            self.assert_within_budget(cluster, cut)
            retries.append(sum(cluster.retries_by_name.values()))
        # The ratio for the requests of the entries that are cut off is left out.
        self.assertTrue(retries[1] >= 0.95 * retries[0], retries)
