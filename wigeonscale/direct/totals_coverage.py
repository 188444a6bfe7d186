"""Which part of the entries' reports in the totals is newer than a given time."""

__all__ = ["TotalsCoverage"]

from collections.abc import Sequence

from wigeonscale.limits import count_newer

# Ages of reports without delays: half a second between two reports and the way over
# control.
MIN_REPORT_AGE_S = 0.3
MAX_REPORT_AGE_S = 1.2
# Totals without ages that show the first retries within this time are without delays.
PROMPT_TOTALS_S = 0.95
# Delayed totals contain all reports that are older than this.
MAX_DELAYED_AGE_S = 2.5


class TotalsCoverage:
    """Tells how many reports in the totals are newer than a given time.

    Control says how old the reports in the totals are. If it does not, as replicas of
    an older version, the ages are estimated from the time until the totals show the
    first retries after a pause, and are assumed to be high before.

    Example:
        >>> coverage = TotalsCoverage()
        >>> coverage.update(10.0, retries=0, ages=[0, 1, 0, 1])
        >>> coverage.fraction_after(9.8, entry_count=2)
        0.5
    """

    def __init__(self):
        self._updated_at = float("-inf")
        self._ages: Sequence[int] = ()
        self._retries = 0
        self._first_retry_at: float | None = None
        self._retries_before = 0
        self._is_prompt = False

    @property
    def has_ages(self) -> bool:
        """Whether control says how old the reports in the totals are."""
        return bool(self._ages)

    def update(self, now: float, *, retries: int, ages: Sequence[int]) -> None:
        """Apply new totals.

        Args:
            now: Local time, in seconds.
            retries: Retries of all entries in the window.
            ages: Reports by age; empty if unknown.
        """
        self._updated_at = now
        self._ages = ages
        self._retries = retries
        if self._first_retry_at is None:
            return
        is_early = now - self._first_retry_at <= PROMPT_TOTALS_S
        is_shown = retries > self._retries_before
        if is_shown or not is_early:
            self._is_prompt = is_early
            self._first_retry_at = None

    def note_first_retry(self, now: float) -> None:
        """Record the first retry of this entry after a pause."""
        if self._first_retry_at is None:
            self._first_retry_at = now
            self._retries_before = self._retries

    def fraction_after(self, at: float, *, entry_count: int) -> float:
        """Return the part of the entries whose report was made after a time.

        Args:
            at: Local time, in seconds.
            entry_count: Number of entries.
        """
        age_s = self._updated_at - at
        if self._ages:
            return min(1.0, count_newer(self._ages, age_s) / max(1, entry_count))
        if not self._is_prompt:
            return 1.0 if age_s >= MAX_DELAYED_AGE_S else 0.0
        span_s = MAX_REPORT_AGE_S - MIN_REPORT_AGE_S
        return min(1.0, max(0.0, (age_s - MIN_REPORT_AGE_S) / span_s))

    def missing_reports(self, entry_count: int) -> int:
        """Return the number of entries without a report; 0 if the ages are unknown."""
        return max(0, entry_count - sum(self._ages)) if self._ages else 0
