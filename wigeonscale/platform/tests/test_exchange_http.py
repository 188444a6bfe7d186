import asyncio
import re
import socket
import struct
from unittest import mock

from aiohttp.client_proto import ResponseHandler

from wigeonscale.platform.exchange_http import HttpExchange, new_session
from wigeonscale.ports.exchange import (
    BackendCall,
    CallerRequest,
    CallOutcome,
    ExchangeError,
)
from wigeonscale.testing import AsyncTestCase

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Stamp: s1\r\n"
CHUNKED = OK + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
# As the server for callers accepts them.
TARGETS = (
    "/a?",
    "/a??",
    "/?",
    "/a?b=",
    "/a?=&&b=&c",
    "/a?q=a?b",
    "/a?q=/../",
    "//a//b",
    "//h.example/x",
    "/./a/.",
    "/a/../../b",
    "/%2f%2F%41%7e%zz%",
    "/a;b=c;d",
    "/a:b@c'()*!$&,",
    '/a?x=[1]{2}|\\^`"<>+%20',
    "/a#b",
    "/a?b#c",
    "/a#?b",
    "/a#",
)
WAIT_S = 30.0
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


END = chunk(b"")
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class ExchangeCase(AsyncTestCase):
    """A backend server on loopback that sends prepared bytes as its responses."""

    async def prepare(self):
        self.replies = []
        self.requests = []
        self.writers = []
        self.reset = False
        self.closed = asyncio.Event()
        self.listener = await asyncio.start_server(self._send_replies, "127.0.0.1", 0)
        self.addCleanup(self._stop)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.session = new_session()
        self.addCleanup(self.session.close)
        self.exchange = HttpExchange(session=self.session)

    async def _stop(self):
        self.listener.close()
        await self.listener.wait_closed()

    async def _send_replies(self, reader, writer):
        self.writers.append(writer)
        try:
            while self.replies:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                reply, keep_open = self.replies.pop(0)
                writer.write(reply)
                await writer.drain()
                if not keep_open:
                    break
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the client closed the connection, which some tests wait for
        finally:
            if self.reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.close()
            self.closed.set()

    def reply(self, *replies, keep_open=False):
        self.replies.extend((reply, keep_open) for reply in replies)

    def backend_call(self, *, method="GET", path="/a%2Fb/../c?x=%41", request_id="id1"):
        req = CallerRequest(
            request_id=request_id,
            host="h",
            method=method,
            path=path,
            headers=(("Host", "h.example"), ("Attempt-Id", request_id)),
            body=b"",
            key="",
            arrived_at=0.0,
        )
        return BackendCall(
            req=req,
            address=self.address,
            backend_id="i-1",
            organisation="one",
            priority=None,
            left_s=1.0,
        )

    async def call(self, **fields):
        return await self.exchange.call(self.backend_call(**fields))

    async def call_error(self, **fields):
        try:
            got = await self.call(**fields)
        except ExchangeError as exc:
            return exc
        self.fail(f"answered {got}")

    async def events(self):
        async with self.exchange.open(self.backend_call()) as stream:
            return [(e.event_id, e.data) async for e in stream.events()]


class CallTest(ExchangeCase):
    async def test_path_and_headers_are_sent_unmodified(self):
        self.reply(OK + b"Content-Length: 5\r\n\r\nwhole")
        self.assertEqual(b"whole", (await self.call()).body)
        head = self.requests[0]
        self.assertIn(b"GET /a%2Fb/../c?x=%41 HTTP/1.1\r\n", head)
        self.assertIn(b"Host: h.example\r\n", head)
        self.assertNotIn(b"User-Agent", head)
        self.assertNotIn(b"Accept-Encoding", head)

    async def test_targets_are_sent_unmodified(self):
        """Guards against targets that the HTTP library normalises."""
        for target in TARGETS:
            self.reply(OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
            await self.call(path=target)
            line = self.requests[-1].partition(b"\r\n")[0]
            self.assertEqual(f"GET {target} HTTP/1.1".encode(), line)

    async def test_response_to_another_request_is_rejected(self):
        self.reply(OK.replace(b"id1", b"id2") + b"Content-Length: 5\r\n\r\nwhole")
        self.assertEqual(CallOutcome.UNKNOWN, (await self.call_error()).outcome)

    async def test_success_without_a_stamp_is_rejected(self):
        """Guards against bytes that no engine made, handed on as a success."""
        for head in (
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n",
            b"HTTP/1.1 204 No Content\r\nAttempt-Id: id1\r\nResponse-Stamp: \r\n",
        ):
            self.reply(head + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(CallOutcome.UNKNOWN, (await self.call_error()).outcome)
            self.reply(head + b"Connection: close\r\n\r\n" + EVENTS)
            with self.assertRaises(ExchangeError):
                await self.events()

    async def test_first_response_without_an_id_is_taken_by_its_stamp(self):
        head = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s1\r\nContent-Length: 5\r\n\r\n"
        self.reply(head + b"whole")
        self.assertEqual(b"whole", (await self.call()).body)

    async def test_failure_without_a_stamp_is_handed_on(self):
        self.reply(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(500, (await self.call()).head.status)

    async def test_response_that_cannot_be_forwarded_is_rejected(self):
        """Guards against heads after which the caller would get no response."""
        end = b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        for reply in (
            OK + b"X: a\x01b\r\n" + end,
            OK + b"X: \x7f\r\n" + end,
            OK.replace(b"200 OK", b"101 Switching Protocols") + end,
        ):
            self.reply(reply)
            self.assertEqual(CallOutcome.UNKNOWN, (await self.call_error()).outcome)

    async def test_surplus_bytes_after_a_response_are_discarded(self):
        response = OK + b"Content-Length: 5\r\n\r\nwhole"
        self.reply(
            response + response.replace(b"whole", b"extra"), response, keep_open=True
        )
        self.assertEqual(b"whole", (await self.call()).body)
        self.assertEqual(b"whole", (await self.call()).body)

    async def test_get_on_a_broken_pooled_connection_is_not_retried(self):
        self.reply(OK + b"Content-Length: 5\r\n\r\nwhole", keep_open=True)
        self.reply(b"")
        self.assertEqual(b"whole", (await self.call()).body)
        self.assertEqual(CallOutcome.UNKNOWN, (await self.call_error()).outcome)
        self.assertEqual(2, len(self.requests))

    async def test_redirects_are_not_followed(self):
        self.reply(
            b"HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(302, (await self.call()).head.status)

    async def test_truncated_response(self):
        for reply in (
            b"",
            b"HTTP/1.1 200",
            b"nonsense\r\n\r\n",
            OK + b"Content-Length: 5\r\n\r\nwh",
            CHUNKED + chunk(b"wh"),
        ):
            self.reply(reply)
            self.assertEqual(
                CallOutcome.UNKNOWN, (await self.call_error()).outcome, reply
            )

    async def test_response_without_length_ends_with_the_connection(self):
        self.reply(OK + b"Connection: close\r\n\r\nwhole")
        self.assertEqual(b"whole", (await self.call()).body)

    async def test_reset_of_a_response_without_length_is_an_error(self):
        self.reset = True
        self.reply(OK + b"Connection: close\r\n\r\nwhole")
        self.assertEqual(CallOutcome.UNKNOWN, (await self.call_error()).outcome)

    async def test_rejection_without_run(self):
        self.reply(
            b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nAt-Server: x:1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        exc = await self.call_error()
        self.assertEqual(
            (CallOutcome.NOT_RUN, 503, "x:1"),
            (exc.outcome, exc.status, exc.failed_address),
        )

    async def test_server_notice(self):
        close = b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        self.reply(OK + b"Server-Limit: 2.5\r\n" + close)
        self.assertEqual(2.5, (await self.call()).head.notice.limit_per_s)
        refusal = b"HTTP/1.1 %d No\r\nNot-Run: 1\r\nRetry-After: 3\r\n" + close
        self.reply(refusal % 503)
        self.assertEqual(3.0, (await self.call_error()).notice.retry_after_s)
        # Status 421 means that another incarnation responded, whose notice is ignored.
        self.reply(refusal % 421)
        self.assertIsNone((await self.call_error()).notice)

    async def test_connection_refused(self):
        await self._stop()
        self.assertEqual(CallOutcome.NOT_SENT, (await self.call_error()).outcome)


class StreamTest(ExchangeCase):
    async def test_events_in_chunks_of_any_size(self):
        for size in (1, 2, 5, 100):
            parts = [EVENTS[i : i + size] for i in range(0, len(EVENTS), size)]
            self.reply(CHUNKED + b"".join(map(chunk, parts)) + END)
            got = await self.events()
            self.assertEqual([1, 2], [number for number, _ in got])
            self.assertEqual(EVENTS, b"".join(data for _, data in got))

    async def test_events_with_other_line_ends(self):
        """Guards against events that are not found, or not forwarded as they are."""
        for events in (
            EVENTS.replace(b"\n", b"\r\n"),
            EVENTS.replace(b"\n", b"\r"),
            EVENTS.replace(b"\n\n", b"\n\r\n"),
            EVENTS.replace(b"\n\n", b"\r\n\n"),
            EVENTS.replace(b"\n\n", b"\n\r"),
            EVENTS.replace(b"\n\n", b"\r\n\r"),
            EVENTS.replace(b"\n\n", b"\r\r\n"),
            EVENTS.replace(b"data", b"a:\rdata"),
            EVENTS + b"\n",
        ):
            for size in (1, 2, 3, 5, 100):
                parts = [events[i : i + size] for i in range(0, len(events), size)]
                self.reply(CHUNKED + b"".join(map(chunk, parts)) + END)
                got = await self.events()
                self.assertEqual([1, 2], [number for number, _ in got if number])
                self.assertEqual(events, b"".join(data for _, data in got))

    async def test_event_with_other_line_ends_is_passed_on_when_it_is_complete(self):
        """Guards against an event that waits for the first byte of the next one."""
        for line_end in (b"\r\n", b"\r"):
            event = b"id: 1\ndata: a\n\n".replace(b"\n", line_end)
            self.reply(CHUNKED + chunk(event), keep_open=True)
            async with (
                asyncio.timeout(WAIT_S),
                self.exchange.open(self.backend_call()) as stream,
            ):
                async for got in stream.events():
                    self.assertEqual(event, got.data)
                    break

    async def test_stream_with_other_line_ends_ends_within_an_event(self):
        for line_end in (b"\r\n", b"\r"):
            events = EVENTS.replace(b"\n", line_end)
            for size in (1, len(events) // 2 + 3, len(events) - len(line_end) - 1):
                self.reply(CHUNKED + chunk(events[:size]) + END)
                await self.assert_breaks()

    async def test_stream_ends_within_an_event(self):
        self.reply(CHUNKED + chunk(EVENTS[:-1]) + END)
        exc = await self.assert_breaks()
        self.assertEqual(CallOutcome.UNKNOWN, exc.outcome)

    async def test_stream_ends_between_events_without_last_chunk(self):
        self.reply(CHUNKED + chunk(EVENTS))
        await self.assert_breaks()

    async def assert_breaks(self):
        try:
            got = await self.events()
        except ExchangeError as exc:
            return exc
        self.fail(f"whole: {got}")

    async def test_leaving_the_context_early_closes_the_connection(self):
        self.reply(CHUNKED + chunk(EVENTS), keep_open=True)
        async with self.exchange.open(self.backend_call()) as stream:
            async for _ in stream.events():
                break
        async with asyncio.timeout(WAIT_S):
            await self.closed.wait()


class CloseDelimitedTest(ExchangeCase):
    """Responses with neither a length nor chunks end with their connection."""

    HEADS = (
        OK + b"\r\n",
        OK + b"Connection: close\r\n\r\n",
        OK + b"Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\n",
        OK.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
    )

    async def test_plain_response_is_whole(self):
        for head in self.HEADS:
            self.reply(head + b"whole")
            self.assertEqual(b"whole", (await self.call()).body, head)

    async def test_stream_is_whole(self):
        for head in self.HEADS:
            self.reply(head + EVENTS)
            self.assertEqual(EVENTS, b"".join(data for _, data in await self.events()))

    async def test_connection_is_not_used_again(self):
        """Guards against a request sent while the server closes the connection."""
        for connections, head in enumerate(self.HEADS, start=1):
            self.reply(head + b"whole")
            await self.call()
            self.assertEqual(connections, len(self.writers))

    async def test_empty_response_is_whole(self):
        for head in self.HEADS:
            self.reply(head)
            self.assertEqual(b"", (await self.call()).body, head)

    async def test_stream_cut_within_an_event_is_broken(self):
        for head in self.HEADS:
            for size in (len(EVENTS) - 1, len(EVENTS) // 2 + 3, 1):
                self.reply(head + EVENTS[:size])
                await self.assert_breaks()

    async def test_reset_between_events_breaks_the_stream(self):
        self.reset = True
        for head in self.HEADS:
            self.reply(head + EVENTS)
            await self.assert_breaks()

    async def test_reset_breaks_a_plain_response(self):
        self.reset = True
        for head in self.HEADS:
            for body in (b"", b"whole"):
                self.reply(head + body)
                error = await self.call_error()
                self.assertEqual(CallOutcome.UNKNOWN, error.outcome)

    async def assert_breaks(self):
        try:
            got = await self.events()
        except ExchangeError as exc:
            self.assertEqual(CallOutcome.UNKNOWN, exc.outcome)
            return
        self.fail(f"whole: {got}")


class LateRejectionTest(ExchangeCase):
    """A server sends a rejection again where the next response is expected."""

    REJECTION = (
        b"HTTP/1.1 503 Busy\r\nAttempt-Id: id1\r\nNot-Run: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    RESPONSE = OK + b"Content-Length: 5\r\n\r\nwhole"

    async def _send_replies(self, reader, writer):
        """Reject the first send of id1, and answer all others."""
        self.writers.append(writer)
        late = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = re.search(rb"Attempt-Id: (\S+)", head)[1]
                self.requests.append(request_id)
                if request_id != b"id1":
                    writer.write(self.RESPONSE.replace(b"id1", request_id))
                elif self.requests.count(b"id1") == 1:
                    writer.write(self.REJECTION)
                    late = self.REJECTION
                else:
                    writer.write(late + self.RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the client closed the connection
        finally:
            writer.close()

    async def test_late_rejection_does_not_answer_the_next_send(self):
        """Guards against a request that runs, and is sent again or refused."""
        self.assertIs(CallOutcome.NOT_RUN, (await self.call_error()).outcome)
        self.assertEqual(b"whole", (await self.call()).body)
        self.assertEqual([b"id1", b"id1"], self.requests)

    async def test_late_rejection_after_another_request(self):
        """Guards against the same with another request between the two sends."""
        await self.call_error()
        self.assertEqual(b"whole", (await self.call(request_id="id2")).body)
        self.assertEqual(1, len(self.writers))
        self.assertEqual(b"whole", (await self.call()).body)

    async def test_connection_carries_a_limited_number_of_requests(self):
        """Guards against ids that are kept as long as a connection is used."""
        limit = "wigeonscale.adapters.http_connector.MAX_REQUESTS_PER_CONNECTION"
        with mock.patch(limit, 3):
            for request_id in ("id2", "id3", "id4", "id5", "id6", "id7", "id8"):
                await self.call(request_id=request_id)
        self.assertEqual(3, len(self.writers))


class SecondResponseTest(ExchangeCase):
    """A server sends a second response, which is no response to the next request."""

    FIRST = OK + b"Content-Length: 3\r\n\r\none"
    SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"

    async def test_second_response_on_an_idle_connection(self):
        """Guards against its body as the answer to the next request."""
        self.reply(self.FIRST, keep_open=True)
        self.assertEqual(b"one", (await self.call()).body)
        received = asyncio.Event()
        read = ResponseHandler.data_received

        def data_received(protocol, data):
            read(protocol, data)
            received.set()

        with mock.patch.object(ResponseHandler, "data_received", data_received):
            self.writers[0].write(self.SECOND)
            async with asyncio.timeout(WAIT_S):
                await received.wait()
            self.reply(self.FIRST, keep_open=True)
            self.assertEqual(b"one", (await self.call()).body)
        self.assertEqual(2, len(self.writers))

    async def test_response_without_an_id_on_a_reused_connection(self):
        """Guards against a second response that crosses the next request."""
        self.reply(self.FIRST, self.SECOND, keep_open=True)
        await self.call()
        exc = await self.call_error(request_id="id2")
        self.assertIs(CallOutcome.UNKNOWN, exc.outcome)
        self.assertEqual(1, len(self.writers))

    async def test_connection_is_closed_after_a_response_to_another_request(self):
        """Guards against responses that all belong to the request before."""
        self.reply(self.FIRST, self.FIRST, keep_open=True)
        await self.call()
        await self.call_error(request_id="id2")
        self.reply(self.FIRST.replace(b"id1", b"id3"))
        self.assertEqual(b"one", (await self.call(request_id="id3")).body)
        self.assertEqual(2, len(self.writers))

    async def test_response_without_an_id_is_logged(self):
        """Guards against an answer of another request that leaves no trace."""
        self.reply(self.FIRST, self.SECOND, keep_open=True)
        await self.call()
        with self.assertLogs("wigeonscale.platform.exchange_http") as logs:
            await self.call_error(request_id="id2")
        fields = logs.records[0].fields
        local_address = self.writers[0].get_extra_info("peername")
        self.assertEqual(
            (True, "rejected", "", local_address, "Content-Length: 3"),
            (
                fields["is_reused"],
                fields["outcome"],
                fields.get("response_id", ""),
                fields["local_address"],
                fields["head"],
            ),
        )
