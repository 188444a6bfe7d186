import asyncio

from wigeonscale.control import Commands, ReplicaMembership
from wigeonscale.control.replica_membership import member_to_remove
from wigeonscale.control.tests.support import FakeReplica
from wigeonscale.replication import Member, Role
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


def members(names, waiting=""):
    return [Member(name, name, voting=name not in waiting) for name in names]


class RemovalTest(AsyncTestCase):
    def test_one_of_three_is_removed_only_for_a_candidate(self):
        silence_s = {"b": 0.1, "c": 9.0}
        trio = members("abc")
        self.assertIsNone(member_to_remove(trio, silence_s, has_candidate=False))
        self.assertEqual("c", member_to_remove(trio, silence_s, has_candidate=True))

    def test_silent_fourth_member_is_removed(self):
        silence_s = {"b": 0.1, "c": 9.0, "d": 0.1}
        self.assertEqual(
            "c", member_to_remove(members("abcd"), silence_s, has_candidate=False)
        )

    def test_none_is_removed_without_a_responsive_majority(self):
        silence_s = {"b": 9.0, "c": 8.0}
        self.assertIsNone(
            member_to_remove(members("abc"), silence_s, has_candidate=True)
        )

    def test_short_silence_is_tolerated(self):
        silence_s = {"b": 0.1, "c": 2.0}
        self.assertIsNone(
            member_to_remove(members("abc"), silence_s, has_candidate=True)
        )

    def test_member_with_longest_silence_is_removed_first(self):
        silence_s = {"b": 0.1, "c": 5.0, "d": 9.0, "e": 0.1}
        self.assertEqual(
            "d", member_to_remove(members("abcde"), silence_s, has_candidate=False)
        )

    def test_member_without_a_vote_does_not_count_for_a_majority(self):
        silence_s = {"b": 9.0, "c": 0.1}
        trio = members("abc", waiting="c")
        self.assertIsNone(member_to_remove(trio, silence_s, has_candidate=True))


class MemberReplica(FakeReplica):
    """Fake whose members and time since a message of the leader can be set."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.leader_silence_s = 0.0
        self.changes = []

    def seconds_since_leader_contact(self):
        return self.leader_silence_s

    async def change_members(self, *, add=None, remove=None):
        self.changes.append(add.node_id if add else f"-{remove}")
        self.peers = [peer for peer in self.peers if peer.node_id != remove]
        if add:
            self.peers.append(Member(add.node_id, add.address, voting=False))


class MembershipCase(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        state = ControlState()
        self.replica = MemberReplica(state=state, clock=self.clock)
        self.replica.peers = members("abc")
        self.commands = Commands(
            replica=self.replica, addresses=["a"], clock=self.clock
        )
        self.addCleanup(self.commands.close)
        self.dialed = []
        self.replies = {}
        self.membership = ReplicaMembership(
            node_id="a",
            address="a",
            seeds=["a", "b", "s"],
            replica=self.replica,
            commands=self.commands,
            clock=self.clock,
            dial=self.dial,
        )
        self.task = asyncio.create_task(self.membership.run())
        self.addCleanup(self.stop)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def dial(self, address, req):
        self.dialed.append(address)
        return self.replies.get(address)


class LeaderTest(MembershipCase):
    async def test_leader_admits_a_replica_once(self):
        self.replica.silence_s = {"b": 0.0, "c": 0.0, "d": 0.0}
        req = wire.JoinRequest(node_id="d", address="d")
        for _ in range(2):
            self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["d"], self.replica.changes)

    async def test_candidate_replaces_a_lost_member(self):
        self.replica.silence_s = {"b": 0.0, "c": 60.0, "d": 0.0}
        await self.clock.advance(4.0)
        req = wire.JoinRequest(node_id="d", address="d")
        self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["-c", "d"], self.replica.changes)

    async def test_new_leader_gives_members_time_to_reply(self):
        self.replica.silence_s = {"b": 0.0, "c": 60.0, "d": 0.0}
        req = wire.JoinRequest(node_id="d", address="d")
        self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["d"], self.replica.changes)
        await self.clock.advance(4.0)
        self.assertEqual(["d", "-c"], self.replica.changes)

    async def test_follower_returns_the_leader(self):
        self.replica.role = Role.FOLLOWER
        self.replica.leader_address = "b"
        reply = await self.membership.answer(wire.JoinRequest(node_id="d", address="d"))
        self.assertFalse(reply.taken)
        self.assertEqual("b", reply.leader)
        self.assertEqual(["a", "b", "c"], list(reply.control))


class NoLeaderTest(MembershipCase):
    async def prepare(self):
        await super().prepare()
        self.replica.role = Role.FOLLOWER

    async def test_sends_no_join_request_while_a_leader_sends_messages(self):
        await self.clock.advance(10)
        self.assertEqual([], self.dialed)

    async def test_asks_members_and_seeds_and_follows_redirects(self):
        self.replica.leader_silence_s = 5.0
        self.replies["c"] = wire.JoinReply(leader="x", control=["x", "y"])
        self.replies["x"] = wire.JoinReply(taken=True)
        await self.clock.advance(0.6)
        self.assertEqual(["b", "c", "x"], self.dialed)

    async def test_changed_seeds_are_used(self):
        self.replica.leader_silence_s = 5.0
        self.membership.follow_seeds(["n"])
        await self.clock.advance(0.6)
        self.assertEqual(["b", "c", "n"], self.dialed)
