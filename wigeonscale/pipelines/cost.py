"""How the time of an engine iteration depends on its size."""

__all__ = ["MAX_EXTRAPOLATION_FACTOR", "IterationCost"]

from wigeonscale.pipelines.constants import (
    INITIAL_PREFILL_POSITIONS,
    MIN_PREFILL_POSITIONS,
)

SMOOTHING_FACTOR = 0.1

MAX_EXTRAPOLATION_FACTOR = 4
"""Times the largest size seen up to which the cost is taken as known."""


class IterationCost:
    """Learns which share of an iteration's time does not depend on its size.

    Where that share is large, fewer and larger iterations serve more tokens, and
    an iteration kept waiting at a stage costs more than the hop it hides.

    Notes:
        Means of size and time for each power of two of the size; the smallest and
        the largest size seen give a straight line. Constant time and memory.
    """

    def __init__(self):
        self._means: dict[int, tuple[float, float]] = {}

    def observe(self, positions: int, seconds: float) -> None:
        """Count one iteration.

        Args:
            positions: Token positions in it, over all its sequences.
            seconds: Time for which the engine worked on it.
        """
        size_class = positions.bit_length()
        known = self._means.get(size_class)
        if known is None:
            self._means[size_class] = (positions, seconds)
            return
        size, mean_s = known
        self._means[size_class] = (
            size + SMOOTHING_FACTOR * (positions - size),
            mean_s + SMOOTHING_FACTOR * (seconds - mean_s),
        )

    def fixed_cost_share(self, positions: int) -> float:
        """Return the share of an iteration's time that its size does not change.

        Args:
            positions: Size of the iteration.

        Returns:
            Between 0 and 1; 0 while only one size was seen.
        """
        if len(self._means) < 2:
            return 0.0
        slope = self._seconds_per_position()
        small, small_s = self._means[min(self._means)]
        fixed_s = max(0.0, small_s - slope * small)
        total_s = fixed_s + slope * positions
        return fixed_s / total_s if total_s > 0 else 0.0

    def positions_within(self, seconds: float) -> int:
        """Return how many positions an iteration may have to add so many seconds.

        Small sizes may say nothing of large ones, so no more is returned than some
        times the largest size seen.

        Args:
            seconds: Time that the positions may take.

        Returns:
            At least ``MIN_PREFILL_POSITIONS``.
        """
        if len(self._means) < 2:
            return INITIAL_PREFILL_POSITIONS
        largest, _ = self._means[max(self._means)]
        max_positions = max(
            INITIAL_PREFILL_POSITIONS, int(MAX_EXTRAPOLATION_FACTOR * largest)
        )
        position_s = self._seconds_per_position()
        if position_s * max_positions <= seconds:
            return max_positions
        return max(MIN_PREFILL_POSITIONS, int(seconds / position_s))

    def _seconds_per_position(self) -> float:
        small, small_s = self._means[min(self._means)]
        large, large_s = self._means[max(self._means)]
        return max(0.0, (large_s - small_s) / (large - small))
