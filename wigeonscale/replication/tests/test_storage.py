import asyncio

from wigeonscale.replication.files import Admission, Snapshot, VoteState
from wigeonscale.replication.model import EntryKind
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.tests.memory_folder import MemoryFolder, last_record_offset
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def entries(first, last, term=1):
    return [
        wire.LogEntry(index=i, term=term, kind=EntryKind.COMMAND, data=b"%d" % i)
        for i in range(first, last + 1)
    ]


class StorageTest(AsyncTestCase):
    async def prepare(self):
        self.folder = MemoryFolder()
        self.storage = LogStorage(folder=self.folder)
        self.addCleanup(self.storage.close)
        await self.storage.load("disk-1")
        self.vote = VoteState(3, "b", "disk-1", Admission.ADMITTED)
        await self.storage.save_vote(self.vote)
        self.storage.append(entries(1, 9))
        await self.storage.sync()

    async def reload(self, folder=None):
        storage = LogStorage(folder=folder or self.folder.crash())
        self.addCleanup(storage.close)
        damage = await storage.load("disk-2")
        return storage, damage

    async def test_unsynced_entries_are_lost_and_synced_ones_kept(self):
        self.storage.append(entries(10, 12))
        storage, damage = await self.reload()
        self.assertEqual((9, "", self.vote), (storage.last_index, damage, storage.vote))

    async def test_concurrent_syncs_are_grouped(self):
        self.folder.writable.clear()
        before = self.storage.syncs
        syncs = []
        for index in range(10, 30):
            self.storage.append(entries(index, index))
            syncs.append(asyncio.create_task(self.storage.sync()))
            await asyncio.sleep(0)
        self.folder.writable.set()
        await asyncio.gather(*syncs)
        self.assertTrue(self.storage.syncs - before <= 2)
        self.assertEqual(29, self.storage.synced_index)

    async def test_torn_tail_is_dropped(self):
        offset = last_record_offset(self.folder)
        whole = self.folder.durable["log"]
        for size in range(offset, len(whole)):
            folder = self.folder.crash()
            folder.durable["log"] = whole[:size]
            storage, damage = await self.reload(folder)
            self.assertEqual((8, ""), (storage.last_index, damage))
            self.assertEqual(Admission.ADMITTED, storage.vote.admission)
            storage.append(entries(9, 10, term=2))
            await storage.sync()
            storage, _ = await self.reload(folder.crash())
            self.assertEqual((2, 10), (storage.last_term, storage.last_index))

    async def test_flipped_byte_removes_the_vote_and_is_located(self):
        for offset in range(len(self.folder.durable["log"])):
            folder = self.folder.crash()
            folder.flip_byte("log", offset)
            storage, damage = await self.reload(folder)
            self.assertIn("log: ", damage)
            self.assertEqual(Admission.AWAITING, storage.vote.admission)
            self.assertEqual(
                ("disk-2", 3), (storage.vote.storage_id, storage.vote.term)
            )
            self.assertTrue(storage.last_index < 9)
            self.assertIn("log.damaged", folder.durable)
            again, damage = await self.reload(folder.crash())
            self.assertEqual(("", storage.vote), (damage, again.vote))

    async def test_crash_while_backing_up_damaged_files_leaves_no_vote(self):
        self.folder.flip_byte("log", 60)
        folder = self.folder.crash()
        for stop_after in range(4):
            attempt = folder.crash()
            attempt.fail_after(stop_after)
            await self.assert_load_fails(attempt)
            storage, _ = await self.reload(attempt.crash())
            self.assertEqual(Admission.AWAITING, storage.vote.admission)

    async def assert_load_fails(self, folder):
        storage = LogStorage(folder=folder)
        self.addCleanup(storage.close)
        with self.assertRaises(OSError):
            await storage.load("disk-x")

    async def test_missing_file_is_damage(self):
        for name in ("vote", "log"):
            folder = self.folder.crash()
            del folder.durable[name]
            storage, damage = await self.reload(folder)
            self.assertIn(f"{name}: missing", damage)
            self.assertEqual(Admission.AWAITING, storage.vote.admission)

    async def test_truncated_entries_do_not_come_back(self):
        await self.storage.truncate_from(5)
        self.storage.append(entries(5, 6, term=3))
        await self.storage.sync()
        storage, _ = await self.reload()
        self.assertEqual((3, 6), (storage.last_term, storage.last_index))
        self.assertEqual(1, storage.term_at(4))

    async def test_snapshot_compacts_the_log_and_survives_a_crash_between_the_writes(
        self,
    ):
        old_log = self.folder.durable["log"]
        await self.storage.save_snapshot(Snapshot(6, 1, (), b"state"), keep_from=5)
        self.assertEqual((4, 9), (self.storage.base_index, self.storage.last_index))
        storage, damage = await self.reload()
        self.assertEqual((4, 9, ""), (storage.base_index, storage.last_index, damage))
        folder = self.folder.crash()
        folder.durable["log"] = old_log
        storage, damage = await self.reload(folder)
        self.assertEqual((9, ""), (storage.last_index, damage))
        self.assertEqual(b"state", storage.snapshot.data)

    async def test_snapshot_beyond_the_log_replaces_it(self):
        await self.storage.save_snapshot(Snapshot(20, 2, (), b"state"), keep_from=21)
        await self.storage.save_snapshot(Snapshot(8, 1, (), b"late"), keep_from=1)
        storage, damage = await self.reload()
        self.assertEqual(b"state", storage.snapshot.data)
        self.assertEqual((20, 2, ""), (storage.last_index, storage.last_term, damage))

    async def test_corrupt_snapshot_drops_the_log_that_depends_on_it(self):
        await self.storage.save_snapshot(Snapshot(6, 1, (), b"state"), keep_from=7)
        self.folder.flip_byte("snapshot", 20)
        storage, damage = await self.reload()
        self.assertIn("snapshot: checksum does not match", damage)
        self.assertEqual((0, None), (storage.last_index, storage.snapshot))

    async def test_cancelled_caller_leaves_memory_and_disk_consistent(self):
        self.folder.writable.clear()
        self.storage.append(entries(10, 10))
        task = asyncio.create_task(self.storage.sync())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.storage.append(entries(11, 11))
        self.folder.writable.set()
        await self.storage.sync()
        storage, damage = await self.reload()
        self.assertEqual((11, ""), (storage.last_index, damage))

    async def test_nothing_is_written_after_a_failed_sync(self):
        self.folder.fail_after(0)
        self.storage.append(entries(10, 10))
        with self.assertRaises(OSError):
            await self.storage.sync()
        self.folder.fail_after(None)
        with self.assertRaises(OSError):
            await self.storage.save_vote(VoteState(term=4))
        self.assertEqual(9, self.storage.synced_index)
