"""How the time of an engine iteration depends on its size."""

__all__ = ["IterationCost"]

WEIGHT = 0.1


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
            size + WEIGHT * (positions - size),
            mean_s + WEIGHT * (seconds - mean_s),
        )

    def flat_share(self, positions: int) -> float:
        """Return the share of an iteration's time that its size does not change.

        Args:
            positions: Size of the iteration.

        Returns:
            Between 0 and 1; 0 while only one size was seen.
        """
        if len(self._means) < 2:
            return 0.0
        slope = self.position_s()
        small, small_s = self._means[min(self._means)]
        flat_s = max(0.0, small_s - slope * small)
        whole_s = flat_s + slope * positions
        return flat_s / whole_s if whole_s > 0 else 0.0

    def position_s(self) -> float | None:
        """Return the seconds that one more position takes.

        Returns:
            At least 0; None while only one size was seen.
        """
        if len(self._means) < 2:
            return None
        small, small_s = self._means[min(self._means)]
        large, large_s = self._means[max(self._means)]
        return max(0.0, (large_s - small_s) / (large - small))
