"""Which processes share a limit that holds for all of them together, and how."""

__all__ = ["share_weights"]

import hashlib
import math
from collections.abc import Mapping

# Each that shares a limit may have a request ready at the same moment, beside what all
# send at their even pace. So they are no more than the limit allows in this time, which
# with four fifths of it over four seconds stays below one and a half times the limit.
SHARERS_PER_RATE_S = 2.5
# Demands within the same power of this are about as much.
DEMAND_CLASS_BASE = 8


def share_weights(
    limit_id: str, per_s: float, demands: Mapping[str, int]
) -> dict[str, int]:
    """Return those that share a limit with their weights, the same for all that ask.

    Load pattern: one process has most of the requests, many others one now and then.
    So shares follow demand, and where they are too many those with far less have none.
    Among those with about as much the choice is the same from moment to moment, since
    who begins to share must wait until those before have sent what they had ready.

    Args:
        limit_id: What the limit is of; among equals, each has sharers of its own.
        per_s: The limit, in requests a second.
        demands: Requests of late, by process; one without any shares nothing.

    Returns:
        Weights by name, in the order of the names. Those of a union are among those of
        its parts, so sums over parts may be cut down to them.

    Example:
        >>> sharers("i-1", 1.0, {"one": 3, "two": 9, "three": 1, "four": 0})
        {'one': 4, 'two': 8}
    """
    weights = {
        name: _nearest_power_of_two(count)
        for name, count in demands.items()
        if count > 0
    }
    max_sharers = max(1, int(per_s * SHARERS_PER_RATE_S))

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
    """Return a power of two near a count, so that small changes move no share."""
    return 2 ** round(math.log2(count))
