import importlib.util
import os
import pathlib
import sys

import fixtures

from wigeonscale.cli import precompile, wigeond
from wigeonscale.testing import AsyncTestCase


class PrecompileTest(AsyncTestCase):
    """Precompiled code must be used only if it was compiled from the same sources."""

    async def prepare(self):
        self.folder = self.useFixture(fixtures.TempDir()).path
        self.addCleanup(setattr, sys, "pycache_prefix", sys.pycache_prefix)
        self.before = sys.pycache_prefix

    def compiled(self, source):
        return pathlib.Path(importlib.util.cache_from_source(source))

    async def test_imported_modules_are_compiled_without_docstrings(self):
        precompile.main([self.folder])
        sys.pycache_prefix = self.before
        self.assertTrue(wigeond.use_precompiled(self.folder))
        self.assertEqual(self.folder, sys.pycache_prefix)
        code = self.compiled(wigeond.__file__).read_bytes()
        self.assertNotIn(wigeond.main.__doc__.encode(), code)

    async def test_code_of_other_sources_is_not_used(self):
        precompile.main([self.folder])
        target = self.compiled(wigeond.__file__)
        sys.pycache_prefix = self.before
        content = bytearray(target.read_bytes())
        content[8] ^= 1  # the modification time of the source
        target.write_bytes(content)
        self.assertFalse(wigeond.use_precompiled(self.folder))
        self.assertEqual(self.before, sys.pycache_prefix)

    async def test_missing_folder_is_not_used(self):
        for folder in ("", self.folder, os.path.join(self.folder, "missing")):
            self.assertFalse(wigeond.use_precompiled(folder))
            self.assertEqual(self.before, sys.pycache_prefix)
