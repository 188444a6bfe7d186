import argparse
import math

from bench.paired_runs import (
    DayRun,
    Variant,
    differences,
    parse_variant,
    read_report,
    set_constant,
)
from wigeonscale.testing import AsyncTestCase


def day_run(way, worth, *, site="s", seed=1):
    return DayRun(
        site=site, day="d", seed=seed, way=way, worth=worth, parts={}, prices=0.0
    )


class WaysTest(AsyncTestCase):
    def test_parse_variant_reads_commit_and_constants(self):
        way = parse_variant("new=abc:a/b.py:X_S=0.2:c.py:Y=(1, 2)")
        self.assertEqual(
            Variant(
                name="new",
                revision="abc",
                constants=(("a/b.py", "X_S", "0.2"), ("c.py", "Y", "(1, 2)")),
            ),
            way,
        )
        self.assertEqual((), parse_variant("old=HEAD").constants)

    def test_parse_variant_rejects_incomplete_texts(self):
        for text in ("HEAD", "a=HEAD:file.py", "a=HEAD:file.py:X"):
            self.assertRaises(argparse.ArgumentTypeError, parse_variant, text)

    def test_set_constant_requires_exactly_one_assignment(self):
        source = "A_S = 1.0  # why\nBA_S = 2.0\n"
        self.assertEqual("A_S = 3\nBA_S = 2.0\n", set_constant(source, "A_S", "3"))
        self.assertRaises(ValueError, set_constant, source, "C", "3")

    def test_differences_use_only_pairs(self):
        runs = [
            day_run("old", 0.50, seed=1),
            day_run("new", 0.60, seed=1),
            day_run("old", 0.70, seed=2),
            day_run("new", 0.82, seed=2),
            day_run("old", 0.10, seed=3),
            day_run("new", 0.90, site="t"),
        ]
        by_site, overall = differences(runs, ["old", "new"])
        self.assertEqual(("s", "", 2), (by_site.site, overall.site, overall.pairs))
        self.assertTrue(abs(overall.mean - 0.11) < 1e-9)
        self.assertTrue(
            abs(overall.half_width - 12.71 * 0.01) < 1e-6, overall.half_width
        )
        self.assertFalse(overall.is_significant)

    def test_difference_of_one_pair_is_not_significant(self):
        (by_site, _) = differences([day_run("a", 0.5), day_run("b", 0.9)], ["a", "b"])
        self.assertTrue(math.isinf(by_site.half_width))
        self.assertFalse(by_site.is_significant)

    def test_report_names_broken_rules(self):
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
