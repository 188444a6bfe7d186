"""Estimates how the duration of an engine iteration depends on its size."""

__all__ = ["MAX_EXTRAPOLATION_FACTOR", "IterationCost"]

from wigeonscale.pipelines.constants import (
    INITIAL_PREFILL_POSITIONS,
    MIN_PREFILL_POSITIONS,
)

SMOOTHING_FACTOR = 0.1
"""Weight of a new sample in the moving averages."""

MAX_EXTRAPOLATION_FACTOR = 4
"""Largest size, in multiples of the largest one observed, that is extrapolated to."""


class IterationCost:
    """Estimates the fixed cost of an iteration and its cost per token position.

    With a large fixed share, fewer and larger iterations serve more tokens, and an
    extra iteration that waits at a stage costs more than the hop latency it hides.

    Notes:
        Keeps moving averages of size and duration per power of two of the size. The
        line through the smallest and the largest size class is the estimate. Time
        and memory are constant.
    """

    def __init__(self):
        self._means: dict[int, tuple[float, float]] = {}

    def observe(self, positions: int, seconds: float) -> None:
        """Record one iteration.

        Args:
            positions: Token positions of the iteration, over all its sequences.
            seconds: Time that the engine spent on it.
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
        """Return the share of the iteration time that does not depend on its size.

        Args:
            positions: Size of the iteration, in token positions.

        Returns:
            A share from 0 to 1; 0 until two size classes have been observed.
        """
        if len(self._means) < 2:
            return 0.0
        slope = self._seconds_per_position()
        small, small_s = self._means[min(self._means)]
        fixed_s = max(0.0, small_s - slope * small)
        total_s = fixed_s + slope * positions
        return fixed_s / total_s if total_s > 0 else 0.0

    def positions_within(self, seconds: float) -> int:
        """Return how many positions fit into a time budget, without the fixed cost.

        Small iterations may not predict the cost of large ones, so the result is at
        most ``MAX_EXTRAPOLATION_FACTOR`` times the largest size observed, or
        ``INITIAL_PREFILL_POSITIONS`` if that is more.

        Args:
            seconds: Time budget, in seconds.

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
