"""Prompt parts that many runs share, as reported by one entry to control.

Control keeps them for entries that start later: such an entry has seen no run yet, and
would take a part that all requests share for the cause of the first crashes.
"""

__all__ = ["MAX_COMMON_PARTS", "CommonParts"]

import random
from collections import Counter
from collections.abc import Iterable

from wigeonscale.crashes.proven import PROVEN_RETENTION_S
from wigeonscale.ports import Clock

# Parts that control keeps though nothing crashed under them. A record without crashes
# takes 40 bytes of a snapshot.
MAX_COMMON_PARTS = 256
# Runs are counted for this long, and then anew.
COUNT_WINDOW_S = 60.0
# A part is common with this many runs in the window, and this share of all runs.
MIN_RUNS = 4
MIN_SHARE = 1 / 20
MAX_PARTS_PER_REPORT = 16
# Part keys of which runs are counted at a time.
MAX_COUNTED_PARTS = 1024
# A part is reported again after this long, up to one and a half times of it, and before
# entries forget that it has run.
REFRESH_S = PROVEN_RETENTION_S / 2
# The first report is delayed by up to this long. Entries that learn of a part meanwhile
# do not report it.
MAX_FIRST_DELAY_S = 2.0
# After a report of any entry the next one waits for the minimum delay and up to the
# further delay. Some entry is then always among the first, and the rate of reports over
# all entries does not grow with their number.
MIN_DELAY_S = 1.0
MAX_FURTHER_DELAY_S = 10.0


class CommonParts:
    """Counts the runs of parts and selects those that control should keep.

    Args:
        clock: Clock port.
        rng: Source of randomness for the time of reports.

    Notes:
        Memory is bounded: :data:`MAX_COUNTED_PARTS` parts are counted, and twice as
        many times of reports are kept.

    Example:
        >>> import random
        >>> from wigeonscale.testing import ManualClock
        >>> common = CommonParts(clock=ManualClock(start=9.0), rng=random.Random(1))
        >>> for _ in range(4):
        ...     common.note_run([b"part"])
        >>> common.is_due()
        False
        >>> common.take()
        (b'part',)
        >>> common.take()
        ()
    """

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._counts: Counter[bytes] = Counter()
        self._runs = 0
        now = clock.now()
        self._counted_since = now
        self._next_report_at = now + MAX_FIRST_DELAY_S * rng.random()
        self._refresh_s = REFRESH_S * (1.0 + rng.random() / 2)
        # Last good run known to control, in the order of reports.
        self._reported_at: dict[bytes, float] = {}

    def note_run(self, parts: Iterable[bytes]) -> None:
        """Count a run that went well past its start.

        Args:
            parts: Keys of the parts of its prompt.
        """
        now = self._clock.now()
        if now - self._counted_since > COUNT_WINDOW_S:
            self._counts.clear()
            self._runs = 0
            self._counted_since = now
        self._runs += 1
        for key in parts:
            if key in self._counts or len(self._counts) < MAX_COUNTED_PARTS:
                self._counts[key] += 1

    def note_reported(self, key: bytes, ran_at: float, *, is_new: bool) -> None:
        """Record that control knows a good run of a part.

        Args:
            key: Key of the part.
            ran_at: Local instant of the run.
            is_new: Whether control was told just now.
        """
        self._reported_at.pop(key, None)
        self._reported_at[key] = ran_at
        if len(self._reported_at) > 2 * MAX_COUNTED_PARTS:
            del self._reported_at[next(iter(self._reported_at))]
        if is_new:
            self._delay_next_report()

    def is_due(self) -> bool:
        """Return whether there are parts to report now."""
        now = self._clock.now()
        if now < self._next_report_at:
            return False
        if self._unreported():
            return True
        self._next_report_at = now + MIN_DELAY_S
        return False

    def take(self) -> tuple[bytes, ...]:
        """Return the parts to report, most common first, and mark them as reported."""
        keys = self._unreported()
        for key in keys:
            self.note_reported(key, self._clock.now(), is_new=True)
        return keys

    def restore(self, keys: Iterable[bytes]) -> None:
        """Report parts again, as they could not be submitted to control."""
        for key in keys:
            self._reported_at.pop(key, None)

    def _delay_next_report(self) -> None:
        delay_s = MIN_DELAY_S + MAX_FURTHER_DELAY_S * self._rng.random()
        self._next_report_at = self._clock.now() + delay_s

    def _unreported(self) -> tuple[bytes, ...]:
        fresh_since = self._clock.now() - self._refresh_s
        min_count = max(MIN_RUNS, MIN_SHARE * self._runs)
        keys = []
        for key, count in self._counts.most_common():
            if count < min_count or len(keys) == MAX_PARTS_PER_REPORT:
                break
            if self._reported_at.get(key, float("-inf")) < fresh_since:
                keys.append(key)
        return tuple(keys)
