"""Runs a daemon until a stop signal, then shuts it down gracefully."""

__all__ = [
    "EXIT_STOP_TIMEOUT",
    "EXIT_FAILED",
    "EXIT_OK",
    "StopStep",
    "late_step_timeout_s",
    "run_until_stopped",
    "shutdown_timeout_s",
]

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.errors import SettingsError

EXIT_OK = 0
EXIT_FAILED = 1  # a task of the daemon failed
EXIT_STOP_TIMEOUT = 3  # the graceful shutdown timed out; 2 is for invalid settings

# Timeout of each stop step that remains after the shutdown timeout, if the time until
# the process is killed is unknown.
LATE_STEP_TIMEOUT_S = 2.0
# Shares of the time until the process is killed: for all stop steps together, and for
# each step that remains after that. The rest is for the exit of the process.
SHUTDOWN_SHARE = 0.9
LATE_STEP_SHARE = 0.04

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StopStep:
    """One step of a graceful shutdown.

    Attributes:
        name: Short name for the log.
        run: Performs the step; cancelled at the shutdown timeout.
        on_timeout: Called after ``run`` was cancelled at the timeout, for example to
            notify the callers; None for nothing.
    """

    name: str
    run: Callable[[], Awaitable[object]]
    on_timeout: Callable[[], Awaitable[object]] | None = None


def shutdown_timeout_s(killed_after_s: float, stop_timeout_s: float) -> float:
    """Return the timeout of all stop steps of a process together, in seconds.

    Args:
        killed_after_s: Time from the stop signal until the process is killed; 0 if
            unknown.
        stop_timeout_s: Longest graceful shutdown according to the settings.

    Example:
        >>> shutdown_timeout_s(8.0, 30.0), shutdown_timeout_s(0.0, 30.0)
        (7.2, 30.0)
        >>> shutdown_timeout_s(8.0, 5.0)
        5.0
    """
    if not killed_after_s:
        return stop_timeout_s
    return min(stop_timeout_s, SHUTDOWN_SHARE * killed_after_s)


def late_step_timeout_s(killed_after_s: float) -> float:
    """Return the timeout of each step that remains after the shutdown timeout.

    Args:
        killed_after_s: Time from the stop signal until the process is killed; 0 if
            unknown.

    Returns:
        The timeout in seconds.
    """
    return LATE_STEP_SHARE * killed_after_s if killed_after_s else LATE_STEP_TIMEOUT_S


async def run_until_stopped(
    *,
    tasks: Mapping[str, Coroutine[object, object, object]],
    stop_steps: Sequence[StopStep],
    stop_timeout_s: float,
    late_step_timeout_s: float = LATE_STEP_TIMEOUT_S,
    stop: asyncio.Event | None = None,
    signals: Sequence[signal.Signals] = (signal.SIGTERM, signal.SIGINT),
    reload: Callable[[], None] | None = None,
) -> int:
    """Run coroutines until a stop signal, then run the stop steps in order.

    The coroutines keep running during the stop steps and are cancelled after them.
    An exception in a coroutine also stops the daemon.

    Args:
        tasks: Coroutines of the daemon by name.
        stop_steps: Steps of the graceful shutdown, in order.
        stop_timeout_s: Timeout of all steps together, in seconds.
        late_step_timeout_s: Timeout of each step that remains after that, in seconds.
        stop: Stops the daemon when set, by a signal or by the caller; None creates one.
        signals: Signals that stop the daemon; if empty, no handler is installed.
            Repeated signals have no effect.
        reload: Reloads the settings on SIGHUP; None if the daemon cannot reload them.

    Returns:
        ``EXIT_OK``, ``EXIT_FAILED`` or ``EXIT_STOP_TIMEOUT``, for ``sys.exit``.
    """
    stop = stop or asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in signals:
        loop.add_signal_handler(signum, stop.set)
    if signals:
        # The default action of SIGHUP would terminate the process.
        loop.add_signal_handler(signal.SIGHUP, _handle_sighup, reload)
    running = {
        asyncio.create_task(coro, name=name): name for name, coro in tasks.items()
    }
    try:
        failed = await _wait_for_stop(running, stop)
        logger.info("stopping", extra=log_fields(outcome="stopping"))
        stop.set()
        timed_out = await _run_steps(stop_steps, stop_timeout_s, late_step_timeout_s)
    finally:
        await _cancel(running)
        for signum in signals:
            loop.remove_signal_handler(signum)
        if signals:
            _ignore_sighup(loop)
    code = EXIT_FAILED if failed else EXIT_STOP_TIMEOUT if timed_out else EXIT_OK
    logger.info("stopped", extra=log_fields(outcome="stopped", exit_code=code))
    return code


def _ignore_sighup(loop: asyncio.AbstractEventLoop) -> None:
    """Replace the handler of SIGHUP, so that the exit code is the daemon's own."""
    # Without a handler the default action applies, which would terminate the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def _handle_sighup(reload: Callable[[], None] | None) -> None:
    if reload is None:
        logger.info("SIGHUP ignored: this daemon reads its settings only at start")
        return
    try:
        reload()
    except SettingsError as exc:
        logger.error("SIGHUP: reload failed, settings unchanged: %s", exc.message)
    except Exception:
        logger.exception("SIGHUP: reload failed, settings unchanged")
    else:
        logger.info("SIGHUP: settings reloaded", extra=log_fields(outcome="reloaded"))


async def _wait_for_stop(running: dict[asyncio.Task, str], stop: asyncio.Event) -> bool:
    """Return whether a task failed before the stop."""
    waiter = asyncio.create_task(stop.wait())
    pending = {waiter, *running}
    try:
        while waiter in pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any([_has_failed(task) for task in done - {waiter}]):
                return True
        return False
    finally:
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)


def _has_failed(task: asyncio.Task) -> bool:
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        logger.error("task %s failed", task.get_name(), exc_info=exc)
    return exc is not None


async def _run_steps(
    steps: Sequence[StopStep], timeout_s: float, late_step_timeout_s: float
) -> bool:
    """Return whether any step timed out."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    any_timed_out = False
    for step in steps:
        remaining_s = deadline - loop.time()
        limit_s = remaining_s if remaining_s > 0 else late_step_timeout_s
        if await _finishes_in_time(step.name, step.run, limit_s):
            continue
        any_timed_out = True
        if step.on_timeout is not None:
            await _finishes_in_time(
                f"{step.name} (on timeout)", step.on_timeout, late_step_timeout_s
            )
    return any_timed_out


async def _finishes_in_time(
    name: str, run: Callable[[], Awaitable[object]], limit_s: float
) -> bool:
    limit = asyncio.timeout(limit_s)
    try:
        async with limit:
            await run()
    except Exception:
        if limit.expired():
            logger.warning("stop step %s timed out after %.1f s", name, limit_s)
            return False
        # The remaining steps must still run.
        logger.exception("stop step %s failed", name)
    return True


async def _cancel(running: dict[asyncio.Task, str]) -> None:
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
