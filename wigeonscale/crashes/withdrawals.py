"""Crashes that an entry reported and that turn out to be none."""

__all__ = ["Withdrawals"]

from collections.abc import Callable

from wigeonscale.ports import Clock

# A server that counts as ended again within this time was reported by a late heartbeat.
BACK_FOR_S = 1.0
# Servers are silent for seconds, and an entry reports few of them.
REPORTED_RETENTION_S = 60.0


class Withdrawals:
    """Servers that this entry reported as crashed and that answer again.

    Control finds a server silent if it does not answer two probes. A server that has
    only paused answers later under the same incarnation.

    Args:
        clock: Clock port.
        has_ended: Returns whether an incarnation is known to have ended.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> clock, ended = ManualClock(), {"s1"}
        >>> withdrawals = Withdrawals(clock=clock, has_ended=ended.__contains__)
        >>> withdrawals.note_reported("s1")
        >>> withdrawals.check()
        False
        >>> ended.clear()
        >>> withdrawals.check()
        True
    """

    def __init__(self, *, clock: Clock, has_ended: Callable[[str], bool]):
        self._clock = clock
        self._has_ended = has_ended
        self._reported_at: dict[str, float] = {}
        self._back_since: dict[str, float] = {}

    def note_reported(self, backend_id: str) -> None:
        """Record that a crash of a server is reported to control."""
        self._reported_at[backend_id] = self._clock.now()

    def check(self) -> bool:
        """Return whether a reported server answers again."""
        now = self._clock.now()
        self._reported_at = {
            name: at
            for name, at in self._reported_at.items()
            if now - at <= REPORTED_RETENTION_S
        }
        self._back_since = {
            name: self._back_since.get(name, now)
            for name in self._reported_at
            if not self._has_ended(name)
        }
        return bool(self._back_since)

    def take(self) -> tuple[str, ...]:
        """Return the servers that have been back for long enough, and forget them."""
        self.check()
        now = self._clock.now()
        back = tuple(
            name for name, at in self._back_since.items() if now - at >= BACK_FOR_S
        )
        for name in back:
            del self._reported_at[name], self._back_since[name]
        return back

    def restore(self, backend_ids: tuple[str, ...]) -> None:
        """Withdraw crashes again, as that could not be submitted to control."""
        for backend_id in backend_ids:
            self.note_reported(backend_id)
