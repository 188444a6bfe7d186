"""Outcomes of requests that wait for capacity after they are late.

Load pattern: a burst while engines are lost. Late requests wait behind all new ones, so
under sustained overload most of them would be rejected only after their whole wait.
"""

__all__ = ["LateOutcomes"]

import math
from collections import deque

from wigeonscale.ports import Clock

# Late requests that may wait, relative to those that were admitted in the same time.
# Only those that wait are admitted, so without a surplus the number could only fall.
HEADROOM = 1.5
# Outcomes count for this time.
WINDOW_S = 2.0


class LateOutcomes:
    """Bounds the late requests that wait by the outcomes of earlier ones.

    There is no bound without a recent rejection, so that all wait after an outage.

    Args:
        clock: Clock port.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> outcomes = LateOutcomes(clock=ManualClock())
        >>> outcomes.max_waiting(1.25)
        inf
        >>> outcomes.note_admitted()
        >>> outcomes.note_rejected()
        >>> outcomes.max_waiting(1.25)
        1
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._admissions: deque[float] = deque()
        self._rejected_at = float("-inf")
        self._gave_up_at = float("-inf")

    @property
    def admitted_count(self) -> int:
        """Number of late requests that were admitted recently."""
        self._drop_old()
        return len(self._admissions)

    def max_waiting(self, late_s: float) -> float:
        """Return how many late requests may wait.

        Args:
            late_s: Time that a late request can wait, in seconds.
        """
        if self._rejected_at < self._since():
            return math.inf
        admitted_per_s = self.admitted_count / WINDOW_S
        expected = math.ceil(HEADROOM * admitted_per_s * late_s)
        if expected == 0 and self._gave_up_at < self._since():
            # One waits from time to time, to detect free capacity.
            return 1
        return expected

    def note_admitted(self) -> None:
        """Record that a late request got capacity."""
        self._drop_old()
        self._admissions.append(self._clock.now())

    def note_gave_up(self) -> None:
        """Record that a late request was rejected after its wait."""
        self._rejected_at = self._gave_up_at = self._clock.now()

    def note_rejected(self) -> None:
        """Record that a request was rejected when it became late."""
        self._rejected_at = self._clock.now()

    def _drop_old(self) -> None:
        since = self._since()
        while self._admissions and self._admissions[0] < since:
            self._admissions.popleft()

    def _since(self) -> float:
        return self._clock.now() - WINDOW_S
