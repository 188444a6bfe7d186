"""Relays block, reset and delay connections."""

import asyncio

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.matrix.relay import CALLERS, Network

WAIT_TIMEOUT_S = 30


class RelayTest(AsyncTestCase):
    async def prepare(self):
        self.received = asyncio.Queue()
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.net = Network()
        self.addCleanup(self.net.close)
        for source in ("a", CALLERS):
            await self.net.add(source, "b", f"{host}:{port}")

    async def echo(self, reader, writer):
        while data := await reader.read(100):
            self.received.put_nowait(data)
            writer.write(data)
        writer.close()

    async def connect(self, source="a"):
        host, _, port = self.net.between(source, "b").address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, reader, writer, data=b"x"):
        writer.write(data)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await reader.read(100)

    async def is_closed(self, reader):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            try:
                return await reader.read(100) == b""
            except ConnectionError:
                return True

    async def test_stall_blocks_existing_connections_only(self):
        old, new = await self.connect(), None
        self.assertEqual(b"x", await self.exchange(*old))
        self.net.stall("b", inbound=True)
        old[1].write(b"late")
        new = await self.connect()
        self.assertEqual(b"new", await self.exchange(*new, b"new"))
        self.assertEqual([b"x", b"new"], [self.received.get_nowait() for _ in range(2)])
        self.net.heal("b")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"late", await old[0].read(100))

    async def test_blocked_outgoing_data_of_a_node_that_still_receives(self):
        old = await self.connect()
        self.assertEqual(b"x", await self.exchange(*old))
        self.net.block_outgoing("b")
        old[1].write(b"y")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            received = [await self.received.get() for _ in range(2)]
        self.assertEqual([b"x", b"y"], received)
        answer = asyncio.create_task(old[0].read(100))
        self.assertEqual(b"z", await self.exchange(*await self.connect(CALLERS), b"z"))
        self.assertFalse(answer.done())
        self.net.heal("b")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"y", await answer)

    async def test_kill_resets_and_refuses_connections_of_callers_too(self):
        olds = [await self.connect(source) for source in ("a", CALLERS)]
        for old in olds:
            self.assertEqual(b"x", await self.exchange(*old))
        self.net.kill("b")
        for reader, _ in olds:
            self.assertTrue(await self.is_closed(reader))
        self.assertTrue(await self.is_closed((await self.connect())[0]))
        self.net.heal("b")
        self.assertEqual(b"x", await self.exchange(*await self.connect()))

    async def test_later_data_does_not_overtake_delayed_data(self):
        reader, writer = await self.connect()
        self.assertEqual(b"x", await self.exchange(reader, writer))
        self.net.slow("b", 0.05)
        writer.write(b"1")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"x", await self.received.get())
        self.net.heal("b")
        writer.write(b"2")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"12", await reader.readexactly(2))

    async def test_address_that_does_not_listen_for_a_while(self):
        relay = self.net.between("a", "b")
        relay.stop_listening()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        address = relay.address
        await relay.start()
        self.assertEqual(address, relay.address)
        self.assertEqual(b"x", await self.exchange(*await self.connect()))

    async def test_address_that_accepts_nothing_for_a_while(self):
        relay = self.net.between("a", "b")
        old = await self.connect()
        relay.pause_accepting()
        self.assertEqual(b"x", await self.exchange(*old))
        waiting = asyncio.create_task(self.connect())
        done, _ = await asyncio.wait([waiting], timeout=0.05)
        self.assertEqual(set(), done)
        await relay.resume_accepting()
        self.assertEqual(b"x", await self.exchange(*await self.connect()))
        # The kernel tries again after a second.
        self.assertEqual(b"x", await self.exchange(*await waiting))

    async def test_pause_of_a_relay_that_does_not_listen(self):
        """Guards against a freeze that ends the soak while its server restarts."""
        relay = self.net.between("a", "b")
        relay.stop_listening()
        await asyncio.sleep(0)
        relay.pause_accepting()
        await relay.resume_accepting()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
