"""Ages of the reports that a sum contains, counted in steps.

A sum over many entries contains reports of different ages. A list of counts has one
number for each step: ``counts[i]`` reports are ``i * AGE_STEP_S`` old. Ages are rounded
up, so that no report counts as newer than it is.
"""

__all__ = ["AGE_STEP_S", "NEW_REPORT", "add_ages", "count_newer", "older_by"]

import math
from collections.abc import Sequence
from itertools import zip_longest

AGE_STEP_S = 0.1
# Older reports are left out: sums drop reports after two seconds at each replica.
MAX_AGE_STEPS = 50
# Counts of one report that has just been made.
NEW_REPORT = (1,)


def older_by(counts: Sequence[int], elapsed_s: float) -> list[int]:
    """Return the counts after some time.

    Args:
        counts: Reports by age.
        elapsed_s: Time since then, in seconds.

    Example:
        >>> older_by([3, 1], 0.15)
        [0, 0, 3, 1]
    """
    if not counts:
        return []
    steps = math.ceil(max(0.0, elapsed_s) / AGE_STEP_S - 1e-6)
    return [*[0] * min(steps, MAX_AGE_STEPS), *counts][:MAX_AGE_STEPS]


def add_ages(first: Sequence[int], second: Sequence[int]) -> list[int]:
    """Return the counts of two sums together.

    Example:
        >>> add_ages([1], [0, 2])
        [1, 2]
    """
    return [one + two for one, two in zip_longest(first, second, fillvalue=0)]


def count_newer(counts: Sequence[int], age_s: float) -> int:
    """Return the number of reports that are surely newer than an age.

    Args:
        counts: Reports by age.
        age_s: Age in seconds.

    Example:
        >>> count_newer([1, 2, 4], 0.15)
        3
    """
    return sum(counts[: max(0, math.ceil(age_s / AGE_STEP_S - 1e-6))])
