import asyncio
import ipaddress
import os
import pathlib
import random
import signal
import subprocess
from types import SimpleNamespace
from unittest import mock

import fixtures

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.deployment import Deployment, Node, loopback_ip
from wigeonscale.testing.soak.faults import (
    LINK_KINDS,
    NODE_KINDS,
    Fault,
    draw_faults,
    inject,
)
from wigeonscale.testing.soak.invariants import InvariantChecker
from wigeonscale.testing.soak.notices import NoticeChecker, draw_notices
from wigeonscale.testing.soak.run import run_soak

# Seeds that failed before, each with its cause.
REGRESSION_SEEDS = (
    305,  # SIGHUP during start-up terminated an entry
    308,  # SIGHUP during start-up terminated a control replica
    7,  # an empty control replica was ready before it might vote
)
LOAD_S = 3.0


class InvariantCheckerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.checker = InvariantChecker()
        self.checker.at_most_once_ids.add("r1")

    def test_second_run_of_at_most_once_request(self):
        self.checker.record_run("r1")
        self.assertEqual([], self.checker.violations)
        self.checker.record_run("r1")
        self.assertEqual(["r1 ran twice"], self.checker.violations)

    def test_other_requests_may_run_again(self):
        for _ in range(2):
            self.checker.record_run("r2")
        self.assertEqual([], self.checker.violations)

    def test_not_run_answer_before_or_after_a_run(self):
        self.checker.record_run("r1")
        self.checker.record_answer("r1", 503)
        self.checker.at_most_once_ids.add("r2")
        self.checker.record_answer("r2", 429)
        self.checker.record_run("r2")
        self.assertEqual(2, len(self.checker.violations))

    def test_failure_that_may_have_run(self):
        self.checker.record_run("r1")
        self.checker.record_answer("r1", 502)
        self.assertEqual([], self.checker.violations)

    def test_configuration_never_decreases(self):
        self.checker.record_acknowledged(5)
        self.checker.record_acknowledged(3)
        self.checker.record_read(5, self.checker.acknowledged)
        self.assertEqual([], self.checker.violations)
        self.checker.record_read(4, self.checker.acknowledged)
        self.assertEqual(1, len(self.checker.violations))

    def test_every_layer_once_in_order(self):
        self.checker.record_path("r1", [(0, 3), (3, 8)], 8)
        self.assertEqual([], self.checker.violations)
        for wrong in ([(0, 3), (4, 8)], [(0, 4), (3, 8)], [(3, 8), (0, 3)], [(0, 7)]):
            self.checker.record_path("r1", wrong, 8)
        self.assertEqual(4, len(self.checker.violations))

    def test_crashes_after_the_request_must_be_refused(self):
        for at in (1.0, 2.0, 3.0, 5.9, 6.1, 6.2, 6.3):
            self.checker.record_crash(b"crash", at)
        self.checker.check_crashes()
        self.assertEqual([], self.checker.violations)
        self.checker.record_crash(b"crash", 9.0)
        self.checker.check_crashes()
        self.assertEqual(1, len(self.checker.violations))

    def test_crashes_after_the_part_must_be_refused(self):
        for at in (1.0, 2.0, 3.0, 4.0, 5.0, 7.9, 8.1, 8.2, 8.3):
            self.checker.record_crash(b"part", at, is_part=True)
        self.checker.check_crashes()
        self.assertEqual([], self.checker.violations)
        self.checker.record_crash(b"part", 9.0, is_part=True)
        self.checker.check_crashes()
        self.assertEqual(1, len(self.checker.violations))

    def test_complete_answers(self):
        self.checker.record_success("r1", b"ab", b"ab")
        self.assertEqual([], self.checker.violations)
        self.checker.record_success("r1", b"a", b"ab")
        self.assertEqual(1, len(self.checker.violations))


class NoticeCheckerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.checker = NoticeChecker()

    def receive_notice(self, entry, server, header, at):
        self.checker.record_sent("r0", entry, at - 0.2)
        self.checker.record_notice("r0", server, {header: "1"}, at - 0.1)
        self.checker.record_answer("r0", at)

    def send_request(self, entry, server, sent_at, at):
        request_id = f"r{sent_at}"
        self.checker.record_sent(request_id, entry, sent_at)
        self.checker.record_arrival(request_id, server, at)

    def test_leaving_server(self):
        self.receive_notice("e1", "i", "Server-Leaving", 10.0)
        self.send_request("e1", "i", 9.9, 10.5)
        self.send_request("e2", "i", 11.0, 11.1)
        self.send_request("e1", "j", 11.0, 11.1)
        self.assertEqual([], self.checker.violations)
        self.send_request("e1", "i", 10.1, 10.2)
        self.assertEqual(1, len(self.checker.violations))

    def test_server_with_retry_delay(self):
        self.receive_notice("e1", "i", "Retry-After", 10.0)
        self.send_request("e1", "i", 9.9, 10.5)
        self.send_request("e1", "i", 10.1, 11.5)
        self.assertEqual([], self.checker.violations)
        self.send_request("e1", "i", 10.2, 11.3)
        self.assertEqual(1, len(self.checker.violations))

    def test_server_with_limit(self):
        self.receive_notice("e1", "i", "Server-Limit", 10.0)
        self.checker.limit_periods["i"].append((10.0, 30.0))
        for number in range(11):
            self.send_request("e1", "i", 14.0 + number / 10, 14.0 + number / 10)
            self.send_request("e2", "i", 14.0 + number / 10, 14.0 + number / 10)
        self.checker.check_limits()
        self.assertEqual([], self.checker.violations)
        self.send_request("e1", "i", 15.5, 15.5)
        self.checker.check_limits()
        self.assertEqual(1, len(self.checker.violations))

    def test_notice_in_a_response_that_a_link_fault_may_have_lost(self):
        """The request was answered by another server, so its entry knows nothing."""
        self.checker.begin_link_fault("i", 9.95)
        self.receive_notice("e1", "i", "Server-Leaving", 10.0)
        self.send_request("e1", "i", 10.1, 10.2)
        self.assertEqual([], self.checker.violations)
        self.checker.end_link_fault("i", 10.3)
        self.receive_notice("e1", "i", "Server-Leaving", 10.5)
        self.send_request("e1", "i", 10.6, 10.7)
        self.assertEqual(1, len(self.checker.violations))

    def test_link_faults_of_other_times_and_servers_excuse_nothing(self):
        self.checker.begin_link_fault("i", 9.0)
        self.checker.end_link_fault("i", 9.8)
        self.checker.begin_link_fault("j", 9.95)
        self.receive_notice("e1", "i", "Retry-After", 10.0)
        self.checker.begin_link_fault("i", 10.05)
        self.send_request("e1", "i", 10.1, 10.2)
        self.assertEqual(1, len(self.checker.violations))

    def test_each_run_has_every_kind(self):
        drawn = draw_notices(1, seconds=10.0, backends=6)
        self.assertEqual({"limit", "rest", "leave"}, {each.kind for each in drawn})
        self.assertEqual(drawn, draw_notices(1, seconds=10.0, backends=6))


class FaultsTest(AsyncTestCase):
    def drawn(self, seed):
        return draw_faults(random.Random(seed), seconds=30.0, nodes=5, backends=6)

    def test_seed_determines_faults(self):
        self.assertEqual(self.drawn(1), self.drawn(1))
        self.assertNotEqual(self.drawn(1), self.drawn(2))

    def test_every_kind_occurs(self):
        kinds = {fault.kind for seed in range(20) for fault in self.drawn(seed)}
        self.assertEqual({*NODE_KINDS, *LINK_KINDS}, kinds)


class OverlapTest(AsyncTestCase):
    async def test_overlapping_faults_do_not_start_a_node_twice(self):
        running = set()

        class Dep:
            def __init__(self):
                self.most = 0
                child = SimpleNamespace(proc=SimpleNamespace(returncode=None))
                self.nodes = [Node("n", "direct-entry", "127.0.0.1", child)]

            async def kill(self, node, signum):
                running.discard(node.name)
                await asyncio.sleep(0)

            async def start(self, node):
                self.most = max(self.most, len(running) + 1)
                if node.name in running:
                    raise AssertionError("started twice")
                running.add(node.name)

        dep = Dep()
        running.add("n")
        faults = [Fault(0.0, "kill", 0, 0.0) for _ in range(3)]
        lock = asyncio.Lock()
        await asyncio.gather(
            *(
                inject(fault, dep=dep, backends=[], control_lock=lock)
                for fault in faults
            )
        )
        self.assertEqual(1, dep.most)


class CatchUpTest(AsyncTestCase):
    """Guards against the loss of a second replica while the first one starts slowly."""

    class Dep:
        def __init__(self, *, catches_up=True):
            child = SimpleNamespace(proc=SimpleNamespace(returncode=None))
            self.nodes = [
                Node(name, "direct-control", "127.0.0.1", child) for name in "ab"
            ]
            self.down = []
            self.events = []
            self.catches_up = catches_up

        async def kill(self, node, signum):
            self.down.append(node.name)
            self.events.append(tuple(self.down))

        async def start(self, node):
            await asyncio.sleep(0)

        async def wait_until_caught_up(self, node):
            for _ in range(5):
                await asyncio.sleep(0)
            if not self.catches_up:
                raise TimeoutError
            self.down.remove(node.name)

    async def inject_kills(self, dep):
        lock = asyncio.Lock()
        return await asyncio.gather(
            *(
                inject(
                    Fault(0.0, "kill", n, 0.0),
                    dep=dep,
                    backends=[],
                    control_lock=lock,
                )
                for n in range(2)
            )
        )

    async def test_next_fault_waits_until_the_replica_has_caught_up(self):
        dep = self.Dep()
        self.assertEqual([None, None], await self.inject_kills(dep))
        self.assertEqual([("a",), ("b",)], dep.events)

    async def test_replica_that_does_not_catch_up_is_reported(self):
        violations = await self.inject_kills(self.Dep(catches_up=False))
        self.assertEqual(
            [f"{name} has not caught up after a kill" for name in "ab"], violations
        )


class ShortRunTest(AsyncTestCase):
    async def test_seeds_have_no_violations(self):
        # Seed 3 has traffic classes.
        for seed in (1, 3, *REGRESSION_SEEDS):
            folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
            result = await run_soak(seed, seconds=LOAD_S, folder=folder)
            self.assertEqual((), result.violations, seed)
            self.assertTrue(result.answers[200] > 0, result.answers)

    async def test_planned_work_loses_no_response(self):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        result = await run_soak(2, seconds=LOAD_S, folder=folder, is_planned=True)
        self.assertEqual((), result.violations)
        self.assertTrue(result.answers[200] > 0, result.answers)


class AddressesTest(AsyncTestCase):
    """Guards against parallel runs whose daemons talk to each other."""

    def test_processes_have_addresses_of_their_own(self):
        ips = {loopback_ip(pid, host) for pid in range(60000) for host in (11, 21)}
        self.assertEqual(120000, len(ips))

    def test_addresses_are_loopback_hosts(self):
        for pid in (1, 249, 250, 62499, 62500, 4194304):
            address = ipaddress.ip_address(loopback_ip(pid, 11))
            self.assertTrue(address.is_loopback)


class UnexpectedExitTest(AsyncTestCase):
    """Guards against a daemon that is gone and of which nothing is recorded."""

    async def prepare(self):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.dep = Deployment(folder=folder)
        self.addCleanup(self.dep.close)
        self.node = self.dep.entries[0]

    async def test_daemon_that_ends_by_itself_is_recorded_and_started_again(self):
        await self.dep.start(self.node)
        first = self.node.child
        self.node.send_signal(signal.SIGCONT)
        os.kill(first.proc.pid, signal.SIGKILL)
        await first.proc.wait()
        while self.node.child is first:
            await asyncio.sleep(0)
        (line,) = self.dep.unexpected_exits
        self.assertIn("entry-1 ended with status -9", line)
        self.assertIn("after start 1; signals: SIGCONT at ", line)

    async def test_daemon_that_was_killed_is_not_recorded(self):
        await self.dep.start(self.node)
        await self.dep.kill(self.node, signal.SIGKILL)
        await self.dep.kill(self.node, signal.SIGTERM)
        self.assertEqual([], self.dep.unexpected_exits)

    async def test_signal_does_not_collect_the_status_of_a_process(self):
        await self.dep.start(self.node)
        self.node.last_start.is_stopped = True
        with mock.patch.object(subprocess.Popen, "poll", side_effect=AssertionError):
            for signum in (signal.SIGKILL, signal.SIGHUP):
                self.node.send_signal(signum)
        self.assertEqual(-signal.SIGKILL, await self.node.child.proc.wait())

    async def test_hangup_at_once_after_the_start(self):
        for _ in range(5):
            await self.dep.start(self.node)
            self.node.send_signal(signal.SIGHUP)
            await self.dep.kill(self.node, signal.SIGKILL)
        self.assertEqual([], self.dep.unexpected_exits)
