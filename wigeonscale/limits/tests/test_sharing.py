from wigeonscale.limits import share_weights
from wigeonscale.testing import AsyncTestCase

ALIKE = {f"entry-{number:03d}": 3 for number in range(300)}


class SharersTest(AsyncTestCase):
    def test_all_where_they_are_few(self):
        demands = {"c": 1, "a": 1, "b": 1}
        self.assertEqual({"a": 1, "b": 1, "c": 1}, share_weights("i", 2.0, demands))
        self.assertEqual({}, share_weights("i", 2.0, {}))

    def test_one_at_least(self):
        self.assertEqual(1, len(share_weights("i", 0.0, ALIKE)))

    def test_no_more_than_may_be_ready_at_once(self):
        self.assertEqual(2, len(share_weights("i", 1.0, ALIKE)))
        self.assertEqual(25, len(share_weights("i", 10.0, ALIKE)))

    def test_those_with_the_most_requests(self):
        self.assertEqual({"big": 32}, share_weights("i", 0.5, ALIKE | {"big": 40}))

    def test_who_has_about_as_much_takes_nobodys_place(self):
        before = share_weights("i", 1.0, ALIKE)
        for number in range(0, 300, 7):
            after = share_weights("i", 1.0, ALIKE | {f"entry-{number:03d}": 5})
            self.assertEqual(set(before), set(after))

    def test_no_requests_no_share(self):
        self.assertEqual({"a": 1}, share_weights("i", 2.0, {"a": 1, "b": 0}))

    def test_small_changes_move_nothing(self):
        self.assertEqual(
            {8}, {share_weights("i", 2.0, {"a": n})["a"] for n in range(6, 12)}
        )

    def test_of_a_union_from_those_of_its_parts(self):
        demands = {name: number % 17 for number, name in enumerate(ALIKE)}
        names = list(demands)
        kept = {}
        for at in range(0, 300, 40):
            part = {name: demands[name] for name in names[at : at + 40]}
            kept |= {name: demands[name] for name in share_weights("i", 2.0, part)}
        self.assertEqual(
            share_weights("i", 2.0, demands), share_weights("i", 2.0, kept)
        )

    def test_among_equals_each_subject_has_its_own(self):
        self.assertNotEqual(
            share_weights("i", 1.0, ALIKE), share_weights("j", 1.0, ALIKE)
        )
