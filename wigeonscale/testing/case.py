"""The base class of every test, with support for coroutine tests."""

__all__ = ["AsyncRunTest", "AsyncTestCase"]

import asyncio
import inspect
import logging

import testtools

TEST_TIMEOUT_S = 120.0
# Reports failures that a background task of control survives.
STEP_FAILURE_LOGGER = "wigeonscale.control.step_guard"


class AsyncRunTest(testtools.RunTest):
    """Runs one test on its own event loop and fails it if asyncio tasks are left."""

    def _run_core(self):
        with asyncio.Runner() as runner:
            self._runner = runner
            super()._run_core()

    def _run_user(self, fn, *args, **kwargs):
        def run_to_end():
            result = fn(*args, **kwargs)
            if inspect.iscoroutine(result):
                return self._runner.run(_with_timeout(result, TEST_TIMEOUT_S))
            return result

        return super()._run_user(run_to_end)

    def _run_cleanups(self, result):
        outcome = super()._run_cleanups(result)
        task_check = self._run_user(self._check_no_tasks_left)
        if self.exception_caught in (outcome, task_check):
            return self.exception_caught
        return None

    async def _check_no_tasks_left(self):
        await asyncio.sleep(0)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        names = sorted(str(task.get_coro()) for task in tasks)
        if names:
            raise AssertionError(f"asyncio tasks still running after the test: {names}")


async def _with_timeout(coro, seconds):
    # asyncio.wait_for() would create a task that the leftover check then reports.
    async with asyncio.timeout(seconds):
        return await coro


class _RecordCollector(logging.Handler):
    """Keeps the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record)


class AsyncTestCase(testtools.TestCase):
    """A test case whose test methods and cleanups may be coroutine functions.

    ``prepare`` is awaited before each coroutine test. ``addCleanup`` accepts
    coroutine functions. Synchronous tests work unchanged. A test fails if a background
    task survived the failure of a step, unless it calls :meth:`take_step_failures`.
    """

    run_tests_with = AsyncRunTest

    def setUp(self):
        """Collect the step failures of the test."""
        super().setUp()
        self._step_failures = _RecordCollector()
        step_logger = logging.getLogger(STEP_FAILURE_LOGGER)
        step_logger.addHandler(self._step_failures)
        self.addCleanup(self._check_no_step_failures)
        self.addCleanup(step_logger.removeHandler, self._step_failures)

    def take_step_failures(self) -> list[logging.LogRecord]:
        """Return the failures of steps so far, which the test expects."""
        taken, self._step_failures.records = self._step_failures.records, []
        return taken

    def _check_no_step_failures(self):
        failures = [record.getMessage() for record in self.take_step_failures()]
        if failures:
            raise AssertionError(f"steps of background tasks failed: {failures}")

    async def prepare(self) -> None:
        """Set up fixtures that need the event loop; does nothing by default."""

    def _run_test_method(self, result):
        method = self._get_test_method()
        if not inspect.iscoroutinefunction(method):
            return method()
        return self._run_async(method)

    async def _run_async(self, method):
        await self.prepare()
        await method()
