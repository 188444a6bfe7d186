import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.errors import WigeonscaleError
from wigeonscale.replication.tests.support import Cluster
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


class FuzzTest(AsyncTestCase):
    """No message of a peer ends a replica, and none uncommits a commit."""

    @FUZZ
    @given(st.lists(st.one_of(APPENDS, VOTES), max_size=6))
    def test_any_messages(self, messages):
        asyncio.run(self.feed(messages))

    async def feed(self, messages):
        cluster = Cluster()
        cluster.start()
        try:
            await cluster.propose(b"1", b"2")
            await cluster.until_equal([b"1", b"2"])
            replica = cluster.replicas["c"]
            for message in messages:
                await self.hand_over(replica, message)
            self.assertEqual([b"1", b"2"], cluster.machines["c"].commands[:2])
            self.assertFalse(cluster.tasks["c"].done())
        finally:
            await cluster.stop()

    async def hand_over(self, replica, message):
        is_vote = isinstance(message, wire.VoteRequest)
        handle = replica.handle_vote if is_vote else replica.handle_append
        try:
            await handle(message)
        except WigeonscaleError:
            return
