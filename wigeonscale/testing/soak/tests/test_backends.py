"""The fake backend servers behave as the servers of the platform."""

import asyncio
import random

import aiohttp

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.backends import Backend, plain_body
from wigeonscale.testing.soak.freezes import (
    MAX_FREEZE_S,
    MIN_FREEZE_S,
    SCOPES,
    Freeze,
    apply_freeze,
    draw_freezes,
    draw_planned_work,
)
from wigeonscale.testing.soak.invariants import InvariantChecker

FREEZE_S = 0.05
# Longer than any test, which ends it.
LONG_FREEZE_S = 600.0
CONNECT_TIMEOUT_S = 0.05
SEND_INTERVAL_S = 0.01
WAIT_TIMEOUT_S = 30
SERVICES = (range(4), range(4, 6))


class BackendTest(AsyncTestCase):
    async def prepare(self):
        self.backend = Backend(
            service="plain",
            controls=[],
            checker=InvariantChecker(),
            engines={},
            rng=random.Random(1),
        )
        self.addCleanup(self.backend.close)
        await self.backend.start()
        self.session = aiohttp.ClientSession()
        self.addCleanup(self.session.close)

    async def report(self):
        url = f"http://{self.backend.relay.address}/report"
        async with self.session.get(url) as res:
            return res.status

    async def test_stopped_server_refuses_connections_until_it_starts_again(self):
        self.assertEqual(200, await self.report())
        await self.backend.stop()
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.report()
        await self.backend.start()
        self.assertEqual(200, await self.report())

    def headers(self):
        self.backend.checker.notices.record_sent("r1", "e", 0.0)
        return {"Attempt-Id": "r1", "Expect-Instance": self.backend.name}

    async def request(self):
        url = f"http://{self.backend.relay.address}/x"
        async with self.session.post(url, headers=self.headers()) as res:
            return await res.read()

    def freeze(self, duration_s=FREEZE_S, *, accepts):
        return asyncio.create_task(self.backend.freeze(duration_s, accepts=accepts))

    async def end(self, freeze):
        freeze.cancel()
        await asyncio.gather(freeze, return_exceptions=True)

    async def test_frozen_server_responds_once_it_goes_on(self):
        for call, expected in (
            (self.report, 200),
            (self.request, plain_body("r1")),
        ):
            freeze = self.freeze(accepts=True)
            await asyncio.sleep(0)
            self.assertEqual(expected, await call())
            self.assertTrue(freeze.done())

    async def test_frozen_server_stops_within_a_response(self):
        request = asyncio.create_task(self.request())
        while not self.backend.checker.runs["r1"]:
            await asyncio.sleep(0)
        freeze = self.freeze(accepts=True)
        self.assertEqual(plain_body("r1"), await request)
        self.assertTrue(freeze.done())

    async def test_frozen_server_may_accept_no_connections(self):
        freeze = self.freeze(LONG_FREEZE_S, accepts=False)
        await asyncio.sleep(0)
        host, _, port = self.backend.relay.address.rpartition(":")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.open_connection(host, int(port))
        await self.end(freeze)
        self.assertEqual(200, await self.report())

    async def test_server_that_stops_while_frozen_starts_again(self):
        freeze = self.freeze(LONG_FREEZE_S, accepts=False)
        await asyncio.sleep(0)
        await self.backend.stop()
        await self.backend.start()
        await self.end(freeze)
        self.assertEqual(200, await self.report())

    async def test_frozen_server_is_not_frozen_for_longer(self):
        freeze = self.freeze(accepts=True)
        await asyncio.sleep(0)
        await self.backend.freeze(LONG_FREEZE_S, accepts=False)
        self.assertFalse(freeze.done())
        await freeze
        self.assertEqual(200, await self.report())

    async def test_frozen_server_runs_an_abandoned_request(self):
        """The sender must not say that such a request did not run."""
        freeze = self.freeze(LONG_FREEZE_S, accepts=True)
        host, _, port = self.backend.relay.address.rpartition(":")
        lines = [f"{name}: {value}" for name, value in self.headers().items()]
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not self.backend.checker.runs["r1"]:
                _, writer = await asyncio.open_connection(host, int(port))
                head = "\r\n".join(["POST /x HTTP/1.1", "Host: h", *lines])
                writer.write(f"{head}\r\n\r\n".encode())
                await writer.drain()
                await asyncio.sleep(SEND_INTERVAL_S)
                writer.close()
                await writer.wait_closed()
        await self.end(freeze)


class FreezesTest(AsyncTestCase):
    def drawn(self, seed):
        return draw_freezes(seed, seconds=3.0, services=SERVICES)

    def test_seed_determines_freezes(self):
        self.assertEqual(self.drawn(1), self.drawn(1))
        self.assertNotEqual(self.drawn(1), self.drawn(2))

    def test_each_run_has_every_scope_within_one_service(self):
        for seed in range(20):
            one, several, everything = self.drawn(seed)
            longer = draw_freezes(seed, seconds=8.0, services=SERVICES)
            self.assertEqual(2 * len(SCOPES), len(longer))
            self.assertEqual(1, len(one.targets))
            self.assertTrue(len(several.targets) > 1)
            self.assertIn(set(everything.targets), [set(each) for each in SERVICES])
            self.assertTrue(
                any(set(several.targets) <= set(indices) for indices in SERVICES)
            )

    def test_both_variants_and_all_durations_occur(self):
        drawn = [freeze for seed in range(50) for freeze in self.drawn(seed)]
        self.assertEqual({True, False}, {freeze.accepts for freeze in drawn})
        durations_s = [freeze.duration_s for freeze in drawn]
        self.assertTrue(MIN_FREEZE_S <= min(durations_s) < 0.7)
        self.assertTrue(1.4 < max(durations_s) <= MAX_FREEZE_S)

    def test_signals_around_each_freeze(self):
        stops = 0
        for seed in range(20):
            freezes = self.drawn(seed)
            work = draw_planned_work(seed, freezes, entries=range(3, 5), nodes=5)
            hangups = [fault for fault in work if fault.kind == "hangup"]
            self.assertEqual(2 * len(freezes), len(hangups))
            for fault in work:
                self.assertTrue(
                    any(
                        max(0.0, freeze.start_s - 0.5)
                        <= fault.start_s
                        <= freeze.start_s + freeze.duration_s
                        for freeze in freezes
                    )
                )
                self.assertIn(fault.target, range(3 if fault.kind == "stop" else 0, 5))
            stops += len(work) - len(hangups)
        self.assertTrue(10 < stops < 50, stops)

    async def test_targets_freeze_at_once(self):
        frozen = []

        class Server:
            async def freeze(self, duration_s, *, accepts):
                frozen.append((self, duration_s, accepts))

        servers = [Server() for _ in range(3)]
        await apply_freeze(Freeze(0.0, (0, 2), 1.0, False), servers)
        self.assertEqual([(servers[n], 1.0, False) for n in (0, 2)], frozen)
