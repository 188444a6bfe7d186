"""One send in progress, and the engines that it runs on."""

__all__ = ["Run"]

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

# Weight of the newest in the mean time between the latest events; about three count.
RECENT_INTERVAL_EWMA_WEIGHT = 0.4


@dataclass(slots=True, eq=False)
class Run:
    """One send in progress.

    Attributes:
        backend_ids: Backend servers that it runs on; several for a path.
        token_layers: Memory that it takes, in tokens times layers, by backend server.
        progress_at: Instant of its last sign of progress.
        watch: Its wait, which may be ended early; None where nobody waits so.
        move: Takes it off the lost engines of its path while it goes on, and returns
            whether that was done; None where that cannot be.
        moving: A move under way.
        began_at: Instant of the first sign of progress; None before it.
        latest_event_at: Instant of the latest event, as it was read.
        events: Signs of progress so far.
        expected_interval_s: Time between events to be expected; 0 where none is known.
        recent_interval_s: Mean time between the latest events; 0 before the second.
        fingerprint: What its request shares with the same one under another id.
        sent_at: Instant at which it was handed to the network.
    """

    backend_ids: tuple[str, ...]
    token_layers: dict[str, float] = field(default_factory=dict)
    progress_at: float = 0.0
    wait_timeout: asyncio.Timeout | None = None
    reroute: Callable[[], Awaitable[bool]] | None = None
    reroute_task: asyncio.Task | None = None
    first_event_at: float | None = None
    events: int = 0
    expected_interval_s: float = 0.0
    recent_interval_s: float = 0.0
    fingerprint: bytes = b""
    sent_at: float = 0.0
    latest_event_at: float = 0.0

    @property
    def has_events(self) -> bool:
        """Whether anything of an answer came."""
        return self.events > 0

    @property
    def mean_interval_s(self) -> float:
        """Mean time between its events; 0 before the second."""
        if self.events < 2:
            return 0.0
        return (self.progress_at - self.first_event_at) / (self.events - 1)

    @property
    def went_on_s(self) -> float:
        """Time from its first event to its latest; 0 before the second."""
        if self.first_event_at is None:
            return 0.0
        return self.latest_event_at - self.first_event_at

    def note_progress(self, now: float) -> None:
        """Count an event in."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            gap_s = now - self.progress_at
            weight = RECENT_INTERVAL_EWMA_WEIGHT if self.recent_interval_s else 1.0
            self.recent_interval_s += weight * (gap_s - self.recent_interval_s)
        self.progress_at = now
        self.latest_event_at = now
        self.events += 1

    def reroute_or_abort(self) -> None:
        """Go on without engines that are lost: in its place, or else elsewhere."""
        if self.reroute is None:
            self.abort_wait()
        elif self.reroute_task is None or self.reroute_task.done():
            self.reroute_task = asyncio.create_task(self._reroute_or_abort())

    async def _reroute_or_abort(self) -> None:
        if not await self.reroute():
            self.abort_wait()

    def abort_wait(self) -> None:
        """End its wait now, so that it goes on elsewhere."""
        if self.wait_timeout is not None and not self.wait_timeout.expired():
            self.wait_timeout.reschedule(asyncio.get_running_loop().time())
