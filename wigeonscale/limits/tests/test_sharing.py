from wigeonscale.limits import sharers
from wigeonscale.testing import AsyncTestCase

NAMES = [f"entry-{number}" for number in range(300)]


class SharersTest(AsyncTestCase):
    def test_all_where_they_are_few(self):
        self.assertEqual(["a", "b", "c"], sharers("i", 1.0, ["c", "a", "b", "a"]))
        self.assertEqual([], sharers("i", 1.0, []))

    def test_one_at_least(self):
        self.assertEqual(1, len(sharers("i", 0.0, NAMES)))

    def test_no_more_than_requests_in_the_window(self):
        self.assertEqual(4, len(sharers("i", 1.0, NAMES)))
        self.assertEqual(10, len(sharers("i", 2.5, NAMES)))

    def test_of_a_union_from_those_of_its_parts(self):
        parts = [sharers("i", 1.0, NAMES[at : at + 40]) for at in range(0, 300, 40)]
        union = [name for part in parts for name in part]
        self.assertEqual(sharers("i", 1.0, NAMES), sharers("i", 1.0, union))

    def test_each_subject_has_its_own(self):
        self.assertNotEqual(sharers("i", 1.0, NAMES), sharers("j", 1.0, NAMES))
