"""Ids of earlier dispatches, remembered so that none begins twice."""

__all__ = ["DispatchHistory"]

from collections import OrderedDict
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.ports import Clock

RETENTION_S = 3600.0
"""Seconds for which the id of a dispatch is remembered."""

MAX_RETAINED_IDS = 200_000
"""Most ids remembered; at about 200 bytes each."""


@dataclass(frozen=True, slots=True)
class _Record:
    state: RunState
    at: float


class DispatchHistory:
    """Remembers by id whether a dispatch began.

    Args:
        clock: Clock port.
        retention_s: Seconds for which an id is remembered.
        limit: Most ids remembered.

    Attributes:
        evicted_early: Whether an id had to be forgotten before its time, so that
            nobody can say any more that an unknown dispatch never began.
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
        """Return what is remembered of a dispatch.

        Returns:
            ``NOT_RUN`` for one that never began and never will, ``RAN`` for one
            that began; None for one never seen.
        """
        record = self._records.get(dispatch_id)
        return record.state if record else None

    def record(self, dispatch_id: str, state: RunState) -> None:
        """Remember a dispatch from now on; one that ran stays so."""
        if self.state(dispatch_id) is RunState.RAN:
            state = RunState.RAN
        self._records[dispatch_id] = _Record(state, self._clock.now())
        self._records.move_to_end(dispatch_id)

    def pin(self, dispatch_id: str) -> None:
        """Remember this id until :meth:`reported`, however long it takes."""
        self._pinned.add(dispatch_id)

    def unpin(self, dispatch_id: str) -> None:
        """Its outcome stands in control, so the id may be forgotten in time."""
        self._pinned.discard(dispatch_id)

    def evict_old(self) -> None:
        """Forget ids past their time, or the oldest past the limit."""
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
