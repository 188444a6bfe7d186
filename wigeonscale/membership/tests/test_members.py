from wigeonscale.membership import MembersView
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def service(agent_id, name="directory", incarnation=1):
    return wire.Backend(
        agent_id=agent_id, incarnation=incarnation, kind=wire.SERVICE, service=name
    )


def chain(chain_id, pipeline="p", epoch=1):
    return wire.Chain(chain_id=chain_id, pipeline=pipeline, epoch=epoch)


class MembersViewTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.view = MembersView()
        self.update(
            full=True,
            backends=[
                service("s1"),
                service("s2"),
                wire.Backend(agent_id="e1", kind=wire.ENGINE),
            ],
            chains=[chain("c1"), chain("c2"), chain("c3", "q")],
        )

    def update(self, **fields):
        self.view.apply(wire.MembersUpdate(**fields))

    def ids(self):
        return (
            sorted(self.view.backends),
            [each.agent_id for each in self.view.backends_of("directory")],
            [each.chain_id for each in self.view.chains_of("p")],
            [each.chain_id for each in self.view.chains_of("q")],
        )

    def test_full_update_is_indexed(self):
        want = (["e1", "s1", "s2"], ["s1", "s2"], ["c1", "c2"], ["c3"])
        self.assertEqual(want, self.ids())
        self.assertEqual(["e1"], [each.agent_id for each in self.view.spares])

    def test_delta_removes_and_adds(self):
        self.update(
            index=9,
            removed_backends=["s1", "gone"],
            removed_chains=["c3"],
            backends=[service("s3")],
            chains=[chain("c4", "q")],
        )
        want = (["e1", "s2", "s3"], ["s2", "s3"], ["c1", "c2"], ["c4"])
        self.assertEqual(want, self.ids())
        self.assertEqual(9, self.view.index)
        self.assertEqual(["e1"], [each.agent_id for each in self.view.spares])
        used = chain("c5")
        used.stages.add(agent_id="e1")
        self.update(chains=[used])
        self.assertEqual([], self.view.spares)

    def test_copy_is_independent(self):
        other, before = self.view.copy(), self.ids()
        update = wire.MembersUpdate(
            removed_backends=["s1"], removed_chains=["c1"], backends=[service("s7")]
        )
        other.apply(update)
        self.assertEqual(before, self.ids())
        self.update(removed_backends=["s1"], removed_chains=["c1"])
        self.update(backends=[service("s7")])
        self.view, after = other, self.ids()
        self.assertEqual(after, self.ids())

    def test_changed_message_moves_between_groups(self):
        self.update(backends=[service("s1", "other")], chains=[chain("c1", "q", 2)])
        want = (["e1", "s1", "s2"], ["s2"], ["c2"], ["c3", "c1"])
        self.assertEqual(want, self.ids())
        self.assertEqual(2, self.view.chains_of("q")[1].epoch)

    def test_full_update_replaces_everything(self):
        self.update(full=True, chains=[chain("c9")])
        self.assertEqual(([], [], ["c9"], []), self.ids())

    def test_delta_keeps_cached_lists_of_other_groups(self):
        before = self.view.chains_of("p")
        self.update(chains=[chain("c4", "q")], backends=[service("s9")])
        self.assertIs(before, self.view.chains_of("p"))
