"""A step that fails must not end a task, nor be hidden from tests."""

import asyncio
import unittest

from wigeonscale.control.step_guard import REPEAT_LOG_INTERVAL_S, StepGuard
from wigeonscale.testing import AsyncTestCase, ManualClock


class StepGuardTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.guard = StepGuard(task="t", clock=self.clock)

    def fail(self, number=1):
        with self.guard.step(number=number):
            raise ValueError(f"number {number}")

    def test_failure_is_logged_with_its_inputs(self):
        self.fail(7)
        (record,) = self.take_step_failures()
        self.assertIn("ValueError('number 7')", record.getMessage())
        self.assertEqual("7", record.fields["number"])
        self.assertIsNotNone(record.exc_info)

    async def test_repeated_failure_is_logged_once_a_minute(self):
        for number in range(100):
            self.fail(number)
        self.assertEqual(1, len(self.take_step_failures()))
        await self.clock.advance(REPEAT_LOG_INTERVAL_S)
        self.fail()
        (record,) = self.take_step_failures()
        self.assertEqual(99, record.fields["repeats"])

    def test_other_failure_is_logged_at_once(self):
        self.fail()
        with self.guard.step():
            raise KeyError("k")
        self.assertEqual(2, len(self.take_step_failures()))

    def test_long_inputs_are_cut(self):
        with self.guard.step(names=["n" * 10] * 10_000):
            raise KeyError("k")
        (record,) = self.take_step_failures()
        self.assertTrue(len(record.fields["names"]) <= 2000)

    async def test_cancellation_ends_the_task(self):
        async def run():
            while True:
                with self.guard.step():
                    await self.clock.sleep(1.0)

        task = asyncio.create_task(run())
        await self.clock.advance(0.5)
        task.cancel()
        (result,) = await asyncio.gather(task, return_exceptions=True)
        self.assertIsInstance(result, asyncio.CancelledError)


class HiddenFailureTest(AsyncTestCase):
    def test_a_test_that_does_not_expect_a_failure_fails(self):
        class Case(AsyncTestCase):
            def runTest(self):  # noqa: N802
                with StepGuard(task="t", clock=ManualClock()).step():
                    raise ValueError("hidden")

        result = unittest.TestResult()
        Case("runTest").run(result)
        self.assertFalse(result.wasSuccessful())
        self.assertIn("hidden", (result.failures + result.errors)[0][1])
        # The inner test reports to the same logger.
        self.take_step_failures()
