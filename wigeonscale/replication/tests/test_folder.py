import errno
import os

import fixtures
from testscenarios import WithScenarios

from wigeonscale.replication import DiskFolder
from wigeonscale.testing import AsyncTestCase


class FailedDiskTest(WithScenarios, AsyncTestCase):
    """The error of a disk names the file, whatever call it came from."""

    scenarios = [
        ("read", {"call": "read", "args": (), "failing": "pathlib.Path.read_bytes"}),
        ("write", {"call": "append", "args": (b"x",), "failing": "os.write"}),
        ("sync", {"call": "append", "args": (b"x",), "failing": "os.fsync"}),
        ("replace", {"call": "replace", "args": (b"x",), "failing": "os.fsync"}),
        ("truncate", {"call": "truncate", "args": (0,), "failing": "os.ftruncate"}),
    ]

    async def test_error_names_the_file(self):
        path = self.useFixture(fixtures.TempDir()).path
        folder = DiskFolder(path=path)
        self.addCleanup(folder.close)
        await folder.replace("log", b"held")

        def fail(*args):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        with fixtures.MonkeyPatch(self.failing, fail):
            exc = await self.failure(folder)
        self.assertEqual((errno.ENOSPC, f"{path}/log"), (exc.errno, exc.filename))
        self.assertIn(f"{path}/log", str(exc))

    async def failure(self, folder):
        try:
            result = getattr(folder, self.call)("log", *self.args)
            if result is not None:
                await result
        except OSError as exc:
            return exc
        self.fail("no error was raised")
