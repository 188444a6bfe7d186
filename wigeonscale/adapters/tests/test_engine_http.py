import aiohttp
from aiohttp import web

from wigeonscale.adapters.engine_http import HttpEngine
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import EngineInfo, EngineStep
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import (
    FakeEngine,
    expected_tokens,
    serve_engine,
)


class HttpEngineTest(AsyncTestCase):
    async def prepare(self):
        info = EngineInfo(model="m", last_layer=3, adapters=("x",))
        self.fake = FakeEngine(name="e", info=info)
        runner, url = await serve_engine(self.fake)
        self.addCleanup(runner.cleanup)
        self.session = session = aiohttp.ClientSession()
        self.addCleanup(session.close)
        self.engine = HttpEngine(url=url, session=session)
        self.unreachable = HttpEngine(url="http://127.0.0.1:1", session=session)

    def step(self, position, text, sequence="s/1#1"):
        return EngineStep(sequence, 1, position, 1, position == 0, text.encode())

    async def test_port_over_http(self):
        self.assertEqual(self.fake.state, await self.engine.info())
        (first,) = await self.engine.run([self.step(0, '["p"]')])
        want = expected_tokens("p", 4, 2)
        self.assertEqual(want[0], first.token_text)
        cache = await self.engine.export_cache("s/1#1")
        await self.engine.import_cache("copy", 1, cache)
        (second,) = await self.engine.run([self.step(1, f'["{want[0]}"]', "copy")])
        self.assertEqual(want[1], second.token_text)
        self.assertEqual(2, (await self.engine.load()).running)
        await self.engine.cancel(["s/1#1", "copy"])
        self.assertEqual({}, self.fake.caches)
        self.assertEqual([], await self.engine.cache_events(0))

    async def test_old_fencing_token_is_rejected(self):
        args = {"first_layer": 0, "last_layer": 1}
        await self.engine.order(term=2, sequence=1, action="load", args=args)
        with self.assertRaises(WigeonscaleError) as caught:
            await self.engine.order(term=1, sequence=9, action="load", args=args)
        self.assertEqual(ErrorKind.STALE_TERM, caught.exception.kind)
        self.assertEqual([(2, 1, "load")], self.fake.orders)

    async def test_failures_are_backend_failed(self):
        self.fake.failing = True
        calls = [
            self.unreachable.info,
            self.engine.info,
            lambda: self.engine.run([self.step(0, "no JSON")]),
        ]
        for call in calls:
            with self.assertRaises(WigeonscaleError) as caught:
                await call()
            self.assertEqual(ErrorKind.BACKEND_FAILED, caught.exception.kind)
            self.assertEqual(RunState.UNKNOWN, caught.exception.run_state)

    async def test_malformed_responses_are_backend_failed(self):
        docs = []
        app = web.Application()

        async def show(req):
            return web.json_response(docs[-1])

        app.add_routes([web.get("/info", show)])
        runner = web.AppRunner(app)
        await runner.setup()
        self.addCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        engine = HttpEngine(url=url, session=self.session)
        for doc in ([], "x", {}, {"model": 7}, {"model": "m", "adapters": None}):
            docs.append(doc)
            with self.assertRaises(WigeonscaleError, msg=repr(doc)) as caught:
                await engine.info()
            self.assertEqual(ErrorKind.BACKEND_FAILED, caught.exception.kind)
        docs.append({"model": "m", "slots": 4, "field_of_a_later_version": 1})
        self.assertEqual(EngineInfo(model="m", slots=4), await engine.info())

    async def test_tokens_reveal_missing_repeated_and_swapped_positions(self):
        good = ['["a"]', '["b"]', '["c"]']
        tokens = set()
        for inputs in (good, good[:2], [*good, good[2]], [good[1], good[0], good[2]]):
            for position, text in enumerate(inputs):
                (result,) = await self.engine.run([self.step(position, text)])
            tokens.add(result.token_text)
        self.assertEqual(4, len(tokens))
