import errno
import os

import fixtures
from testscenarios import WithScenarios

from wigeonscale.replication import DiskFolder
from wigeonscale.testing import AsyncTestCase


class FailedDiskTest(WithScenarios, AsyncTestCase):
    """A disk error contains the file name, whichever call raised it."""

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
            raise OSError(errno.EIO, os.strerror(errno.EIO))

        with fixtures.MonkeyPatch(self.failing, fail):
            exc = await self.failure(folder)
        self.assertEqual((errno.EIO, f"{path}/log"), (exc.errno, exc.filename))
        self.assertIn(f"{path}/log", str(exc))

    async def failure(self, folder):
        try:
            result = getattr(folder, self.call)("log", *self.args)
            if result is not None:
                await result
        except OSError as exc:
            return exc
        self.fail("no error was raised")


class FullDiskTest(AsyncTestCase):
    """Writes fail because the disk is full, the first one after half of its bytes."""

    async def prepare(self):
        self.path = self.useFixture(fixtures.TempDir()).path
        self.folder = DiskFolder(path=self.path)
        self.addCleanup(self.folder.close)
        await self.folder.append("log", b"held")
        self.refusals = 3
        self.write = os.write
        patch = fixtures.MonkeyPatch
        self.useFixture(patch("os.write", self.write_or_refuse))
        self.useFixture(patch("wigeonscale.replication.folder.DISK_FULL_RETRY_S", 0))

    def write_or_refuse(self, fd, data):
        if not self.refusals:
            return self.write(fd, data)
        self.refusals -= 1
        if self.refusals == 2:
            return self.write(fd, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    async def test_append_retries_without_leaving_a_partial_write(self):
        await self.folder.append("log", b"more")
        self.assertEqual(0, self.refusals)
        self.assertEqual(b"heldmore", self.folder.read("log"))

    async def test_replace_retries(self):
        await self.folder.replace("log", b"other")
        self.assertEqual(0, self.refusals)
        self.assertEqual(b"other", self.folder.read("log"))
