"""Invalid requests get the documented error, and the entry keeps serving."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st
from testscenarios import TestWithScenarios
from yarl import URL

from wigeonscale.entry.requests import ChatBody, CompletionBody, parse_body
from wigeonscale.entry.tests.support import KEY, EntryCase
from wigeonscale.errors import ERROR_RESPONSES, ErrorKind, RunState, WigeonscaleError
from wigeonscale.testing import AsyncTestCase

JSON = {"Content-Type": "application/json"}
GOOD = b'{"model": "proof-12", "prompt": "x"}'


def bad(name, kind, *, body=GOOD, path="/v1/completions", method="POST", **headers):
    """Return the scenario of one invalid request and its expected error kind."""
    headers = JSON | {key.replace("_", "-"): text for key, text in headers.items()}
    fields = {"kind": kind, "body": body, "path": path, "method": method}
    return name, fields | {"headers": headers}


class BadInputTest(TestWithScenarios, EntryCase):
    entry_settings = {"body_limit_bytes": 2048}
    scenarios = [
        bad("malformed", ErrorKind.BAD_REQUEST, body=b'{"model": '),
        bad("not an object", ErrorKind.BAD_REQUEST, body=b"[1]"),
        bad("empty", ErrorKind.BAD_REQUEST, body=b""),
        bad("not text", ErrorKind.BAD_REQUEST, body=b"\xff\xfe\x00"),
        bad("no model", ErrorKind.BAD_REQUEST, body=b'{"prompt": "x"}'),
        bad(
            "too many tokens",
            ErrorKind.BAD_REQUEST,
            body=GOOD[:-1] + b', "max_tokens": 999999}',
        ),
        bad("no tokens", ErrorKind.BAD_REQUEST, body=GOOD[:-1] + b', "max_tokens": 0}'),
        bad(
            "absent model",
            ErrorKind.UNKNOWN_MODEL,
            body=b'{"model": "absent", "prompt": "x"}',
        ),
        bad("too long", ErrorKind.BODY_TOO_LARGE, body=b" " * 4096),
        bad("media type", ErrorKind.UNSUPPORTED_MEDIA_TYPE, Content_Type="text/xml"),
        bad("encoding", ErrorKind.BAD_REQUEST, Content_Encoding="deflate"),
        bad("key", ErrorKind.UNKNOWN_KEY, Authorization="Bearer nobody"),
        bad("no scheme", ErrorKind.UNKNOWN_KEY, Authorization="nobody"),
        bad("deadline", ErrorKind.BAD_REQUEST, Wigeonscale_Deadline="nan"),
        bad("late", ErrorKind.BAD_REQUEST, Wigeonscale_Deadline="-1"),
        bad("priority", ErrorKind.BAD_REQUEST, Wigeonscale_Priority="high"),
        bad("idempotency", ErrorKind.BAD_REQUEST, Idempotency_Key="a b"),
        bad("no idempotency", ErrorKind.IDEMPOTENCY_KEY_REQUIRED, X_Billed="yes"),
        bad("closed", ErrorKind.REFUSED_BY_RULE, path="/closed/x"),
        bad("no rule", ErrorKind.NO_MATCHING_RULE, path="/elsewhere"),
        bad("dots", ErrorKind.BAD_REQUEST, path="/lookup/%2e%2e/notes/1"),
        bad("slash dots", ErrorKind.BAD_REQUEST, path="/lookup%2F..%5cnotes/1"),
        bad("no answer", ErrorKind.ANSWER_EXPIRED, path="/v1/requests/x", method="GET"),
        bad(
            "from",
            ErrorKind.BAD_REQUEST,
            path="/v1/requests/x@a1?from=-1",
            method="GET",
        ),
        bad("other", ErrorKind.NOT_FOUND, path="/v1/requests/x@a1", method="GET"),
    ]

    async def test_response_matches_the_error_table(self):
        answer = await self.http.request(
            self.method,
            URL(self.path, encoded=True),
            data=self.body,
            headers=self.headers,
        )
        document = await answer.json()
        self.assertEqual(self.kind, document["error"]["kind"], document)
        self.assertEqual(ERROR_RESPONSES[self.kind].status, answer.status)
        self.assertEqual(document["error"]["run"], answer.headers["Wigeonscale-Run"])
        self.assertEqual(
            ERROR_RESPONSES[self.kind].retryable, "Retry-After" in answer.headers
        )
        self.assertEqual([], self.agent.opened + self.service.opened)
        if self.method == "POST":
            self.assertEqual(RunState.NOT_RUN, document["error"]["run"])
        async with self.complete() as answer:
            self.assertEqual(200, answer.status)
        self.assertEqual(0, self.entry.in_progress)


class RawBytesTest(EntryCase):
    async def test_malformed_http_is_refused_and_the_entry_keeps_serving(self):
        host, _, port = self.server.address.rpartition(":")
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += f"Authorization: Bearer {KEY}\r\n".encode()
        for raw in (
            b"\x16\x03\x01\x00\xff\r\n\r\n",
            head + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n",
            head + b"a:\r\n" * 20_000,
            b"\r\n" * 20_000,
            head + b"Content-Length: -1\r\n\r\n",
            head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            async with asyncio.timeout(30):
                status_line = await reader.readline()
                rest = await reader.read()
            self.assertIn(b" 40", status_line, raw[:60])
            head_of_answer, _, body = rest.partition(b"\r\n\r\n")
            self.assertIn(b"Wigeonscale-Run: not-run", head_of_answer, raw[:60])
            error = json.loads(body)["error"]
            self.assertEqual("bad-request", error["kind"])
            self.assertEqual("not-run", error["run"])
            writer.close()
            await writer.wait_closed()
        async with self.complete() as answer:
            self.assertEqual(200, answer.status)
        self.assertEqual(0, self.entry.in_progress)


class _Request:
    content_type = "application/json"


class ParseBodyTest(AsyncTestCase):
    @hypothesis.settings(derandomize=True, max_examples=300, database=None)
    @hypothesis.given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=8),
            lambda each: (
                st.lists(each, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["model", "prompt", "messages", "max_tokens", "role"]
                    ),
                    each,
                )
            ),
            max_leaves=8,
        ).map(lambda value: __import__("json").dumps(value).encode())
    )
    def test_any_bytes_are_parsed_or_refused(self, raw):
        for body_type in (CompletionBody, ChatBody):
            try:
                body = parse_body(_Request, raw, body_type)
            except WigeonscaleError as exc:
                self.assertEqual(ErrorKind.BAD_REQUEST, exc.kind)
            else:
                body.prompt_text().encode("utf-8", "replace")
