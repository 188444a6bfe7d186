"""Run states of earlier dispatches, kept so that no dispatch id starts twice."""

__all__ = ["DispatchHistory"]

from collections import OrderedDict
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.ports import Clock

RETENTION_S = 3600.0
"""Time for which the id of a dispatch is kept, in seconds."""

MAX_RETAINED_IDS = 200_000
"""Maximum number of ids kept; each takes about 200 bytes."""


@dataclass(frozen=True, slots=True)
class _Record:
    state: RunState
    at: float


class DispatchHistory:
    """Records by id whether a dispatch has started.

    Args:
        clock: Clock port.
        retention_s: Time for which an id is kept, in seconds.
        limit: Maximum number of ids.

    Attributes:
        evicted_early: Whether an id was evicted before its retention time because of
            the limit. From then on an unknown id may belong to a dispatch that ran.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        retention_s: float = RETENTION_S,
        limit: int = MAX_RETAINED_IDS,
    ):
        self.evicted_early = False
        self._clock = clock
        self._retention_s = retention_s
        self._limit = limit
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._pinned: set[str] = set()

    def state(self, dispatch_id: str) -> RunState | None:
        """Return the recorded run state of a dispatch.

        Returns:
            ``NOT_RUN`` if it has not started and never will, ``RAN`` if it has
            started, None if the id is unknown.
        """
        record = self._records.get(dispatch_id)
        return record.state if record else None

    def record(self, dispatch_id: str, state: RunState) -> None:
        """Record a run state and restart the retention time; ``RAN`` is final."""
        if self.state(dispatch_id) is RunState.RAN:
            state = RunState.RAN
        self._records[dispatch_id] = _Record(state, self._clock.now())
        self._records.move_to_end(dispatch_id)

    def pin(self, dispatch_id: str) -> None:
        """Keep this id regardless of age and limit until :meth:`unpin`."""
        self._pinned.add(dispatch_id)

    def unpin(self, dispatch_id: str) -> None:
        """Allow eviction again, after control has stored the outcome."""
        self._pinned.discard(dispatch_id)

    def evict_old(self) -> None:
        """Evict ids past their retention time, and the oldest ids over the limit."""
        now = self._clock.now()
        for dispatch_id, record in list(self._oldest(now)):
            if dispatch_id in self._pinned:
                self.record(dispatch_id, record.state)
                continue
            del self._records[dispatch_id]
            if now - record.at < self._retention_s:
                self.evicted_early = True

    def _oldest(self, now: float):
        over = len(self._records) - self._limit
        for number, (dispatch_id, record) in enumerate(self._records.items()):
            if now - record.at < self._retention_s and number >= over:
                return
            yield dispatch_id, record
