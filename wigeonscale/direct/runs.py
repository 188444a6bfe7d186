"""A send in progress and the engines that run it."""

__all__ = ["Run"]

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

# EWMA weight of the newest interval between events; covers about three intervals.
RECENT_INTERVAL_EWMA_WEIGHT = 0.4


@dataclass(slots=True, eq=False)
class Run:
    """One send in progress.

    Attributes:
        backend_ids: Backend servers that run it; several for a path.
        token_layers: KV cache demand by backend server, in tokens times layers.
        progress_at: Time of the last event, or of the send before the first event. It
            is moved forward by any time in which this process did not read events.
        wait_timeout: Timeout of the wait for events, which may be rescheduled to abort
            the wait; None if there is no such wait.
        leave: Waits until the run can leave its engines, and returns whether its wait
            for events is to be aborted; None to abort it at once.
        leave_task: Task of the latest such wait.
        is_writing: Whether the caller is being sent a part of the response. Meanwhile
            no events are read, and the run is not aborted: the caller may have that
            part already.
        must_abort: Whether the run is to be aborted once that part was sent.
        is_split: Whether several engines run the layers, so that some of them can be
            replaced.
        first_event_at: Time of the first event; None before it.
        latest_event_at: Time at which the latest event was read.
        events: Number of events.
        expected_interval_s: Expected time between events; 0 if unknown.
        recent_interval_s: Moving average of the time between events; 0 before the
            second event.
        fingerprint: Hash that is the same for the same request under another id.
        has_gone_on: Whether this or an earlier run of the request went well past its
            start, so that the request does not crash servers by starting.
        sent_at: Time at which the request was sent.
        detects_early: Whether an engine that it passes is probed as soon as this run
            is overdue, and not only when all runs through the engine are.
    """

    backend_ids: tuple[str, ...]
    token_layers: dict[str, float] = field(default_factory=dict)
    progress_at: float = 0.0
    wait_timeout: asyncio.Timeout | None = None
    leave: Callable[[], Awaitable[bool]] | None = None
    leave_task: asyncio.Task | None = None
    is_writing: bool = False
    must_abort: bool = False
    is_split: bool = False
    first_event_at: float | None = None
    events: int = 0
    expected_interval_s: float = 0.0
    recent_interval_s: float = 0.0
    fingerprint: bytes = b""
    has_gone_on: bool = False
    sent_at: float = 0.0
    latest_event_at: float = 0.0
    detects_early: bool = False

    @property
    def has_events(self) -> bool:
        """Whether any event was received."""
        return self.events > 0

    @property
    def mean_interval_s(self) -> float:
        """Mean time between all events; 0 before the second."""
        if self.events < 2:
            return 0.0
        return (self.progress_at - self.first_event_at) / (self.events - 1)

    @property
    def event_span_s(self) -> float:
        """Time from the first event to the latest, in seconds; 0 before the second."""
        if self.first_event_at is None:
            return 0.0
        return self.latest_event_at - self.first_event_at

    def note_progress(self, now: float) -> None:
        """Record an event."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            gap_s = now - self.progress_at
            weight = RECENT_INTERVAL_EWMA_WEIGHT if self.recent_interval_s else 1.0
            self.recent_interval_s += weight * (gap_s - self.recent_interval_s)
        self.progress_at = now
        self.latest_event_at = now
        self.events += 1

    @property
    def is_leaving(self) -> bool:
        """Whether the run waits to leave engines that may be lost."""
        return self.leave_task is not None and not self.leave_task.done()

    def leave_engines(self) -> None:
        """Let the run leave engines that may be lost, as soon as it can go on."""
        if self.leave is None:
            self.abort_wait()
        elif not self.is_leaving:
            self.leave_task = asyncio.create_task(self._leave_engines())

    async def _leave_engines(self) -> None:
        if await self.leave():
            self.abort_wait()

    def begin_write(self) -> None:
        """Record that a part of the response is being sent to the caller.

        An abort that is due but has not reached the wait for events waits as well.
        """
        self.is_writing = True
        timeout = self.wait_timeout
        if timeout is None or timeout.expired():
            return
        if timeout.when() is not None:
            timeout.reschedule(None)
            self.must_abort = True

    def end_write(self, now: float) -> None:
        """Record that it was sent; the time that it took is no pause of the engines."""
        self.is_writing = False
        self.progress_at = now
        if self.must_abort:
            self.abort_wait()

    def abort_wait(self) -> None:
        """Abort the wait for events, so that the request is sent again."""
        if self.is_writing:
            self.must_abort = True
        elif self.wait_timeout is not None and not self.wait_timeout.expired():
            self.wait_timeout.reschedule(asyncio.get_running_loop().time())
