"""Tests of a control daemon whose disk fails, with an in-memory folder."""

import asyncio
import io
import json
import logging

import fixtures
from testscenarios import WithScenarios

from wigeonscale.adapters.logs import JsonLinesFormatter
from wigeonscale.config import ControlSettings, Peer
from wigeonscale.daemons import control
from wigeonscale.daemons.runtime import EXIT_FAILED
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.testing import AsyncTestCase

LIMIT_S = 60


class FailedDiskTest(WithScenarios, AsyncTestCase):
    # A single replica writes its vote, the log, its vote and its vote before it leads.
    scenarios = [("at start", {"writes": 1}), ("while leading", {"writes": 4})]

    async def test_daemon_ends_and_its_log_names_the_file(self):
        folder = MemoryFolder()
        folder.fail_after(self.writes)
        patches = {"DiskFolder": lambda path: folder, "setup_logging": self.capture_log}
        for name, value in patches.items():
            self.useFixture(fixtures.MonkeyPatch(f"{control.__name__}.{name}", value))
        address = "127.0.0.1:0"
        cfg = ControlSettings(
            name="c1",
            domain="d",
            http=address,
            grpc=address,
            data="unused",
            election_timeout_s=0.1,
            peers=(Peer("c1", address),),
        )
        async with asyncio.timeout(LIMIT_S):
            code = await control.run_control(cfg)
        self.assertEqual(EXIT_FAILED, code)
        (line,) = [line for line in self.lines() if "file" in line]
        self.assertEqual(
            ("ERROR", "storage-failed", "log"),
            (line["level"], line["outcome"], line["file"]),
        )
        self.assertEqual(code, self.lines()[-1]["exit_code"])

    def capture_log(self, level, node):
        self.stream = io.StringIO()
        handler = logging.StreamHandler(self.stream)
        handler.setFormatter(JsonLinesFormatter(node=node))
        self.useFixture(fixtures.MonkeyPatch("logging.root.handlers", [handler]))
        self.useFixture(fixtures.MonkeyPatch("logging.root.level", logging.INFO))

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]
