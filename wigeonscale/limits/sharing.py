"""Division of a global rate limit among the processes that send requests."""

__all__ = ["share_weights"]

import hashlib
import math
from collections.abc import Mapping

# Bound on the number of sharers, in seconds of the limit's rate. Each sharer may send
# one request at the same moment, in addition to the even rate of all. If the even rate
# is four fifths of the limit, the total over four seconds stays below one and a half
# times the limit.
SHARERS_PER_RATE_S = 2.5
# Demands are compared by their integer logarithm to this base, so that small
# differences do not change who shares a limit.
DEMAND_CLASS_BASE = 8


def share_weights(
    limit_id: str, per_s: float, demands: Mapping[str, int]
) -> dict[str, int]:
    """Return the processes that share a rate limit, with their weights.

    The result depends on the arguments only, so all processes compute the same one.

    Load pattern: one process has most of the requests, many others send one
    occasionally. Weights therefore follow demand, and if there are too many processes,
    those with far less demand get no share. Among processes of similar demand the
    choice is stable over time (by hash), because a new sharer must wait until the
    previous ones have sent the requests that they had ready.

    Args:
        limit_id: Identifies the limit; seeds the choice among processes of similar
            demand.
        per_s: The limit, in requests per second.
        demands: Recent request counts by process; a process with none gets no share.

    Returns:
        Weights by process name, sorted by name. The sharers of a union of demands are
        a subset of the sharers of its parts, so partial sums may be reduced to the
        sharers of each part.

    Example:
        >>> share_weights("i-1", 1.0, {"one": 3, "two": 9, "three": 1, "four": 0})
        {'one': 4, 'two': 8}
    """
    weights = {
        name: _nearest_power_of_two(count)
        for name, count in demands.items()
        if count > 0
    }
    max_sharers = max(1, int(min(per_s * SHARERS_PER_RATE_S, len(weights))))

    def rank(name: str) -> tuple[int, bytes]:
        digest = hashlib.sha256(f"{limit_id} {name}".encode()).digest()
        return -int(math.log(demands[name], DEMAND_CLASS_BASE)), digest

    kept = (
        sorted(weights, key=rank)[:max_sharers]
        if len(weights) > max_sharers
        else weights
    )
    return {name: weights[name] for name in sorted(kept)}


def _nearest_power_of_two(count: int) -> int:
    """Return the power of two nearest to a count; hides small changes of demand."""
    return 2 ** round(math.log2(count))
