"""A data folder in memory with simulated slow, full and lost disks."""

import asyncio
import errno

from wigeonscale.replication.records import HEADER_BYTES


class MemoryFolder:
    """Data folder in memory; unsynced data is lost in :meth:`crash`."""

    def __init__(self, *, files=None):
        self.durable = dict(files or {})
        self.writable = asyncio.Event()
        self.writable.set()
        self._writes_left = None
        self._failing = None  # name of the file whose writes fail

    def read(self, name):
        return self.durable.get(name)

    async def append(self, name, data):
        try:
            await self._sync(name)
        finally:  # a write in a thread also completes after its awaiter is cancelled
            if self._writes_left != 0 and name != self._failing:
                self.durable[name] = self.durable.get(name, b"") + data

    async def replace(self, name, data):
        await self._sync(name)
        self.durable[name] = data

    async def truncate(self, name, size):
        await self._sync(name)
        self.durable[name] = self.durable[name][:size]

    def close(self):
        pass

    def fail_after(self, writes):
        """Make all writes fail after this number of them; None: no limit."""
        self._writes_left = writes

    def fail_on(self, name):
        """Make all writes to one file fail."""
        self._failing = name

    def flip_byte(self, name, offset):
        data = bytearray(self.durable[name])
        data[offset] ^= 0xFF
        self.durable[name] = bytes(data)

    def crash(self):
        """Return the folder as the next process would find it."""
        return MemoryFolder(files=self.durable)

    async def _sync(self, name):
        if self._writes_left == 0 or name == self._failing:
            raise OSError(errno.ENOSPC, "injected fault", name)
        if self._writes_left is not None:
            self._writes_left -= 1
        await self.writable.wait()


def last_record_offset(folder, name="log"):
    """Return the offset of the last record of a file, in bytes."""
    data = folder.read(name)
    offset = 0
    while True:
        length = int.from_bytes(data[offset : offset + 4], "little")
        after = offset + HEADER_BYTES + length
        if after >= len(data):
            return offset
        offset = after
