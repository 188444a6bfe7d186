"""Generations through the entry: streams, JSON responses and errors."""

import asyncio
import json

from wigeonscale.dispatch.tests.fake_agent import WORDS
from wigeonscale.entry.tests.support import KEY, EntryCase, read_events
from wigeonscale.wire import wire_pb2 as wire


class CompletionsTest(EntryCase):
    async def test_stream_contains_every_token_with_its_index(self):
        async with self.complete(stream=True) as answer:
            events = await read_events(answer)
        texts = [event["data"]["choices"][0]["text"] for event in events[:-2]]
        self.assertEqual(list(WORDS), texts)
        indices = [event["id"] for event in events[:-2]]
        self.assertEqual([str(i) for i in range(len(WORDS))], indices)
        last = events[-2]["data"]
        self.assertEqual({"completion_tokens": len(WORDS)}, last["usage"])
        self.assertEqual("stop", last["choices"][0]["finish_reason"])
        self.assertEqual("[DONE]", events[-1]["data"])
        self.assertEqual(answer.headers["Wigeonscale-Request"], last["id"])

    async def test_stream_to_http_1_0_caller_is_not_chunked(self):
        host, _, port = self.server.address.rpartition(":")
        body = b'{"model": "proof-12", "prompt": "x", "stream": true}'
        head = (
            f"POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + body)
        async with asyncio.timeout(30):
            answer = await reader.read()
        writer.close()
        events = answer.partition(b"\r\n\r\n")[2]
        self.assertNotIn(b"\r\n", events)
        self.assertEqual(len(WORDS), events.count(b"id: "))
        self.assertTrue(events.endswith(b"data: [DONE]\n\n"))

    async def test_json_response_is_complete(self):
        async with self.complete() as answer:
            document = await answer.json()
        self.assertEqual("".join(WORDS), document["choices"][0]["text"])
        self.assertEqual(len(WORDS), document["usage"]["completion_tokens"])

    async def test_chat_has_its_own_shape(self):
        body = {
            "model": "proof-12",
            "messages": [{"role": "user", "content": "ahoj"}],
        }
        async with self.http.post("/v1/chat/completions", json=body) as answer:
            document = await answer.json()
        message = document["choices"][0]["message"]
        self.assertEqual({"role": "assistant", "content": "".join(WORDS)}, message)
        opening = dict(self.agent.seen)["open"]
        self.assertEqual(b"ahoj", opening.generate.prompt)

    async def test_concurrent_answers_are_not_mixed_up(self):
        async def one(shape: int) -> list[str]:
            async with self.complete(stream=True, prompt=f"page {shape}") as answer:
                events = await read_events(answer)
            request_id = answer.headers["Wigeonscale-Request"]
            self.assertTrue(all(e["data"]["id"] == request_id for e in events[:-1]))
            return [event["data"]["choices"][0]["text"] for event in events[:-2]]

        answers = await asyncio.gather(*(one(number) for number in range(40)))
        self.assertEqual([list(WORDS)] * 40, answers)
        self.assertEqual(40, len(set(self.agent.opened)))

    async def test_disconnect_without_streaming_cancels_at_the_agent(self):
        self.agent.hold = 2
        request = asyncio.create_task(self._plain())
        await self.agent.until(lambda agent: agent.opened)
        request.cancel()
        await self.agent.until(lambda agent: "cancel" in agent.names())
        await self.entry.wait_until_idle()

    async def test_refusal_of_the_agent_reaches_the_caller(self):
        refused = wire.Refused(
            kind="overloaded", run_state="not-run", retry_after_ms=2500
        )
        self.agent.refusals = [refused] * 5
        async with self.complete() as answer:
            document = await answer.json()
        self.assertEqual(503, answer.status)
        self.assertEqual("not-run", answer.headers["Wigeonscale-Run"])
        self.assertEqual("3", answer.headers["Retry-After"])
        self.assertEqual("overloaded", document["error"]["kind"])
        self.assertEqual(2.5, document["error"]["retry_after"])

    async def _plain(self) -> dict:
        async with self.complete() as answer:
            return json.loads(await answer.read())
