"""Keeps a background task of control running when one of its steps fails.

Its inputs come from the replicated state, so a step that ended the process would end
every replica, again after each start.
"""

__all__ = ["StepGuard"]

import contextlib
import logging
import traceback
from collections.abc import Iterator

from wigeonscale.adapters.logs import log_fields
from wigeonscale.ports import Clock

# A failure that comes again within this time is only counted.
REPEAT_LOG_INTERVAL_S = 60.0
MAX_TRACKED_FAILURES = 64
MAX_LOGGED_CHARS = 2000

logger = logging.getLogger(__name__)


class StepGuard:
    """Logs the exceptions of a task's steps, and lets the task go on.

    Args:
        task: Name of the task for the log.
        clock: Time source.

    Example:
        >>> guard = StepGuard(task="layers", clock=clock)
        >>> with guard.step(service="m"):
        ...     reconcile("m")
    """

    def __init__(self, *, task: str, clock: Clock):
        self._task = task
        self._clock = clock
        # Time of the last log line of each failure, and how often it came since.
        self._failures: dict[tuple, tuple[float, int]] = {}

    @contextlib.contextmanager
    def step(self, **inputs: object) -> Iterator[None]:
        """Run the body of a ``with`` statement; its exceptions are only logged.

        Cancellation is not an exception of the step and ends the task.

        Args:
            inputs: What the step works on, for the log.
        """
        try:
            yield
        except Exception as exc:
            self.report(exc, **inputs)

    def report(self, exc: BaseException, **inputs: object) -> None:
        """Log an exception with the inputs that caused it.

        Args:
            exc: The exception.
            inputs: What the step worked on.
        """
        now = self._clock.now()
        key = _failure_key(exc)
        logged_at, repeats = self._failures.get(key, (-REPEAT_LOG_INTERVAL_S, 0))
        if now - logged_at < REPEAT_LOG_INTERVAL_S:
            self._failures[key] = logged_at, repeats + 1
            return
        if key not in self._failures and len(self._failures) >= MAX_TRACKED_FAILURES:
            self._failures.clear()
        self._failures[key] = now, 0
        logger.error(
            "a step of task %s failed: %r",
            self._task,
            exc,
            exc_info=exc,
            extra=log_fields(
                outcome="skipped",
                repeats=repeats,
                **{
                    name: repr(each)[:MAX_LOGGED_CHARS] for name, each in inputs.items()
                },
            ),
        )


def _failure_key(exc: BaseException) -> tuple:
    """Return the type of an exception and the line that raised it."""
    frames = traceback.extract_tb(exc.__traceback__, limit=-1)
    place = (frames[0].filename, frames[0].lineno) if frames else ()
    return type(exc), *place
