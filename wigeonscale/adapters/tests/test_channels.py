import asyncio
import os
import pathlib
import subprocess

import aiohttp
import fixtures
import grpc

from wigeonscale.adapters import (
    Metrics,
    TlsFiles,
    bound_address,
    client_tls_context,
    new_server,
    open_channel,
    start_http,
    wait_connected,
)
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

TIMEOUT_S = 30
NEW_KEY = ("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes")


class FloorServicer(wire_pb2_grpc.ControlServicer):
    def __init__(self):
        self.peers = set()

    async def Floor(self, req, context):  # noqa: N802
        self.peers.add(context.peer())
        return wire.FloorReply(term=4)


def openssl(*args):
    subprocess.run(["openssl", *map(str, args)], check=True, capture_output=True)


def make_tls(folder, name):
    """Create a certificate authority and a certificate for 127.0.0.1 with openssl."""
    folder = pathlib.Path(folder, name)
    folder.mkdir()
    ca, ca_key, key, req, cert, ext = (
        folder / file
        for file in ("ca.pem", "ca.key", "own.key", "own.csr", "own.pem", "own.ext")
    )
    ext.write_text("subjectAltName=IP:127.0.0.1\n")
    subject = ("-subj", f"/CN={name}")
    openssl("req", "-x509", *NEW_KEY, *subject, "-keyout", ca_key, "-out", ca)
    openssl("req", *NEW_KEY, *subject, "-keyout", key, "-out", req)
    signing = ("-CA", ca, "-CAkey", ca_key, "-CAcreateserial", "-extfile", ext)
    openssl("x509", "-req", "-in", req, *signing, "-out", cert)
    return TlsFiles(ca=str(ca), cert=str(cert), key=str(key))


class ChannelCase(AsyncTestCase):
    async def prepare(self):
        self.addCleanup(rpcs_ended)

    async def start(self, tls=None):
        server, address = new_server("127.0.0.1:0", tls=tls)
        servicer = FloorServicer()
        wire_pb2_grpc.add_ControlServicer_to_server(servicer, server)
        await server.start()
        self.addCleanup(server.stop, None)
        return servicer, address

    async def call(self, address, tls=None):
        async with (
            asyncio.timeout(TIMEOUT_S),
            open_channel(address, tls=tls) as channel,
        ):
            stub = wire_pb2_grpc.ControlStub(channel)
            return await stub.Floor(wire.FloorRequest())


class ChannelTest(ChannelCase):
    async def test_channels_do_not_share_connections(self):
        servicer, address = await self.start()
        async with open_channel(address) as one, open_channel(address) as two:
            for channel in (one, two):
                stub = wire_pb2_grpc.ControlStub(channel)
                await stub.Floor(wire.FloorRequest())
        self.assertEqual(2, len(servicer.peers))

    async def test_port_in_use_raises(self):
        _, address = await self.start()
        self.assertRaises(OSError, new_server, address)

    async def test_wait_connected(self):
        server, address = new_server("127.0.0.1:0")
        await server.start()
        async with asyncio.timeout(TIMEOUT_S), open_channel(address) as channel:
            await wait_connected(channel)
        await server.stop(None)
        async with asyncio.timeout(TIMEOUT_S), open_channel(address) as channel:
            with self.assertRaises(ConnectionError):
                await wait_connected(channel)


class TlsTest(ChannelCase):
    async def prepare(self):
        await super().prepare()
        folder = self.useFixture(fixtures.TempDir()).path
        self.tls = make_tls(folder, "own")
        self.other = make_tls(folder, "other")
        # Trusts the server, but sends a certificate of another authority.
        self.foreign_client = TlsFiles(
            ca=self.tls.ca, cert=self.other.cert, key=self.other.key
        )

    async def test_grpc_accepts_only_its_own_authority(self):
        servicer, address = await self.start(self.tls)
        self.assertEqual(4, (await self.call(address, self.tls)).term)
        for tls in (None, self.other, self.foreign_client):
            with self.assertRaises(grpc.aio.AioRpcError):
                await self.call(address, tls)
        self.assertEqual(1, len(servicer.peers))

    async def test_http_accepts_only_its_own_authority(self):
        runner = await start_http(
            "127.0.0.1:0", [], lambda: True, metrics=Metrics(), tls=self.tls
        )
        self.addCleanup(runner.cleanup)
        url = f"https://{bound_address(runner)}/readyz"
        async with aiohttp.ClientSession() as session:
            own = client_tls_context(self.tls)
            async with session.get(url, ssl=own) as res:
                self.assertEqual(200, res.status)
            for tls in (self.other, self.foreign_client):
                with self.assertRaises(aiohttp.ClientError):
                    await session.get(url, ssl=client_tls_context(tls))


class VerbosityTest(AsyncTestCase):
    def test_grpc_verbosity_is_none(self):
        self.assertEqual("NONE", os.environ.get("GRPC_VERBOSITY"))
