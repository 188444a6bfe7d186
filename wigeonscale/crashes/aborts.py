"""When backend servers began to break off what runs on them."""

__all__ = ["AbortTimes"]

from wigeonscale.ports import Clock

# Breaks of one server within this time are of one event: streams of one connection each
# end within some 10 ms.
SAME_FAILURE_S = 1.0


class AbortTimes:
    """The first break of the newest event at each server.

    Args:
        clock: Clock port.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> breaks = Breaks(clock=ManualClock(start=5.0))
        >>> breaks.note("i-1")
        >>> breaks.was_aborting("i-1", before=4.0)
        False
        >>> breaks.was_aborting("i-1", before=6.0)
        True
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._first_abort_at: dict[str, float] = {}

    def note(self, backend_id: str) -> None:
        """Take in that a backend server broke off a run."""
        now = self._clock.now()
        self._first_abort_at = {
            name: at
            for name, at in self._first_abort_at.items()
            if now - at <= SAME_FAILURE_S
        }
        self._first_abort_at.setdefault(backend_id, now)

    def was_aborting(self, backend_id: str, *, before: float) -> bool:
        """Return whether a server was breaking runs off before a local instant."""
        first_abort_at = self._first_abort_at.get(backend_id)
        return first_abort_at is not None and first_abort_at <= before
