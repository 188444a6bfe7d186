import argparse
import math

from bench.paired_runs import (
    Play,
    Way,
    differences,
    parse_way,
    read_report,
    set_constant,
)
from wigeonscale.testing import AsyncTestCase


def play(way, worth, *, site="s", seed=1):
    return Play(
        site=site, day="d", seed=seed, way=way, worth=worth, parts={}, prices=0.0
    )


class WaysTest(AsyncTestCase):
    def test_a_way_is_a_commit_with_other_constants(self):
        way = parse_way("new=abc:a/b.py:X_S=0.2:c.py:Y=(1, 2)")
        self.assertEqual(
            Way(
                name="new",
                revision="abc",
                constants=(("a/b.py", "X_S", "0.2"), ("c.py", "Y", "(1, 2)")),
            ),
            way,
        )
        self.assertEqual((), parse_way("old=HEAD").constants)

    def test_what_is_no_way_is_said(self):
        for text in ("HEAD", "a=HEAD:file.py", "a=HEAD:file.py:X"):
            self.assertRaises(argparse.ArgumentTypeError, parse_way, text)

    def test_a_constant_is_set_where_it_stands_once(self):
        source = "A_S = 1.0  # why\nBA_S = 2.0\n"
        self.assertEqual("A_S = 3\nBA_S = 2.0\n", set_constant(source, "A_S", "3"))
        self.assertRaises(ValueError, set_constant, source, "C", "3")

    def test_differences_are_of_pairs_alone(self):
        plays = [
            play("old", 0.50, seed=1),
            play("new", 0.60, seed=1),
            play("old", 0.70, seed=2),
            play("new", 0.82, seed=2),
            play("old", 0.10, seed=3),
            play("new", 0.90, site="t"),
        ]
        of_site, of_all = differences(plays, ["old", "new"])
        self.assertEqual(("s", "", 2), (of_site.site, of_all.site, of_all.pairs))
        self.assertTrue(abs(of_all.mean - 0.11) < 1e-9)
        self.assertTrue(abs(of_all.spread - 12.71 * 0.01) < 1e-6, of_all.spread)
        self.assertFalse(of_all.is_shown)

    def test_one_pair_shows_nothing(self):
        (of_site, _) = differences([play("a", 0.5), play("b", 0.9)], ["a", "b"])
        self.assertTrue(math.isinf(of_site.spread))
        self.assertFalse(of_site.is_shown)

    def test_a_report_names_the_rules_that_were_broken(self):
        report = {
            "G": 0.7,
            "parts": [["whole day", 0.7, 0.9]],
            "prices": [["memory", 2.0, 0.05], ["links", 1.0, 0.01]],
            "breaks": {"LOST": 2, "TWICE": 0},
            "fault": None,
        }
        row = read_report(report, site="s", day="d", seed=1, way="w")
        self.assertEqual(("LOST 2", {"whole day": 0.9}), (row.broken, row.parts))
        self.assertTrue(abs(row.prices - 0.06) < 1e-9)
