import json

from wigeonscale.reports import count_decisions
from wigeonscale.testing import AsyncTestCase


def line(second, message, *, prefix="", **fields):
    at = f"2026-01-01T00:00:{second:06.3f}Z"
    return prefix + json.dumps({"time": at, "message": message, **fields})


class DecisionsTest(AsyncTestCase):
    def test_kinds_without_names_and_numbers_by_window(self):
        report = count_decisions(
            [
                line(1.0, "generation broke: 10.0.0.1:80 refused with 503"),
                line(1.5, "generation broke: 10.0.0.2:80 refused with 503"),
                line(5.5, "generation broke: 10.0.0.1:80 refused with 503"),
                line(3.0, "no route for '/a b' at 'h.example'", status=404),
            ],
            every_s=2.0,
        )
        shown = [(row.kind, row.counts) for row in report.rows]
        self.assertEqual(
            [
                ("generation broke: N refused with N", (2, 0, 1)),
                ("no route for N at N [404]", (0, 1, 0)),
            ],
            shown,
        )
        self.assertEqual("2026-01-01T00:00:01.000+00:00", report.began_at)

    def test_lists_of_names_count_as_one_kind(self):
        report = count_decisions(
            [line(1, "full: i-1, i-2, i-3"), line(2, "full: i-4")], every_s=1.0
        )
        self.assertEqual(["full: N"], [row.kind for row in report.rows])

    def test_sends_per_request_and_blamed_engines(self):
        report = count_decisions(
            [
                line(1, "sent", request_id="r1", sends=1),
                line(1, "broke", request_id="r1", blamed="i-7", outcome="not-run"),
                line(1, "sent", request_id="r1", sends=2),
                line(1, "sent", request_id="r2", sends=1),
            ],
            every_s=1.0,
        )
        self.assertEqual({1: 1, 2: 1}, report.sends)
        self.assertEqual({"i-7": 1}, report.blamed)
        self.assertIn("broke [not-run]", [row.kind for row in report.rows])

    def test_text_before_the_record_is_ignored(self):
        report = count_decisions([line(1, "ready", prefix="  1.5 e1 ")], every_s=1.0)
        self.assertEqual(0, report.unread)
        self.assertEqual("ready", report.rows[0].kind)

    def test_lines_that_are_not_records_are_counted(self):
        lines = ["Traceback", "{", "[1]", '{"time": 3, "message": "x"}', "", "{}"]
        report = count_decisions(lines, every_s=1.0)
        self.assertEqual((5, ()), (report.unread, report.rows))
