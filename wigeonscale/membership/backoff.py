"""Jittered exponential backoff."""

__all__ = ["CAP_S", "Backoff"]

import random

BASE_S = 0.1
CAP_S = 5.0
MAX_DOUBLINGS = 16


class Backoff:
    """Computes the waits between retries.

    Each wait is drawn uniformly between zero and a bound that doubles with each failure
    ("full jitter"), so that clients that fail together do not retry together.

    Args:
        rng: Source of the jitter.
        base_s: Bound of the first wait, in seconds.
        cap_s: Largest bound, in seconds.
    """

    def __init__(
        self, *, rng: random.Random, base_s: float = BASE_S, cap_s: float = CAP_S
    ):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._failures = 0

    def next_wait(self) -> float:
        """Count one failure and return the seconds to wait."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        return self._rng.uniform(0.0, min(self._cap_s, self._base_s * 2**doublings))

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._failures = 0
