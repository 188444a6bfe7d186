import asyncio
import unittest

from wigeonscale.testing import AsyncTestCase


def outcome_of(name):
    """Run one case of a class defined here, so that no test loader collects it."""

    class FailingCase(AsyncTestCase):
        async def fail_in_coroutine(self):
            await asyncio.sleep(0)
            self.assertEqual(1, 2)

        async def leave_task(self):
            self.task = asyncio.create_task(asyncio.sleep(3600))

        async def pass_through(self):
            await asyncio.sleep(0)

        def fail_in_cleanup(self):
            async def broken():
                raise ValueError("planted")

            self.addCleanup(broken)

    result = unittest.TestResult()
    FailingCase(name).run(result)
    return result


class AsyncTestCaseTest(AsyncTestCase):
    def test_coroutine_failure_is_seen(self):
        self.assertEqual(1, len(outcome_of("fail_in_coroutine").failures))

    def test_left_over_task_fails(self):
        self.assertFalse(outcome_of("leave_task").wasSuccessful())

    def test_broken_async_cleanup_fails(self):
        self.assertFalse(outcome_of("fail_in_cleanup").wasSuccessful())

    def test_pass(self):
        result = outcome_of("pass_through")
        self.assertTrue(result.wasSuccessful())
        self.assertEqual(1, result.testsRun)
