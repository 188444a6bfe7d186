import asyncio
import os
import signal

from wigeonscale.daemons.runtime import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_STOP_TIMEOUT,
    StopStep,
    run_until_stopped,
)
from wigeonscale.errors import SettingsError
from wigeonscale.testing import AsyncTestCase


async def forever():
    await asyncio.Event().wait()


class RuntimeTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.log = []

    def step(self, name, run=None, on_timeout=None):
        async def default():
            for _ in range(5):
                await asyncio.sleep(0)
            self.log.append(name)

        return StopStep(name=name, run=run or default, on_timeout=on_timeout)

    async def background(self):
        try:
            await forever()
        finally:
            self.log.append("background ended")

    async def run_daemon(self, *steps, timeout_s=30.0, **options):
        tasks = {"background": self.background(), **options.pop("tasks", {})}
        async with asyncio.timeout(60):
            return await run_until_stopped(
                tasks=tasks, stop_steps=steps, stop_timeout_s=timeout_s, **options
            )

    async def send(self, signum):
        os.kill(os.getpid(), signum)

    async def test_signal_runs_the_stop_steps_in_order(self):
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.log.clear()
            code = await self.run_daemon(
                self.step("one"), self.step("two"), tasks={"kill": self.send(signum)}
            )
            self.assertEqual(EXIT_OK, code)
            self.assertEqual(["one", "two", "background ended"], self.log)
            loop = asyncio.get_running_loop()
            self.assertFalse(loop.remove_signal_handler(signum), "handler left")

    async def test_second_signal_has_no_effect(self):
        async def signalled():
            await self.send(signal.SIGTERM)
            for _ in range(10):
                await asyncio.sleep(0)
            self.log.append("one")

        kill = {"kill": self.send(signal.SIGTERM)}
        code = await self.run_daemon(self.step("one", signalled), tasks=kill)
        self.assertEqual(EXIT_OK, code)
        self.assertEqual(["one", "background ended"], self.log)

    async def test_stop_event_stops_the_daemon(self):
        stop = asyncio.Event()
        stop.set()
        code = await self.run_daemon(self.step("one"), stop=stop, signals=())
        self.assertEqual((EXIT_OK, ["one", "background ended"]), (code, self.log))

    async def test_failed_task_stops_the_daemon(self):
        async def fail():
            raise ValueError("planted")

        code = await self.run_daemon(self.step("one"), tasks={"fail": fail()})
        self.assertEqual(EXIT_FAILED, code)
        self.assertEqual(["one", "background ended"], self.log)

    async def test_step_is_cancelled_at_the_timeout_and_its_handler_runs(self):
        async def tell():
            self.log.append("told")

        stop = asyncio.Event()
        stop.set()
        code = await self.run_daemon(
            self.step("endless", forever, on_timeout=tell),
            self.step("close"),
            timeout_s=0.05,
            stop=stop,
        )
        self.assertEqual(EXIT_STOP_TIMEOUT, code)
        self.assertEqual(["told", "close", "background ended"], self.log)

    async def test_failing_step_does_not_prevent_the_others(self):
        async def fail():
            raise TimeoutError("planted")

        stop = asyncio.Event()
        stop.set()
        code = await self.run_daemon(
            self.step("fails", fail), self.step("two"), stop=stop
        )
        self.assertEqual(EXIT_OK, code)
        self.assertEqual(["two", "background ended"], self.log)

    async def test_task_that_ends_does_not_stop_the_daemon(self):
        ended = asyncio.Event()
        stop = asyncio.Event()

        async def end():
            ended.set()

        async def stop_later():
            await ended.wait()
            for _ in range(10):
                await asyncio.sleep(0)
            self.log.append("still running")
            stop.set()

        code = await self.run_daemon(
            tasks={"end": end(), "later": stop_later()}, stop=stop
        )
        self.assertEqual(EXIT_OK, code)
        self.assertEqual(["still running", "background ended"], self.log)


class SighupTest(AsyncTestCase):
    """Tests of SIGHUP, whose default action would terminate the process."""

    def setUp(self):
        super().setUp()
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))

    async def run_through(self, reload):
        stop = asyncio.Event()
        handled = asyncio.Event()

        def reload_and_tell():
            handled.set()
            reload()

        async def work():
            os.kill(os.getpid(), signal.SIGHUP)
            await handled.wait()
            stop.set()
            await asyncio.get_running_loop().create_future()

        return await run_until_stopped(
            tasks={"work": work()},
            stop_steps=[],
            stop_timeout_s=1.0,
            stop=stop,
            reload=reload_and_tell,
        )

    async def test_settings_are_reloaded(self):
        calls = []
        code = await self.run_through(lambda: calls.append("read"))
        self.assertEqual((EXIT_OK, ["read"]), (code, calls))

    async def test_invalid_settings_are_ignored(self):
        def reload():
            raise SettingsError("planted")

        self.assertEqual(EXIT_OK, await self.run_through(reload))

    async def test_sighup_after_the_end_does_not_terminate_the_process(self):
        # Guards against an exit by signal 1 of a daemon that has stopped gracefully.
        await self.run_through(lambda: None)
        self.assertEqual(signal.SIG_IGN, signal.getsignal(signal.SIGHUP))
        os.kill(os.getpid(), signal.SIGHUP)
