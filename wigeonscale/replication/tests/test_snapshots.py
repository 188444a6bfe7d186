from wigeonscale.replication import ReplicaOptions
from wigeonscale.replication.tests.support import ClusterCase, numbered_commands


class SnapshotTest(ClusterCase):
    options = ReplicaOptions(snapshot_entries=100)

    async def test_snapshots_and_restarts_with_500_entries(self):
        await self.cluster.propose(*numbered_commands(1, 500))
        for name in "abc":
            await self.cluster.wait_until(
                lambda name=name: "snapshot" in self.cluster.folders[name].durable
            )
            log = self.cluster.folders[name].durable["log"]
            self.assertTrue(log.count(b"\x20") < 250)
        for order in ("abc", "cab"):
            await self.cluster.stop()
            for name in order:
                self.cluster.start(name)
                await self.cluster.clock.advance(0.3)
            await self.cluster.wait_for_commands(numbered_commands(1, 500))

    async def test_lagging_follower_receives_the_snapshot(self):
        lagging = self.followers[0]
        await self.cluster.stop(lagging)
        await self.cluster.propose(*numbered_commands(1, 400))
        self.cluster.start(lagging)
        await self.cluster.wait_for_commands(numbered_commands(1, 400))
        appends = self.cluster.network.appends
        self.assertTrue(
            any(to == lagging and r.HasField("snapshot") for _, to, r in appends)
        )
        await self.cluster.propose(b"401")
        await self.cluster.stop()
        self.cluster.start()
        await self.cluster.wait_for_commands(numbered_commands(1, 401))

    async def test_snapshot_transfer_restarts_with_a_new_leader(self):
        big = [b"%d" % n + b"x" * 10_000 for n in range(150)]
        lagging = self.followers[0]
        await self.cluster.stop(lagging)
        await self.cluster.propose(*big)
        chunks = []

        async def cut_after_two(sender, receiver, req):
            if req.HasField("snapshot") and receiver == lagging:
                chunks.append(req.snapshot.offset)
                if len(chunks) == 3:
                    self.cluster.network.isolate(sender)

        self.cluster.network.before_append = cut_after_two
        self.cluster.start(lagging)
        await self.cluster.wait_for_commands(big, names=[lagging, self.followers[1]])
        self.assertEqual(0, chunks[3])

    async def test_corrupt_snapshot_transfer_is_repeated(self):
        big = [b"%d" % n + b"x" * 10_000 for n in range(150)]
        lagging = self.followers[0]
        await self.cluster.stop(lagging)
        await self.cluster.propose(*big)
        broken = []

        async def break_one(sender, receiver, req):
            if req.snapshot.offset > 0 and not broken:
                broken.append(req.snapshot.offset)
                req.snapshot.data = req.snapshot.data[:-1] + b"?"

        self.cluster.network.before_append = break_one
        self.cluster.start(lagging)
        await self.cluster.wait_for_commands(big)
        self.assertEqual(1, len(broken))
