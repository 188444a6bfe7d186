"""Limit of the connections that callers may open, from the limit of descriptors."""

__all__ = ["max_caller_connections"]

import math
import resource

# Each request in progress needs a second connection, to a backend server. A process
# without free descriptors cannot accept connections for a second, nor open any.
CALLER_SHARE = 0.5


def max_caller_connections() -> float:
    """Return how many connections of callers an entry accepts; infinity for any.

    Example:
        >>> max_caller_connections() > 0
        True
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return math.inf
    return CALLER_SHARE * soft_limit
