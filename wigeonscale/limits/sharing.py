"""Which processes share a limit that holds for all of them together."""

__all__ = ["sharers"]

import hashlib
from collections.abc import Iterable

# Span over which a limit must hold, in seconds. Each that shares one may have a request
# ready at the same moment, so they are no more than it allows requests in this span.
WINDOW_S = 4.0


def sharers(subject: str, per_s: float, names: Iterable[str]) -> list[str]:
    """Return those that share a limit, the same for all that ask.

    Args:
        subject: What the limit is of; each has sharers of its own.
        per_s: The limit, in requests a second.
        names: Processes with requests for it.

    Returns:
        All of them in order, or the few that come first by a hash. Those of a union
        are among those of its parts, so sums over parts may be cut down to them.

    Example:
        >>> sharers("i-1", 1.0, ["two", "one"])
        ['one', 'two']
        >>> len(sharers("i-1", 1.0, map(str, range(300))))
        4
    """
    most = max(1, int(per_s * WINDOW_S))
    all_names = sorted(set(names))
    if len(all_names) <= most:
        return all_names

    def rank(name: str) -> bytes:
        return hashlib.sha256(f"{subject} {name}".encode()).digest()

    return sorted(sorted(all_names, key=rank)[:most])
