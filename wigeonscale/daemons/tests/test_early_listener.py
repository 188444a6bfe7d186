import asyncio
import pathlib
import socket

import fixtures

from wigeonscale.daemons.early_listener import listen_early
from wigeonscale.platform.callers import CallerServer
from wigeonscale.ports import SystemClock
from wigeonscale.ports.exchange import FullResponse, ResponseHead
from wigeonscale.testing import AsyncTestCase

SETTINGS = """\
[node]
name = e1
domain = a
[direct-entry]
listen = 127.0.0.1:{listen}
http = 127.0.0.1:0
seeds = 127.0.0.1:1, 127.0.0.2:1
internal_port = {control}
"""
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nConnection: close\r\n\r\n"


def open_listener():
    """Return a socket that listens on a free port of 127.0.0.1."""
    sock = socket.create_server(("127.0.0.1", 0))
    return sock, sock.getsockname()[1]


def free_port():
    sock, port = open_listener()
    sock.close()
    return port


class EarlyListenerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.path = pathlib.Path(self.useFixture(fixtures.TempDir()).path) / "e1.ini"
        self.port = free_port()

    def early(self, *, control, role="direct-entry", listen=None):
        text = SETTINGS.format(control=control, listen=listen or self.port)
        self.path.write_text(text)
        found = listen_early([role, "--config", str(self.path)])
        if found.sock is not None:
            self.addCleanup(found.sock.close)
        return found

    async def test_caller_that_connects_during_the_imports_is_served(self):
        early = self.early(control=free_port())
        self.assertEqual("control does not answer", early.reason)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST)
        await writer.drain()

        async def serve(req, sink):
            await sink.send(
                FullResponse(ResponseHead(200, ()), req.request_id.encode())
            )

        server = CallerServer(
            address=f"127.0.0.1:{self.port}",
            serve=serve,
            max_body=lambda: 1000,
            clock=SystemClock(),
            sock=early.sock,
        )
        await server.start()
        answer = await reader.read()
        writer.close()
        await server.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"r1"), answer)

    def test_does_not_listen_early_if_control_responds(self):
        control, port = open_listener()
        self.addCleanup(control.close)
        early = self.early(control=port)
        self.assertIsNone(early.sock)
        self.assertEqual("control answers", early.reason)

    def test_other_roles_do_not_listen(self):
        early = self.early(control=free_port(), role="direct-control")
        self.assertIsNone(early.sock)

    def test_invalid_arguments_and_settings_are_left_to_the_daemon(self):
        for argv in (
            [],
            ["direct-entry"],
            ["direct-entry", "--config"],
            ["direct-entry", "--config", "/nowhere"],
        ):
            self.assertIsNone(listen_early(argv).sock, argv)
        for text in ("no ini", "[direct-entry]\n", SETTINGS.replace("{listen}", "x")):
            self.path.write_text(text)
            found = listen_early(["direct-entry", "--config", str(self.path)])
            self.assertIsNone(found.sock)
            self.assertIn("cannot be used", found.reason)

    def test_address_in_use_is_left_to_the_daemon(self):
        other, port = open_listener()
        self.addCleanup(other.close)
        early = self.early(control=free_port(), listen=port)
        self.assertIsNone(early.sock)
        self.assertIn("in use", early.reason)
