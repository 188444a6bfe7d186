"""Limits and durations of the refusal of requests that crash backend servers.

Load pattern: a request crashes each backend server that starts to run it, and is
repeated within seconds, at any entry and under another id. Each crash interrupts all
requests on that server, forty streams at a time.
"""

__all__ = [
    "CRASHES_TO_REFUSE",
    "MAX_CRASHES_PER_REQUEST",
    "MAX_TRACKED_REQUESTS",
    "START_CRASH_WINDOW_S",
    "SUSPECT_RETENTION_S",
    "UNCERTAIN_REFUSAL_S",
    "next_to_evict",
    "refusal_s",
    "retention_s",
]

from collections.abc import Mapping

# A single crash may be a coincidence, and makes suspects of all requests that had just
# started there, one to four. By the users' rule a request may crash three servers
# before it must be refused.
CRASHES_TO_REFUSE = 3
# Crashes recorded per request. It is retried when its refusal expires, since weights or
# a server may have been repaired; by the users' rule at most three times after the
# third crash.
MAX_CRASHES_PER_REQUEST = 6
# Engines are repaired by people. This is the shortest time in which a person reacts.
INITIAL_REFUSAL_S = 600.0
# Each further crash multiplies the refusal by this, up to three and a half days.
REFUSAL_GROWTH_FACTOR = 8.0
# A refusal that may concern the wrong request. The request is retried once the outcome
# of its last runs is known; the next crash shows whether it is the cause.
UNCERTAIN_REFUSAL_S = 5.0
# A request with too few crashes to be refused is dropped after this long without
# another crash.
SUSPECT_RETENTION_S = 600.0
# A crash adds the requests that had just started at one engine: as many as start there
# in some 0.15 s, regardless of the size of the fleet, which was one to four at 27
# requests a second over six first engines. A request with three servers takes 65 bytes
# of control's snapshot, 250 of its memory and 720 at each entry (traced allocations).
MAX_TRACKED_REQUESTS = 1024
# A run that has sent events for this long has not crashed its server by starting.
# Servers crashed within 0.1 s after the start of their last run; a step of an engine
# under load takes about as long again.
START_CRASH_WINDOW_S = 0.25


def refusal_s(crashes: int) -> float:
    """Return how long a request is refused after its last crash, in seconds.

    Args:
        crashes: Number of backend servers that the request may have crashed.

    Returns:
        The duration; 0 if the request is not refused.

    Example:
        >>> [refusal_s(crashes) for crashes in (2, 3, 4)]
        [0.0, 600.0, 4800.0]
    """
    beyond = min(crashes, MAX_CRASHES_PER_REQUEST) - CRASHES_TO_REFUSE
    return INITIAL_REFUSAL_S * REFUSAL_GROWTH_FACTOR**beyond if beyond >= 0 else 0.0


def retention_s(crashes: int) -> float:
    """Return how long the crashes of a request are kept, in seconds.

    Args:
        crashes: Number of backend servers that the request may have crashed.
    """
    return max(SUSPECT_RETENTION_S, 2 * refusal_s(crashes))


def next_to_evict(crashes: Mapping[bytes, int]) -> bytes:
    """Return the request to drop when there are more than are kept.

    Args:
        crashes: Number of crashes by request, in the order of the last crash; not
            empty.

    Returns:
        The oldest request that is not refused, so that many suspects with one crash do
        not displace the few refused requests. If all are refused, the oldest.

    Notes:
        Linear in the number of refused requests.
    """
    for fingerprint, count in crashes.items():
        if count < CRASHES_TO_REFUSE:
            return fingerprint
    return next(iter(crashes))
