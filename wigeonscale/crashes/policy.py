"""When a request is refused because backend servers crash under it.

Load pattern: one request crashes each backend server that begins to run it, and comes
again within seconds, at any entry and under another id. Each crash cuts off all that
ran there, forty streams at a time.
"""

__all__ = [
    "CRASHES_TO_REFUSE",
    "MAX_CRASHES_PER_REQUEST",
    "MAX_TRACKED_REQUESTS",
    "START_CRASH_WINDOW_S",
    "SUSPECT_RETENTION_S",
    "refusal_s_among",
    "next_to_evict",
    "refusal_s",
    "retention_s",
]

from collections.abc import Iterable, Mapping, Set

# One crash may be chance and hits whatever began there just then, one to four requests;
# the users' rule lets a request crash three servers before it must be held back.
CRASHES_TO_REFUSE = 3
# A refused request is tried again once its time is over, since weights or a server may
# have been mended: by the users' rule three times at most after the third crash.
MAX_CRASHES_PER_REQUEST = 6
# Engines are mended by people: the shortest time in which one reacts, in seconds, and
# the factor by which each further crash prolongs it, up to three and a half days.
INITIAL_REFUSAL_S = 600.0
REFUSAL_GROWTH_FACTOR = 8.0
# A refusal that may hit the wrong request, in seconds: it is tried again once the fate
# of the last runs is known, and the next crash settles it.
UNCERTAIN_REFUSAL_S = 5.0
# Servers that end within this time may have ended by one cause, such as the power of a
# rack, under a request that many ask for: its copies run on several at once.
COMMON_CAUSE_S = 1.0
# A request that is suspected only is forgotten after this long without another crash.
SUSPECT_RETENTION_S = 600.0
# Requests remembered. A crash adds those that had just begun at one engine, which are
# as many as begin in some 0.15 s there, whatever the size of the fleet: one to four of
# 27 a second over six first engines. With three servers one takes 65 bytes of control's
# snapshot, 250 of its memory and 720 at each entry (traced allocations).
MAX_TRACKED_REQUESTS = 1024
# A run whose events came over so long a time has not crashed its server by beginning.
# Servers that crashed did so within 0.1 s of the run that they began last; a pass of an
# engine under load takes as long again.
START_CRASH_WINDOW_S = 0.25


def refusal_s(crashes: int) -> float:
    """Return for how long a request is refused after its last crash, in seconds.

    Args:
        crashes: Backend servers that ended under it.

    Returns:
        0 while it is not refused.

    Example:
        >>> [refusal_s(crashes) for crashes in (2, 3, 4)]
        [0.0, 600.0, 4800.0]
    """
    beyond = min(crashes, MAX_CRASHES_PER_REQUEST) - CRASHES_TO_REFUSE
    return INITIAL_REFUSAL_S * REFUSAL_GROWTH_FACTOR**beyond if beyond >= 0 else 0.0


def refusal_s_among(
    ended: Set[str],
    rivals: Iterable[Set[str]],
    *,
    span_s: float,
    uncertain_s: float = UNCERTAIN_REFUSAL_S,
) -> float:
    """Return for how long a request is refused, given what ended under others.

    Load pattern: a request that comes at the same moments as the one that crashes the
    servers is lost with it each time. A server that ended under both was crashed by
    the one under which more ended.

    Args:
        ended: Backend servers that ended under the request.
        rivals: The same for each other request that may be refused.
        span_s: Time from the first of its crashes to the last, in seconds.
        uncertain_s: Time of a refusal that may be wrong, in seconds.

    Returns:
        Seconds after its last crash; 0 while it is not refused.

    Example:
        >>> refusal_s_among({"a", "b", "c"}, [{"a", "b", "c", "d"}], span_s=9.0)
        0.0
        >>> refusal_s_among({"a", "b", "c"}, [{"a", "b", "c"}], span_s=9.0)
        5.0
        >>> refusal_s_among({"a", "b", "c"}, [], span_s=0.1)
        5.0
        >>> refusal_s_among({"a", "b", "c"}, [], span_s=9.0)
        600.0
    """
    if len(ended) < CRASHES_TO_REFUSE:
        return 0.0
    unexplained, unshared = set(ended), set(ended)
    for rival in rivals:
        if len(rival) > len(ended):
            unexplained -= rival
        elif len(rival) == len(ended):
            unshared -= rival
    if len(unexplained) < CRASHES_TO_REFUSE:
        return 0.0
    is_tied = len(unexplained & unshared) < CRASHES_TO_REFUSE
    if is_tied or span_s < COMMON_CAUSE_S:
        return uncertain_s
    return refusal_s(len(ended))


def retention_s(crashes: int) -> float:
    """Return for how long the crashes of a request are remembered, in seconds.

    Args:
        crashes: Backend servers that ended under it.
    """
    return max(SUSPECT_RETENTION_S, 2 * refusal_s(crashes))


def next_to_evict(crashes: Mapping[bytes, int]) -> bytes:
    """Return the request to forget where more are known than may be.

    Args:
        crashes: Backend servers that ended under each request, in the order of the
            last crash; not empty.

    Returns:
        The oldest that is not refused, so that many that are suspected for once do
        not wash out the few that are; else the oldest.

    Notes:
        Linear in the refused ones.
    """
    for fingerprint, count in crashes.items():
        if count < CRASHES_TO_REFUSE:
            return fingerprint
    return next(iter(crashes))
