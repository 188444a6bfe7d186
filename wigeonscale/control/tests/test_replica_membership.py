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
    def test_one_of_three_only_when_another_waits(self):
        silences = {"b": 0.1, "c": 9.0}
        trio = members("abc")
        self.assertIsNone(member_to_remove(trio, silences, has_candidate=False))
        self.assertEqual("c", member_to_remove(trio, silences, has_candidate=True))

    def test_a_fourth_that_is_silent(self):
        silences = {"b": 0.1, "c": 9.0, "d": 0.1}
        self.assertEqual(
            "c", member_to_remove(members("abcd"), silences, has_candidate=False)
        )

    def test_never_while_the_rest_is_no_majority(self):
        silences = {"b": 9.0, "c": 8.0}
        self.assertIsNone(
            member_to_remove(members("abc"), silences, has_candidate=True)
        )

    def test_a_short_silence_is_none(self):
        silences = {"b": 0.1, "c": 2.0}
        self.assertIsNone(
            member_to_remove(members("abc"), silences, has_candidate=True)
        )

    def test_longest_silence_first(self):
        silences = {"b": 0.1, "c": 5.0, "d": 9.0, "e": 0.1}
        self.assertEqual(
            "d", member_to_remove(members("abcde"), silences, has_candidate=False)
        )

    def test_one_without_a_vote_is_no_majority(self):
        silences = {"b": 9.0, "c": 0.1}
        trio = members("abc", waiting="c")
        self.assertIsNone(member_to_remove(trio, silences, has_candidate=True))


class MemberReplica(FakeReplica):
    """Its members can be changed; it hears a leader if a test says so."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.silence_of_leader = 0.0
        self.changes = []

    def seconds_since_leader_contact(self):
        return self.silence_of_leader

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
        self.asked = []
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
        self.asked.append(address)
        return self.replies.get(address)


class LeaderTest(MembershipCase):
    async def test_takes_in_a_replica_once(self):
        self.replica.silences = {"b": 0.0, "c": 0.0, "d": 0.0}
        req = wire.JoinRequest(node_id="d", address="d")
        for _ in range(2):
            self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["d"], self.replica.changes)

    async def test_in_place_of_one_that_is_gone(self):
        self.replica.silences = {"b": 0.0, "c": 60.0, "d": 0.0}
        await self.clock.advance(4.0)
        req = wire.JoinRequest(node_id="d", address="d")
        self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["-c", "d"], self.replica.changes)

    async def test_a_new_leader_gives_members_time_to_speak(self):
        self.replica.silences = {"b": 0.0, "c": 60.0, "d": 0.0}
        req = wire.JoinRequest(node_id="d", address="d")
        self.assertTrue((await self.membership.answer(req)).taken)
        self.assertEqual(["d"], self.replica.changes)
        await self.clock.advance(4.0)
        self.assertEqual(["d", "-c"], self.replica.changes)

    async def test_a_follower_names_the_leader(self):
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

    async def test_asks_nobody_while_a_leader_is_heard(self):
        await self.clock.advance(10)
        self.assertEqual([], self.asked)

    async def test_asks_members_and_seeds_and_follows_their_word(self):
        self.replica.silence_of_leader = 5.0
        self.replies["c"] = wire.JoinReply(leader="x", control=["x", "y"])
        self.replies["x"] = wire.JoinReply(taken=True)
        await self.clock.advance(0.6)
        self.assertEqual(["b", "c", "x"], self.asked)

    async def test_new_seeds_of_the_settings(self):
        self.replica.silence_of_leader = 5.0
        self.membership.follow_seeds(["n"])
        await self.clock.advance(0.6)
        self.assertEqual(["b", "c", "n"], self.asked)
