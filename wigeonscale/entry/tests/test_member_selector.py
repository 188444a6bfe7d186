"""Selection of members for new work."""

import random

from wigeonscale.dispatch import Work
from wigeonscale.entry.member_selector import MemberSelector
from wigeonscale.membership import MembersView
from wigeonscale.routing import Chooser, LoadTable, PrefixView
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class MemberSelectorTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        clock = ManualClock()
        self.members = MembersView()
        self.table, self.view = LoadTable(clock=clock), PrefixView()
        chooser = Chooser(table=self.table, rng=random.Random(1), view=self.view)
        self.selector = MemberSelector(
            members=lambda: self.members, chooser=chooser, clock=clock
        )

    def choose(self, *, draining=False, **fields):
        """Return the selection with one chain of two stages as the only chain."""
        stages = [wire.Stage(agent_id=agent_id) for agent_id in "ab"]
        fields = {"ready": True} | fields
        chain = wire.Chain(chain_id="c", pipeline="p", stages=stages, **fields)
        backends = [
            wire.Backend(agent_id="a"),
            wire.Backend(agent_id="b", draining=draining),
        ]
        update = wire.MembersUpdate(
            full=True,
            index=self.members.index + 1,
            chains=[chain],
            backends=backends,
        )
        self.members.apply(update)
        return self.selector.choose(Work(organisation="o", pipeline="p"), frozenset())

    async def test_only_ready_chains_without_draining_stages_get_work(self):
        self.assertEqual("a", self.choose()[0].agent_id)
        self.assertIsNone(self.choose(ready=False))
        self.assertIsNone(self.choose(draining=True))
        self.assertIsNone(self.choose(retiring=True))
        self.assertEqual("a", self.choose()[0].agent_id)

    def test_data_about_removed_agents_is_discarded(self):
        load = wire.LoadWord(running=9, slots=4)
        for agent_id in ("a", "gone", "gone but used"):
            self.table.update_load(agent_id, load)
            self.view.apply_event(agent_id, 1, b"x", held=True)
        self.table.started("gone but used")
        self.choose()
        self.assertEqual(9, self.table.backlog("a"))
        self.assertEqual(0, self.table.backlog("gone"))
        self.assertEqual(10, self.table.backlog("gone but used"))
        self.assertTrue(self.view.holds("a", b"x"))
        self.assertFalse(self.view.holds("gone", b"x"))
        self.table.finished("gone but used")
        self.choose()
        self.assertEqual(0, self.table.backlog("gone but used"))

    def test_leaving_is_cleared_when_the_agent_is_back(self):
        stays = wire.Backend(agent_id="a", incarnation=1)
        leaves = wire.Backend(agent_id="a", incarnation=1, draining=True)
        restarted = wire.Backend(agent_id="a", incarnation=2)
        for back in (stays, restarted):
            self.set_backend(stays)
            self.table.update_load("a", wire.LoadWord(leaving=True))
            self.set_backend(stays)  # unrelated update: the load report is newer
            self.assertTrue(self.table.leaving("a"))
            self.set_backend(leaves)
            self.assertTrue(self.table.leaving("a"))
            self.set_backend(back)
            self.assertFalse(self.table.leaving("a"))

    def set_backend(self, backend):
        """Make one backend server the only member and update the selector."""
        index = self.members.index + 1
        update = wire.MembersUpdate(full=True, index=index, backends=[backend])
        self.members.apply(update)
        self.selector.choose(Work(organisation="o", pipeline="p"), frozenset())
