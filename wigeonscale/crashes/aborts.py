"""Times at which backend servers started to abort their runs."""

__all__ = ["AbortTimes"]

from wigeonscale.ports import Clock

# Aborts of one server within this time belong to one failure: streams that have a
# connection each end within some 10 ms.
SAME_FAILURE_S = 1.0


class AbortTimes:
    """The first abort of the latest failure of each server.

    Args:
        clock: Clock port.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> aborts = AbortTimes(clock=ManualClock(start=5.0))
        >>> aborts.note("i-1")
        >>> aborts.was_aborting("i-1", before=4.0)
        False
        >>> aborts.was_aborting("i-1", before=6.0)
        True
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._first_abort_at: dict[str, float] = {}

    def note(self, backend_id: str) -> None:
        """Record that a backend server aborted a run."""
        now = self._clock.now()
        self._first_abort_at = {
            name: at
            for name, at in self._first_abort_at.items()
            if now - at <= SAME_FAILURE_S
        }
        self._first_abort_at.setdefault(backend_id, now)

    def was_aborting(self, backend_id: str, *, before: float) -> bool:
        """Return whether a server had started to abort runs by a local instant."""
        first_abort_at = self._first_abort_at.get(backend_id)
        return first_abort_at is not None and first_abort_at <= before
