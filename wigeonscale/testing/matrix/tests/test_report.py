"""The table shows cells that ran, were violated or were not run."""

import contextlib
import io

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.matrix.report import print_table
from wigeonscale.testing.matrix.runner import CellResult


class ReportTest(AsyncTestCase):
    def show(self, *results):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = print_table(results)
        return code, out.getvalue().splitlines()

    def test_violation_is_counted_and_fails(self):
        code, lines = self.show(
            CellResult(fault="kill", step="decode", runs=2, violations=["late"]),
            CellResult(fault="kill", step="dispatch", runs=3),
            CellResult(fault="freeze", step="decode", reason="no way"),
        )
        self.assertEqual(1, code)
        self.assertEqual(["dispatch", "decode"], lines[0].split())
        self.assertEqual(["kill", "3/0", "2/1"], lines[1].split())
        self.assertEqual(["freeze", "not", "run", "not", "run"], lines[2].split())
        self.assertIn("not run: freeze / decode: no way", lines)
        self.assertIn("violation: kill / decode: late", lines)
        self.assertEqual("matrix: cells=3 proved=1 violations=1 not_run=1", lines[-1])

    def test_all_proved_passes(self):
        code, lines = self.show(CellResult(fault="kill", step="decode", runs=1))
        self.assertEqual(0, code)
        self.assertEqual("matrix: cells=1 proved=1 violations=0 not_run=0", lines[-1])
