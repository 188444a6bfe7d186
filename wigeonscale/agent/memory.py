"""Ids of earlier dispatches, remembered so that none begins twice."""

__all__ = ["DispatchMemory"]

from collections import OrderedDict
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.ports import Clock

REMEMBER_S = 3600.0
"""Seconds for which the id of a dispatch is remembered."""

REMEMBER_COUNT = 200_000
"""Most ids remembered; at about 200 bytes each."""


@dataclass(frozen=True, slots=True)
class _Known:
    state: RunState
    at: float


class DispatchMemory:
    """Remembers by id whether a dispatch began.

    Args:
        clock: Clock port.
        remember_s: Seconds for which an id is remembered.
        limit: Most ids remembered.

    Attributes:
        forgot_early: Whether an id had to be forgotten before its time, so that
            nobody can say any more that an unknown dispatch never began.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        remember_s: float = REMEMBER_S,
        limit: int = REMEMBER_COUNT,
    ):
        self.forgot_early = False
        self._clock = clock
        self._remember_s = remember_s
        self._limit = limit
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._unreported: set[str] = set()

    def state(self, dispatch_id: str) -> RunState | None:
        """Return what is remembered of a dispatch.

        Returns:
            ``NOT_RUN`` for one that never began and never will, ``RAN`` for one
            that began; None for one never seen.
        """
        known = self._known.get(dispatch_id)
        return known.state if known else None

    def remember(self, dispatch_id: str, state: RunState) -> None:
        """Remember a dispatch from now on; one that ran stays so."""
        if self.state(dispatch_id) is RunState.RAN:
            state = RunState.RAN
        self._known[dispatch_id] = _Known(state, self._clock.now())
        self._known.move_to_end(dispatch_id)

    def await_report(self, dispatch_id: str) -> None:
        """Remember this id until :meth:`reported`, however long it takes."""
        self._unreported.add(dispatch_id)

    def reported(self, dispatch_id: str) -> None:
        """Its outcome stands in control, so the id may be forgotten in time."""
        self._unreported.discard(dispatch_id)

    def forget_old(self) -> None:
        """Forget ids past their time, or the oldest past the limit."""
        now = self._clock.now()
        for dispatch_id, known in list(self._oldest(now)):
            if dispatch_id in self._unreported:
                self.remember(dispatch_id, known.state)
                continue
            del self._known[dispatch_id]
            if now - known.at < self._remember_s:
                self.forgot_early = True

    def _oldest(self, now: float):
        over = len(self._known) - self._limit
        for number, (dispatch_id, known) in enumerate(self._known.items()):
            if now - known.at < self._remember_s and number >= over:
                return
            yield dispatch_id, known
