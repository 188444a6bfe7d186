from wigeonscale.limits import share_weights
from wigeonscale.testing import AsyncTestCase

EQUAL_DEMANDS = {f"entry-{number:03d}": 3 for number in range(300)}


class ShareWeightsTest(AsyncTestCase):
    def test_few_processes_all_get_a_share(self):
        demands = {"c": 1, "a": 1, "b": 1}
        self.assertEqual({"a": 1, "b": 1, "c": 1}, share_weights("i", 2.0, demands))
        self.assertEqual({}, share_weights("i", 2.0, {}))

    def test_at_least_one_process_gets_a_share(self):
        self.assertEqual(1, len(share_weights("i", 0.0, EQUAL_DEMANDS)))

    def test_number_of_sharers_follows_the_rate(self):
        self.assertEqual(2, len(share_weights("i", 1.0, EQUAL_DEMANDS)))
        self.assertEqual(25, len(share_weights("i", 10.0, EQUAL_DEMANDS)))

    def test_highest_demand_is_preferred(self):
        self.assertEqual(
            {"big": 32}, share_weights("i", 0.5, EQUAL_DEMANDS | {"big": 40})
        )

    def test_similar_demand_does_not_displace_sharers(self):
        before = share_weights("i", 1.0, EQUAL_DEMANDS)
        for number in range(0, 300, 7):
            after = share_weights("i", 1.0, EQUAL_DEMANDS | {f"entry-{number:03d}": 5})
            self.assertEqual(set(before), set(after))

    def test_no_share_without_requests(self):
        self.assertEqual({"a": 1}, share_weights("i", 2.0, {"a": 1, "b": 0}))

    def test_small_changes_keep_the_weight(self):
        self.assertEqual(
            {8}, {share_weights("i", 2.0, {"a": n})["a"] for n in range(6, 12)}
        )

    def test_sharers_of_a_union_follow_from_its_parts(self):
        demands = {name: number % 17 for number, name in enumerate(EQUAL_DEMANDS)}
        names = list(demands)
        kept = {}
        for at in range(0, 300, 40):
            part = {name: demands[name] for name in names[at : at + 40]}
            kept |= {name: demands[name] for name in share_weights("i", 2.0, part)}
        self.assertEqual(
            share_weights("i", 2.0, demands), share_weights("i", 2.0, kept)
        )

    def test_each_limit_selects_other_sharers_among_equals(self):
        self.assertNotEqual(
            share_weights("i", 1.0, EQUAL_DEMANDS),
            share_weights("j", 1.0, EQUAL_DEMANDS),
        )
