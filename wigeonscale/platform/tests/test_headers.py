from multidict import CIMultiDict

from wigeonscale.layers import LayerRange, Part
from wigeonscale.platform.headers import (
    backend_headers,
    is_not_run,
    is_other_incarnation,
    parse_event_id,
    read_notice,
    read_request_headers,
    read_response_head,
    response_headers,
)
from wigeonscale.ports.exchange import (
    BackendCall,
    CallerRequest,
    GenerationSize,
    ServerNotice,
)
from wigeonscale.testing import AsyncTestCase


def headers(**values):
    named = {name.replace("_", "-"): value for name, value in values.items()}
    return read_request_headers(CIMultiDict(named))


def sent_headers(call_fields=None, **values):
    read = headers(**values)
    req = CallerRequest(
        request_id=read.request_id,
        host=read.host,
        method="POST",
        path="/",
        headers=read.forwarded,
        body=b"",
        key=read.key,
        arrived_at=0.0,
    )
    fields = {"organisation": "one", "priority": 1} | (call_fields or {})
    call = BackendCall(
        req=req, address="a:1", backend_id="i-1", left_s=1.2345, **fields
    )
    pairs = backend_headers(call)
    names = [name.lower() for name, _ in pairs]
    assert len(names) == len(set(names)), names
    return CIMultiDict(pairs)


class RequestTest(AsyncTestCase):
    def test_request_headers(self):
        read = headers(
            attempt_id="id1",
            host="h",
            authorization="Bearer  k1 ",
            request_deadline="1500",
            token_count="1460,80",
            last_event_id="12",
        )
        self.assertEqual(("id1", "h", "k1"), (read.request_id, read.host, read.key))
        self.assertEqual(1.5, read.deadline_s)
        self.assertEqual(12, read.last_event_id)
        self.assertEqual(
            GenerationSize(prompt_tokens=1460, max_tokens=80, expected_tokens=80),
            read.generation,
        )

    def test_length_hint_sets_expected_tokens(self):
        read = headers(token_count="10,80", length_hint="33")
        self.assertEqual(33, read.generation.expected_tokens)

    def test_prompt_parts_are_the_ids_without_token_counts(self):
        read = headers(prompt_prefix="5C1e:800, 91bd:410,e440:250")
        self.assertEqual(("5c1e", "91bd", "e440"), read.prompt_parts)

    def test_prompt_parts_without_an_id_are_skipped(self):
        self.assertEqual((), headers().prompt_parts)
        read = headers(prompt_prefix=",:40,  ,5c1e,91bd:x")
        self.assertEqual(("5c1e", "91bd"), read.prompt_parts)

    def test_invalid_numbers_are_ignored(self):
        read = headers(
            request_deadline="-1", token_count="x,", last_event_id="1e3", length_hint=""
        )
        self.assertIsNone(read.deadline_s)
        self.assertIsNone(read.last_event_id)
        self.assertEqual(GenerationSize(), read.generation)

    def test_numbers_beyond_any_range_are_ignored(self):
        """Guards against an internal error for a number that no float can hold."""
        huge = "9" * 400
        read = headers(
            request_deadline=huge,
            token_count=f"{huge},{huge}",
            last_event_id=huge,
            length_hint=huge,
        )
        self.assertIsNone(read.deadline_s)
        self.assertIsNone(read.last_event_id)
        self.assertEqual(GenerationSize(), read.generation)
        self.assertIsNone(parse_event_id(f"id: {huge}\ndata: x".encode()))

    def test_ids_of_events_are_exact(self):
        """Guards against ids that are rounded, so that events seem to be missing."""
        number = 2**53 + 1
        self.assertEqual(number, headers(last_event_id=str(number)).last_event_id)
        self.assertEqual(number, parse_event_id(f"id: {number}\ndata: x".encode()))


class BackendHeadersTest(AsyncTestCase):
    def test_headers_of_the_caller_are_forwarded(self):
        got = sent_headers(
            attempt_id="id1", model="m", prompt_prefix="a:1", x_other="v"
        )
        self.assertEqual("id1", got["Attempt-Id"])
        self.assertEqual("v", got["X-Other"])
        self.assertEqual("a:1", got["Prompt-Prefix"])

    def test_router_headers_override_those_of_the_caller(self):
        got = sent_headers(
            tenant="forged",
            authorization="Bearer k",
            expect_instance="forged",
            request_priority="0",
            hop_count="forged",
            request_deadline="999999",
        )
        self.assertEqual("one", got["Tenant"])
        self.assertEqual("i-1", got["Expect-Instance"])
        self.assertEqual("1", got["Request-Priority"])
        self.assertEqual("1234", got["Request-Deadline"])
        self.assertNotIn("Authorization", got)
        self.assertNotIn("Hop-Count", got)

    def test_no_tenant_header_without_an_organisation(self):
        got = sent_headers({"organisation": ""}, tenant="forged")
        self.assertNotIn("Tenant", got)

    def test_hop_by_hop_request_headers_are_dropped(self):
        got = sent_headers(
            connection="keep-alive, X-Hop",
            x_hop="1",
            te="trailers",
            transfer_encoding="chunked",
            content_length="3",
        )
        for name in ("Connection", "X-Hop", "TE", "Transfer-Encoding"):
            self.assertNotIn(name, got)
        self.assertNotIn("Content-Length", got)

    def test_path(self):
        path = (Part("i-1", LayerRange(0, 20)), Part("i-2", LayerRange(20, 80)))
        got = sent_headers(
            {"path": path, "addresses": ("a:1", "b:2"), "after_event": 4}
        )
        self.assertEqual("a:1=0-20,b:2=20-80", got["Hop-Count"])
        self.assertEqual("4", got["Last-Event-Id"])

    def test_priority_is_clamped(self):
        self.assertEqual("9", sent_headers({"priority": 40})["Request-Priority"])
        self.assertEqual("0", sent_headers({"priority": -1})["Request-Priority"])
        self.assertNotIn("Request-Priority", sent_headers({"priority": None}))


class AnswerTest(AsyncTestCase):
    def test_hop_by_hop_response_headers_are_dropped(self):
        head = read_response_head(
            200,
            [(b"Connection", b"close"), (b"Response-Stamp", b"s"), (b"Date", b"d")],
            ServerNotice(),
        )
        self.assertEqual((("Response-Stamp", "s"),), head.headers)

    def test_is_not_run(self):
        self.assertTrue(is_not_run(503, CIMultiDict({"not-run": "1"})))
        self.assertTrue(is_not_run(421, CIMultiDict()))
        self.assertFalse(is_not_run(503, CIMultiDict()))
        self.assertFalse(is_not_run(500, CIMultiDict()))

    def test_rejection_by_a_later_engine_is_not_another_incarnation(self):
        self.assertTrue(is_other_incarnation(421, CIMultiDict()))
        self.assertFalse(is_other_incarnation(421, CIMultiDict({"At-Server": "a:1"})))

    def test_retry_after(self):
        self.assertEqual(
            {"Attempt-Id": "id1", "Retry-After": "0.30"}, response_headers("id1", 0.3)
        )
        self.assertEqual({}, response_headers("", None))

    def test_event_ids(self):
        self.assertEqual(12, parse_event_id(b"weight-versions: 2\nid: 12\ndata: x"))
        self.assertIsNone(parse_event_id(b"data: id: 3"))
        self.assertIsNone(parse_event_id(b"id: x"))

    def test_server_notice(self):
        notice = read_notice(
            200, CIMultiDict({"server-limit": "1.5", "Retry-After": "3"})
        )
        self.assertEqual(ServerNotice(limit_per_s=1.5), notice)
        notice = read_notice(503, CIMultiDict({"Retry-After": "0.25"}))
        self.assertEqual(ServerNotice(retry_after_s=0.25), notice)
        notice = read_notice(200, CIMultiDict({"Server-Leaving": "1"}))
        self.assertEqual(ServerNotice(is_leaving=True), notice)
        self.assertEqual(ServerNotice(), read_notice(200, CIMultiDict()))
        notice = read_notice(200, CIMultiDict({"Server-Limit": "0"}))
        self.assertEqual(ServerNotice(limit_per_s=0.0), notice)

    def test_invalid_notice_headers_are_ignored(self):
        for text in ("", "many", "-1", "nan", "inf"):
            headers = CIMultiDict({"Server-Limit": text, "Retry-After": text})
            self.assertEqual(ServerNotice(), read_notice(503, headers), text)
