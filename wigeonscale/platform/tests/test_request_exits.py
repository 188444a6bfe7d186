"""Each request that was read in full ends with a response, or visibly cut."""

import asyncio

from wigeonscale.platform.tests.test_callers import WAIT_S, CallerCase
from wigeonscale.ports.exchange import FullResponse, ResponseHead

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class ExitCase(CallerCase):
    async def answer_to(self, data):
        """Send bytes on a new connection; return all that is received."""
        reader, writer, _ = await self.raw(data)
        async with asyncio.timeout(WAIT_S):
            got = await reader.read()
        writer.close()
        return got


class ForeignErrorTest(ExitCase):
    """Errors of other connections and tasks must not pass for the caller's close."""

    async def cancel_inner(self):
        fut = asyncio.get_running_loop().create_future()
        fut.cancel()
        await fut

    async def reset_inner(self):
        raise ConnectionResetError("planted")

    async def test_response_after_a_foreign_error(self):
        for fail in (self.cancel_inner, self.reset_inner):

            async def serve(req, sink, fail=fail):
                await fail()

            self.serve = serve
            self.assertIn(b"500 Internal Server Error", await self.answer_to(REQUEST))

    async def test_begun_response_is_cut_after_a_foreign_error(self):
        for fail in (self.cancel_inner, self.reset_inner):

            async def serve(req, sink, fail=fail):
                await sink.begin(ResponseHead(200, ()))
                await sink.write(b"id: 1\n\n")
                await fail()

            self.serve = serve
            got = await self.answer_to(REQUEST)
            self.assertIn(b"id: 1\n\n", got)
            self.assertNotIn(b"\r\n0\r\n", got)

    async def test_no_response_after_a_close_of_the_caller(self):
        written = asyncio.Event()
        errors = []

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            try:
                while True:
                    await sink.write(b"x" * 16384)
                    written.set()
                    await asyncio.sleep(0)
            except BaseException as exc:
                errors.append(exc)
                raise

        self.serve = serve
        _, writer, _ = await self.raw(REQUEST)
        await written.wait()
        with self.assertNoLogs("wigeonscale.platform.callers", "ERROR"):
            writer.transport.abort()
            async with asyncio.timeout(WAIT_S):
                while not errors:  # noqa: ASYNC110
                    await asyncio.sleep(0)
                await self.server.drain(0.0)


class UnwritableHeadTest(ExitCase):
    """A head that cannot be written must not close the connection unanswered."""

    BAD_VALUES = ("\x01", "\x7f", "a\nb")

    async def test_response_after_a_head_that_cannot_be_written(self):
        for value in self.BAD_VALUES:
            head = ResponseHead(200, (("X", value),))

            async def send(req, sink, head=head):
                await sink.send(FullResponse(head, b"whole"))

            async def stream(req, sink, head=head):
                await sink.begin(head)
                await sink.end()

            for serve in (send, stream):
                self.serve = serve
                got = await self.answer_to(REQUEST)
                self.assertTrue(got.startswith(b"HTTP/1.1 500 "), got)
                self.assertTrue(got.endswith(b"\r\n\r\ninternal\n"), got)

    async def test_request_with_control_characters_in_a_header_is_rejected(self):
        for name in (b"X", b"Attempt-Id"):
            head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            got = await self.answer_to(head + name + b": a\x01b\r\n\r\n")
            self.assertIn(b" 400 Bad Request\r\n", got)
        self.assertEqual([], self.requests)


class MalformedBodyTest(ExitCase):
    """Guards against requests that wait for the rest of a broken body for ever."""

    HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    BROKEN = b"zz\r\n"

    async def connect(self, data):
        """Send bytes on a new connection; return it and the server's side of it."""
        reader, writer, _ = await self.raw(data)
        async with asyncio.timeout(WAIT_S):
            while self.server.connections < 1:  # noqa: ASYNC110
                await asyncio.sleep(0)
        (conn,) = self.server._runner.server.connections
        return reader, writer, conn

    async def assert_rejected(self, reader):
        async with asyncio.timeout(WAIT_S):
            got = await reader.read()
        self.assertEqual(1, got.count(b" 400 Bad Request\r\n"), got)
        self.assertEqual([], self.requests)

    async def test_body_that_breaks_while_it_is_read(self):
        reader, writer, conn = await self.connect(self.HEAD)
        async with asyncio.timeout(WAIT_S):
            while conn._current_request is None:  # noqa: ASYNC110
                await asyncio.sleep(0)
        writer.write(self.BROKEN)
        await self.assert_rejected(reader)

    async def test_body_that_breaks_before_it_is_read(self):
        reader, _, conn = await self.connect(b"")
        conn.data_received(self.HEAD)
        conn.data_received(self.BROKEN)
        await self.assert_rejected(reader)

    async def test_request_before_malformed_data_is_answered(self):
        """Guards against an error for a request whose body was read to its end."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        started, proceed = asyncio.Event(), asyncio.Event()

        async def serve(req, sink):
            started.set()
            await proceed.wait()
            await sink.send(FullResponse(ResponseHead(200, ()), b"whole"))

        self.serve = serve
        reader, writer, _ = await self.raw(head + b"abc")
        await started.wait()
        writer.write(b"nonsense\r\n\r\n")
        proceed.set()
        async with asyncio.timeout(WAIT_S):
            got = await reader.read()
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got)
        self.assertIn(b"whole", got)


class ContinueTest(ExitCase):
    HEAD = (
        b"POST / HTTP/%s\r\nHost: h\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\n\r\n"
    )
    CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

    async def test_caller_that_waits_with_its_body(self):
        """Guards against a request that waits for a body that waits for it."""
        async with asyncio.timeout(WAIT_S):
            reader, writer, got = await self.raw(self.HEAD % b"1.1", b"\r\n\r\n")
            self.assertEqual(self.CONTINUE, got)
            writer.write(b"abc")
            self.assertIn(b"200 OK", await reader.readuntil(b"whole"))
        self.assertEqual(b"abc", self.requests[0].body)

    async def test_caller_that_does_not_wait(self):
        for version in (b"1.0", b"1.1"):
            head = self.HEAD % version
            _, _, got = await self.raw(head + b"abc", b"whole")
            self.assertNotIn(self.CONTINUE, got)


class CloseTest(ExitCase):
    """The server closes when the time for its shutdown has passed."""

    async def answer_at_close(self, data):
        """Close the server while it handles a request; return what is received."""
        started = asyncio.Event()
        respond = self.server._respond

        async def respond_and_tell(req, sink):
            started.set()
            await respond(req, sink)

        self.server._respond = respond_and_tell
        reader, writer, _ = await self.raw(data)
        async with asyncio.timeout(WAIT_S):
            await started.wait()
            reading = asyncio.create_task(reader.read())
            reading.add_done_callback(lambda _: writer.close())
            await self.server.close()
            return await reading

    async def test_request_that_may_have_run(self):
        """Guards against a closed connection instead of an answer."""

        async def serve(req, sink):
            await asyncio.get_running_loop().create_future()

        self.serve = serve
        got = await self.answer_at_close(REQUEST)
        self.assertTrue(got.startswith(b"HTTP/1.1 502 "), got)
        self.assertTrue(got.endswith(b"\r\n\r\nstopping\n"), got)

    async def test_request_whose_body_has_not_come(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na"
        got = await self.answer_at_close(head)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got)
        self.assertIn(b"\r\nRetry-After: ", got)
        self.assertEqual([], self.requests)
