from wigeonscale.replication.tests.support import Cluster
from wigeonscale.testing import AsyncTestCase


class ReplicaTest(AsyncTestCase):
    async def prepare(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.start()

    async def test_commit_reaches_all(self):
        await self.cluster.propose(b"1", b"2")
        await self.cluster.until_equal([b"1", b"2"])
        self.assertEqual(1, len(self.cluster.leaders()))

    async def test_restart_of_all_keeps_commits(self):
        await self.cluster.propose(b"1", b"2")
        await self.cluster.stop()
        self.cluster.start()
        await self.cluster.propose(b"3")
        await self.cluster.until_equal([b"1", b"2", b"3"])
