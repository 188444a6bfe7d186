"""One send in progress, and the engines that it runs on."""

__all__ = ["Run"]

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

# Weight of the newest in the mean time between the latest events; about three count.
LATELY_WEIGHT = 0.4


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
        usual_s: Time between events to be expected; 0 where none is known.
        lately_s: Mean time between the latest events; 0 before the second.
        fingerprint: What its request shares with the same one under another id.
        sent_at: Instant at which it was handed to the network.
    """

    backend_ids: tuple[str, ...]
    token_layers: dict[str, float] = field(default_factory=dict)
    progress_at: float = 0.0
    watch: asyncio.Timeout | None = None
    move: Callable[[], Awaitable[bool]] | None = None
    moving: asyncio.Task | None = None
    began_at: float | None = None
    events: int = 0
    usual_s: float = 0.0
    lately_s: float = 0.0
    fingerprint: bytes = b""
    sent_at: float = 0.0
    latest_event_at: float = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether anything of an answer came."""
        return self.events > 0

    @property
    def interval_s(self) -> float:
        """Mean time between its events; 0 before the second."""
        if self.events < 2:
            return 0.0
        return (self.progress_at - self.began_at) / (self.events - 1)

    @property
    def went_on_s(self) -> float:
        """Time from its first event to its latest; 0 before the second."""
        if self.began_at is None:
            return 0.0
        return self.latest_event_at - self.began_at

    def note_progress(self, now: float) -> None:
        """Count an event in."""
        if self.began_at is None:
            self.began_at = now
        else:
            gap_s = now - self.progress_at
            weight = LATELY_WEIGHT if self.lately_s else 1.0
            self.lately_s += weight * (gap_s - self.lately_s)
        self.progress_at = now
        self.latest_event_at = now
        self.events += 1

    def leave_lost(self) -> None:
        """Go on without engines that are lost: in its place, or else elsewhere."""
        if self.move is None:
            self.end_wait()
        elif self.moving is None or self.moving.done():
            self.moving = asyncio.create_task(self._move_or_end())

    async def _move_or_end(self) -> None:
        if not await self.move():
            self.end_wait()

    def end_wait(self) -> None:
        """End its wait now, so that it goes on elsewhere."""
        if self.watch is not None and not self.watch.expired():
            self.watch.reschedule(asyncio.get_running_loop().time())
