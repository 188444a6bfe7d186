import asyncio

from wigeonscale.control.tests.test_registry import RegistryCase, backend
from wigeonscale.wire import wire_pb2 as wire


class WitnessTest(RegistryCase):
    """Entries find an engine unreachable long before control's own probes time out."""

    async def prepare(self):
        await super().prepare()
        self.trusting.add("s")
        await self.registry.announce(backend(domain="a"), 1)

    def report(self, witness, domain="a", incarnation=1):
        suspicion = wire.Suspect(
            agent_id="i-1",
            incarnation=incarnation,
            witness=witness,
            witness_domain=domain if witness else "",
        )
        self.registry.suspect(suspicion, source_role="entry")

    async def test_two_entries_are_enough(self):
        self.report("e1")
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)
        self.report("e2")
        await self.clock.advance(0.02)
        self.assertTrue(self.member().backend.silent)
        self.assertTrue(self.member().backend.may_go_on)

    async def test_one_entry_is_not_enough(self):
        """It may be cut off itself and repeat its report."""
        for _ in range(3):
            self.report("e1")
            await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_entries_of_other_domains_alone_are_not_enough(self):
        """Two domains are cut off from each other, and the engine is alive."""
        self.answering.add("i-1:80")
        for number in range(4):
            self.report(f"e{number}", domain="b")
            await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_reports_without_own_probes_do_not_count(self):
        """Engines refuse requests for lack of capacity, and answer probes."""
        self.answering.add("i-1:80")
        for _ in range(4):
            self.report("")
            await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_reports_of_a_former_incarnation_do_not_count(self):
        self.report("e1", incarnation=7)
        self.report("e2", incarnation=7)
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_old_reports_do_not_count(self):
        self.answering.add("i-1:80")
        self.report("e1")
        await self.clock.advance(0.6)
        self.report("e2")
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_other_services_wait_for_the_probes_of_control(self):
        self.trusting.clear()
        self.report("e1")
        self.report("e2")
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_reports_before_an_answer_do_not_count(self):
        # Guards against an engine that is silent again with each report of one entry,
        # after it answered control.
        self.answering.add("i-1:80")
        self.report("e1")
        await self.clock.advance(0.02)
        self.assertEqual(["i-1:80"], self.probed)
        self.report("e2")
        await self.clock.advance(0)
        self.assertFalse(self.member().backend.silent)
        self.assertEqual(1, len(self.replica.proposed))

    async def test_loss_is_committed_once(self):
        # Guards against a log entry for each of many entries that report the loss.
        for number in range(10):
            self.report(f"e{number}")
        await self.clock.advance(0.02)
        self.assertTrue(self.member().backend.silent)
        self.assertEqual(2, len(self.replica.proposed))

    async def test_answer_while_the_loss_is_being_committed(self):
        # Guards against an engine that stays silent because it answered just before the
        # commit of the reports.
        propose = self.replica.propose
        gate = asyncio.get_running_loop().create_future()

        async def propose_later(data):
            await gate
            return await propose(data)

        self.answering.add("i-1:80")
        self.replica.propose = propose_later
        self.report("e1")
        self.report("e2")
        await self.clock.advance(0.02)
        gate.set_result(None)
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)

    async def test_answer_takes_a_wrong_report_back(self):
        """Packets to several entries were lost, and the engine is alive."""
        gate = asyncio.get_running_loop().create_future()
        answer = self.probe

        async def slow_probe(address, started_ms):
            await gate
            return await answer(address, started_ms)

        self.probe = slow_probe
        self.registry = self.new_registry("c1")
        await self.registry.announce(backend(domain="a"), 2)
        self.answering.add("i-1:80")
        self.report("e1")
        self.report("e2")
        await self.clock.advance(0.02)
        self.assertTrue(self.member().backend.silent)
        gate.set_result(None)
        await self.clock.advance(0.02)
        self.assertFalse(self.member().backend.silent)
