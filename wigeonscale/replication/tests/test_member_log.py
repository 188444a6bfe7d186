from wigeonscale.replication.files import Snapshot
from wigeonscale.replication.member_log import MemberLog
from wigeonscale.replication.model import EntryKind, Member
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.replication.voters import members_to_wire
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

FIRST = (Member("a", "127.0.0.1:1"), Member("b", "127.0.0.1:2"))
SECOND = (*FIRST, Member("c", "127.0.0.1:3"))
THIRD = SECOND[1:]


def change(index, members):
    data = wire.VoterSet(voters=members_to_wire(members)).SerializeToString()
    return wire.LogEntry(index=index, term=1, kind=EntryKind.MEMBERS, data=data)


class MemberLogTest(AsyncTestCase):
    async def test_loads_the_members_of_the_snapshot_and_later_changes(self):
        storage = LogStorage(folder=MemoryFolder())
        await storage.load("disk")
        await storage.save_snapshot(Snapshot(5, 1, SECOND, b""), 6)
        log = MemberLog(initial_members=FIRST)
        log.load(storage)
        self.assertEqual((5, SECOND), (log.index, log.latest))
        storage.append([change(6, THIRD)])
        log.load(storage)
        self.assertEqual((6, THIRD, SECOND), (log.index, log.latest, log.at(5)))
        await storage.close()

    def test_truncated_changes_are_reverted_down_to_the_initial_members(self):
        log = MemberLog(initial_members=FIRST)
        log.add([change(3, SECOND), change(4, THIRD)])
        log.drop_from(4)
        self.assertEqual((3, SECOND), (log.index, log.latest))
        log.drop_from(1)
        self.assertEqual((0, FIRST), (log.index, log.latest))
