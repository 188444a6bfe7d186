import asyncio
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.model import EntryKind
from wigeonscale.replication.tests.support import Cluster, ClusterCase
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

FUZZ = settings(derandomize=True, database=None, max_examples=100, deadline=None)
NUMBERS = st.one_of(
    st.integers(0, 5), st.integers(-(2**63), 2**63 - 1), st.sampled_from([2**53])
)
ENTRIES = st.builds(
    wire.LogEntry,
    index=NUMBERS,
    term=NUMBERS,
    kind=st.integers(0, 4),
    data=st.binary(max_size=4),
)
CHUNKS = st.builds(
    wire.SnapshotChunk,
    last_index=NUMBERS,
    last_term=NUMBERS,
    offset=NUMBERS,
    data=st.binary(max_size=4),
    final=st.booleans(),
    crc=st.integers(0, 2**32 - 1),
)
APPENDS = st.builds(
    wire.AppendRequest,
    leader_id=st.sampled_from(["a", "b", "x", ""]),
    term=NUMBERS,
    previous_index=NUMBERS,
    previous_term=NUMBERS,
    commit_index=NUMBERS,
    entries=st.lists(ENTRIES, max_size=3),
    snapshot=st.one_of(st.none(), CHUNKS),
    round_us=NUMBERS,
    echo_us=NUMBERS,
    age_us=NUMBERS,
)
VOTES = st.builds(
    wire.VoteRequest,
    node_id=st.sampled_from(["a", "b", "x", ""]),
    term=NUMBERS,
    last_index=NUMBERS,
    last_term=NUMBERS,
    pre_vote=st.booleans(),
)


class FollowerTest(ClusterCase):
    """Append requests that the test itself sends to one follower."""

    async def prepare(self):
        await super().prepare()
        await self.cluster.propose(b"1", b"2")
        await self.cluster.wait_for_commands([b"1", b"2"])
        await self.cluster.clock.advance(1)
        self.name = self.followers[0]
        self.replica = self.cluster.replicas[self.name]
        sent = [req for _, to, req in self.cluster.network.appends if to == self.name]
        self.last = sent[-1]
        await self.cluster.stop(self.leader, self.followers[1])
        self.term, self.index = self.replica.last_position()

    def request(self, **fields):
        req = wire.AppendRequest(leader_id=self.leader, term=self.term)
        req.MergeFrom(wire.AppendRequest(**fields))
        return req

    def entry(self, index, **fields):
        return wire.LogEntry(index=index, term=self.term, **fields)

    async def rejection_kind(self, req):
        before = self.replica.last_position()
        with self.assertRaises(WigeonscaleError) as caught:
            await self.replica.handle_append(req)
        self.assertEqual(before, self.replica.last_position())
        return caught.exception.kind

    async def test_not_fresh_before_all_committed_entries_are_applied(self):
        before = self.replica.fresh_at()
        self.last.age_us = 0
        self.last.commit_index += 5
        await self.replica.handle_append(self.last)
        self.assertEqual(before, self.replica.fresh_at())
        self.last.commit_index -= 5
        await self.replica.handle_append(self.last)
        self.assertTrue(self.replica.fresh_at() > before)

    async def test_invalid_members_are_rejected(self):
        for data in (b"\xff\xff", b""):
            entries = [self.entry(self.index + 1, kind=EntryKind.MEMBERS, data=data)]
            req = self.request(
                previous_index=self.index, previous_term=self.term, entries=entries
            )
            self.assertEqual(ErrorKind.BAD_REQUEST, await self.rejection_kind(req))

    async def test_conflict_with_a_committed_entry_is_rejected(self):
        entry = wire.LogEntry(index=self.index, term=self.term + 1, data=b"x")
        req = self.request(
            previous_index=self.index - 1, previous_term=self.term, entries=[entry]
        )
        req.term += 1
        self.assertEqual(ErrorKind.CORRUPT_LOG, await self.rejection_kind(req))

    async def test_snapshot_with_a_wrong_checksum_is_rejected(self):
        state = self.cluster.machines[self.name].snapshot()
        chunk = wire.SnapshotChunk(
            last_index=50,
            last_term=self.term,
            data=state,
            final=True,
            voters=[wire.Voter(node_id=name, address=name) for name in "abc"],
            crc=zlib.crc32(state) ^ 1,
        )
        reply = await self.replica.handle_append(self.request(snapshot=chunk))
        self.assertFalse(reply.success)
        self.assertTrue(self.replica.applied_index < 50)
        self.assertNotIn("snapshot", self.cluster.folders[self.name].durable)
        chunk.crc ^= 1
        reply = await self.replica.handle_append(self.request(snapshot=chunk))
        self.assertTrue(reply.success)
        self.assertEqual(50, self.replica.applied_index)

    async def test_second_leader_in_a_term_is_rejected(self):
        self.cluster.start(self.followers[1])
        name = await self.cluster.leader()
        leader = self.cluster.replicas[name]
        req = wire.AppendRequest(leader_id="x", term=leader.term)
        with self.assertRaises(WigeonscaleError):
            await leader.handle_append(req)
        self.assertEqual("leader", leader.role)


class FuzzTest(AsyncTestCase):
    """No message of a peer stops a replica or removes a committed entry."""

    @FUZZ
    @given(st.lists(st.one_of(APPENDS, VOTES), max_size=6))
    def test_arbitrary_messages(self, messages):
        asyncio.run(self.feed(messages))

    async def feed(self, messages):
        cluster = Cluster()
        cluster.start()
        try:
            await cluster.propose(b"1", b"2")
            await cluster.wait_for_commands([b"1", b"2"])
            replica = cluster.replicas["c"]
            for message in messages:
                await self.deliver(replica, message)
            self.assertEqual([b"1", b"2"], cluster.machines["c"].commands[:2])
            self.assertFalse(cluster.tasks["c"].done())
        finally:
            await cluster.stop()

    async def deliver(self, replica, message):
        is_vote = isinstance(message, wire.VoteRequest)
        handle = replica.handle_vote if is_vote else replica.handle_append
        try:
            await handle(message)
        except WigeonscaleError:
            return
