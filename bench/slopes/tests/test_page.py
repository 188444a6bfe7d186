import pathlib

import fixtures

from bench.slopes.fit import fit
from bench.slopes.page import BEGIN, END, replace_between_markers, table
from wigeonscale.testing import AsyncTestCase


class PageTest(AsyncTestCase):
    def _page(self, text: str) -> pathlib.Path:
        folder = self.useFixture(fixtures.TempDir()).path
        page = pathlib.Path(folder) / "page.md"
        page.write_text(text)
        return page

    def test_only_text_between_the_markers_is_replaced(self):
        page = self._page(f"before\n{BEGIN}\nold\n{END}\nafter\n")
        replace_between_markers(page, "new")
        self.assertEqual(f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n", page.read_text())

    def test_page_without_each_marker_once_is_unchanged(self):
        broken = (
            "",
            BEGIN,
            f"{END}\n{BEGIN}",
            f"{BEGIN}{END}{END}",
            f"{BEGIN * 2}{END}",
        )
        for text in broken:
            page = self._page(text)
            self.assertRaises(ValueError, replace_between_markers, page, "new")
            self.assertEqual(text, page.read_text())

    def test_table_has_command_points_and_fit(self):
        slope = fit("entry: memory", "rule", "MB", [(0, 1.0), (10, 2.0), (20, 3.0)])
        text = table({"changes": [slope]}, "Run of today")
        row = "| entry: memory | 0: 1, 10: 2, 20: 3 | rule | 0.1 MB | 1 MB | 0 MB |"
        self.assertIn(row, text)
        self.assertIn("`python -m bench.slopes changes`", text)
        self.assertTrue(text.startswith("Run of today"))
