"""Test of control, agent, entry and wigeonctl together, with mutual TLS."""

import asyncio
import json
import logging
import os
import pathlib
import signal
import socket

import aiohttp
import fixtures
import grpc

from wigeonscale.adapters import open_channel
from wigeonscale.adapters.tests.test_channels import make_tls
from wigeonscale.cli.wigeonctl import main as wigeonctl
from wigeonscale.config import AgentSettings, ControlSettings, EntrySettings, Peer
from wigeonscale.daemons.agent import run_agent
from wigeonscale.daemons.control import ControlDaemon
from wigeonscale.daemons.entry import run_entry
from wigeonscale.ports import EngineInfo, SystemClock
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.testing.fake_engine import FakeEngine, expected_tokens, serve_engine
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LIMIT_S = 60
RULES = """\
[organisation o]
keys = k

[pipeline p]
model = m
layers = 2

[rule all]
when = always
then = route pipeline p
"""


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class TlsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(root.handlers.__setitem__, slice(None), list(root.handlers))

    async def prepare(self):
        self.addCleanup(rpcs_ended)
        self.folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.tls = make_tls(self.folder, "wigeonscale")
        self.control, self.pages = free_address(), free_address()
        self.callers = free_address()
        runner, self.engine = await serve_engine(
            FakeEngine(name="e", info=EngineInfo(model="m"))
        )
        self.addCleanup(runner.cleanup)
        daemon = ControlDaemon(cfg=self.control_settings(), clock=SystemClock())
        await daemon.start()
        self.addCleanup(self.cancel, asyncio.create_task(daemon.run()))
        self.addCleanup(daemon.stop)
        agent = asyncio.create_task(run_agent(self.agent_settings()))
        self.addCleanup(self.cancel, agent)

    async def cancel(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self, task):
        # The signal handler belongs to the daemon that was started last.
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(0, await task)

    def shared(self, name):
        return {
            "name": name,
            "domain": "d",
            "log_level": "ERROR",
            "tls_ca": self.tls.ca,
            "tls_cert": self.tls.cert,
            "tls_key": self.tls.key,
        }

    def control_settings(self):
        return ControlSettings(
            **self.shared("c1"),
            http=self.pages,
            grpc=self.control,
            data=str(self.folder / "c1"),
            peers=(Peer("c1", self.control),),
            settle_s=0.0,
            https=True,
        )

    def agent_settings(self):
        return AgentSettings(
            **self.shared("a1"),
            http="127.0.0.1:0",
            grpc="127.0.0.1:0",
            control=(self.control,),
            kind="engine",
            backend=self.engine,
        )

    def entry_settings(self):
        return EntrySettings(
            **self.shared("e1"),
            http="127.0.0.1:0",
            listen=self.callers,
            control=(self.control,),
        )

    async def apply_rules(self):
        path = self.folder / "rules.ini"
        path.write_text(RULES)
        args = ["rules", "apply", str(path), "--control", self.pages]
        for name in ("ca", "cert", "key"):
            args += [f"--tls-{name}", getattr(self.tls, name)]
        self.assertEqual(0, await asyncio.to_thread(wigeonctl, args))

    async def complete(self):
        body = {"model": "m", "prompt": "a b", "max_tokens": 3}
        url = f"http://{self.callers}/v1/completions"
        async with aiohttp.ClientSession(headers={"Authorization": "Bearer k"}) as http:
            while True:
                try:
                    async with http.post(url, json=body) as resp:
                        if resp.status == 200:
                            return json.loads(await resp.read())
                except aiohttp.ClientConnectionError:
                    pass  # the entry listens once it has its first lease
                await asyncio.sleep(0.1)

    async def test_request_is_served_and_untrusted_peers_are_rejected(self):
        async with asyncio.timeout(LIMIT_S):
            await self.apply_rules()
            entry = asyncio.create_task(run_entry(self.entry_settings()))
            answer = await self.complete()
            want = "".join(expected_tokens("a b", 2, 3))
            self.assertEqual(want, answer["choices"][0]["text"])
            for tls in (None, make_tls(self.folder, "stranger")):
                async with open_channel(self.control, tls=tls) as channel:
                    stub = wire_pb2_grpc.ControlStub(channel)
                    with self.assertRaises(grpc.aio.AioRpcError):
                        await stub.Floor(wire.FloorRequest(), timeout=LIMIT_S)
            await self.stop(entry)
