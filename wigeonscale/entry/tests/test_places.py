"""Which chains are offered new work."""

import random

from wigeonscale.dispatch import Work
from wigeonscale.entry.places import MemberPlaces
from wigeonscale.membership import MembersView
from wigeonscale.routing import Chooser, LoadTable
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class PlacesTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        clock = ManualClock()
        self.members = MembersView()
        self.places = MemberPlaces(
            members=lambda: self.members,
            chooser=Chooser(table=LoadTable(clock=clock), rng=random.Random(1)),
            clock=clock,
        )

    def choose(self, *, draining=False, **fields):
        """Return the choice among one ready chain of two stages."""
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
        return self.places.choose(Work(organisation="o", pipeline="p"), frozenset())

    async def test_only_ready_chains_that_stay_get_new_work(self):
        self.assertEqual("a", self.choose()[0].agent_id)
        self.assertIsNone(self.choose(ready=False))
        self.assertIsNone(self.choose(draining=True))
        self.assertIsNone(self.choose(retiring=True))
        self.assertEqual("a", self.choose()[0].agent_id)
