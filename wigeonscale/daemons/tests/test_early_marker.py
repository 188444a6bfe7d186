import pathlib

import fixtures

from wigeonscale.daemons import early_marker
from wigeonscale.daemons.early_marker import mark_first_start
from wigeonscale.replication import files
from wigeonscale.testing import AsyncTestCase

SETTINGS = "[direct-control]\ndata = {data}\nfirst_start = {first_start}\n"


class EarlyMarkerTest(AsyncTestCase):
    """Guards against control replicas that are killed during their first imports."""

    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.path, self.data = folder / "c1.ini", folder / "data"
        self.marker = self.data / files.FIRST_START_NAME

    def mark(self, *, first_start="yes", role="direct-control"):
        text = SETTINGS.format(data=self.data, first_start=first_start)
        self.path.write_text(text)
        return mark_first_start([role, "--config", str(self.path)])

    def test_folder_of_a_first_start_is_marked(self):
        self.assertTrue(self.mark())
        self.assertTrue(self.marker.exists())
        self.assertTrue(self.mark())

    def test_other_folders_are_not_marked(self):
        self.assertFalse(self.mark(first_start="no"))
        self.assertFalse(self.mark(role="direct-entry"))
        self.assertFalse(self.data.exists())
        self.data.mkdir()
        (self.data / files.VOTE_NAME).write_bytes(b"")
        self.assertFalse(self.mark())
        self.assertFalse(self.marker.exists())

    def test_invalid_settings_are_left_to_the_daemon(self):
        role = "direct-control"
        for argv in ([], [role], [role, "--config"], [role, "--config", "/nowhere"]):
            self.assertFalse(mark_first_start(argv), argv)
        self.path.write_text("no ini")
        self.assertFalse(mark_first_start([role, "--config", str(self.path)]))

    def test_names_are_those_of_the_replication(self):
        self.assertEqual(
            (files.FIRST_START_NAME, files.VOTE_NAME),
            (early_marker.MARKER_NAME, early_marker.VOTE_NAME),
        )
