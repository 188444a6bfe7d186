"""What the load records of a request whose connection ends early."""

import asyncio
import random
import re
from types import SimpleNamespace

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.backends import LARGE_BODY, stream_events
from wigeonscale.testing.soak.deployment import Start
from wigeonscale.testing.soak.invariants import InvariantChecker
from wigeonscale.testing.soak.load import BATCH, KINDS, Load, document, new_session

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ResponseCase(AsyncTestCase):
    """A fake entry with one response for all requests."""

    async def prepare(self):
        self.response = b""
        self.server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()
        self.checker = InvariantChecker()
        self.load = Load(
            dep=SimpleNamespace(caller_address=lambda entry: f"{host}:{port}"),
            checker=self.checker,
            rng=random.Random(1),
        )
        self.session = new_session()
        self.addCleanup(self.session.close)

    async def respond(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))
        writer.write(self.response)
        self.unsent_bytes = writer.transport.get_write_buffer_size()
        writer.close()

    async def call(self, *args, **options):
        entry = SimpleNamespace(name="e", starts=1, last_start=Start(number=1))
        return await self.load.call(self.session, entry, "stream", *args, **options)


class SlowCallerTest(ResponseCase):
    """Guards against slow callers whose responses fit into the buffers of a socket."""

    async def test_entry_has_to_wait_for_a_slow_caller(self):
        await self.session.close()
        self.session = new_session(is_slow=True)
        self.addCleanup(self.session.close)
        body = b"".join(stream_events("r00001", LARGE_BODY))
        head = HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: %d")
        self.response = head % len(body) + body
        self.assertTrue(await self.call(LARGE_BODY, bytes_per_s=1e9))
        self.assertEqual([], self.checker.violations)
        self.assertTrue(self.unsent_bytes > len(body) / 2, self.unsent_bytes)


class IncompleteResponseTest(ResponseCase):
    """Guards against a caller without an answer that is only counted."""

    async def incomplete(self):
        """Return the status of each incomplete response to one call."""
        self.assertFalse(await self.call())
        return [req.status for req in self.checker.responses.incomplete]

    async def test_connection_ends_without_a_response(self):
        self.assertEqual([None], await self.incomplete())
        self.assertEqual({"nothing": 1}, self.checker.answers)

    async def test_response_lacks_its_end(self):
        self.response = HEAD + b"1\r\nx\r\n"
        self.assertEqual([200], await self.incomplete())
        self.assertEqual({"cut": 1}, self.checker.answers)

    async def test_refusal_is_an_answer(self):
        self.response = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual([], await self.incomplete())

    async def test_nothing_is_sent_on_a_refused_connection(self):
        self.server.close()
        self.assertEqual([], await self.incomplete())
        self.assertEqual({"nothing": 1}, self.checker.answers)


class DocumentTest(AsyncTestCase):
    def test_some_generations_must_not_be_resumed(self):
        routes = {
            route["name"]: route for route in document(1, (*KINDS, BATCH))["routes"]
        }
        streams = {n for n, route in routes.items() if route["kind"] == "streaming"}
        self.assertEqual({"stream", "once", "batch"}, streams)
        resumable = {name for name, route in routes.items() if route["resumable"]}
        self.assertEqual({"stream", "batch"}, resumable)

    def test_content_changes_with_the_number(self):
        routes = [document(number)["routes"] for number in (1, 2)]
        self.assertEqual(
            [["spare"], []], [[r["name"] for r in each[4:]] for each in routes]
        )
        attempts = [{r["name"]: r["max-attempts"] for r in each} for each in routes]
        self.assertNotEqual(attempts[0]["stream"], attempts[1]["stream"])
        self.assertEqual([1, 1], [each["unsafe"] for each in attempts])
