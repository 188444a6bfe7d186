"""Distribution of the streams of a lost engine over the ways to resume them.

All streams of a lost engine leave it in the same instant. If each took the way that is
fastest for a single stream, the engines of that way would prefill them one after
another while others have spare capacity. The entries cannot consult each other in time,
so all compute the same shares from the same totals, and each draws the ways of its own
streams from these shares.
"""

__all__ = ["RecoveryWay", "draw_way", "recovery_shares", "recovery_time_s"]

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

# Lower bound of the delay by each further stream, so that the number of streams that a
# way gets until a given time is finite.
MIN_PER_STREAM_S = 1e-6


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryWay:
    """One way to resume the streams of a lost engine.

    Attributes:
        domain: Failure domain in which the path begins.
        is_detour: Whether the streams keep their first engine and only the lost layers
            are prefilled again; otherwise they are sent again.
        ready_s: Time until the next event of a stream that takes the way alone.
        per_stream_s: Delay that each further stream adds for the others.
        room: Number of streams for which the way has KV cache.
    """

    domain: str
    is_detour: bool = False
    ready_s: float
    per_stream_s: float
    room: float = math.inf


def recovery_time_s(way: RecoveryWay, streams: float) -> float:
    """Return the time until the next event of the last stream on a way.

    Args:
        way: The way.
        streams: Number of streams that take it; 0 gives 0.
    """
    if streams <= 0:
        return 0.0
    return way.ready_s + max(0.0, streams - 1) * way.per_stream_s


def recovery_shares(ways: Sequence[RecoveryWay], streams: float) -> tuple[float, ...]:
    """Return the share of the streams that takes each way.

    The shares minimise the time until the last stream resumes (water-filling): once all
    other streams have their ways, those in use are equally fast for the last one, and
    all others are slower. No way gets more streams than it has room for while another
    one has room left. A way without any room gets streams only if no way has room.

    Args:
        ways: The ways.
        streams: Number of streams of all entries.

    Returns:
        A share for each way, which add up to 1; empty if there are no ways.

    Notes:
        Time is proportional to the square of the number of ways, and does not depend
        on the number of streams; four ways take some tens of microseconds.

    Example:
        >>> near = RecoveryWay(domain="a", ready_s=0.1, per_stream_s=0.05)
        >>> far = RecoveryWay(domain="b", ready_s=0.2, per_stream_s=0.05)
        >>> [recovery_shares([near, far], streams) for streams in (1, 3, 11)]
        [(1.0, 0.0), (1.0, 0.0), (0.6, 0.4)]
    """
    if not ways:
        return ()
    has_room = any(way.room > 0 for way in ways)
    # The last stream may take any of the ways in use, so only the others are divided.
    others = streams - 1.0
    if others <= 0:
        return _fastest_share(ways, has_room)
    # Without any room, streams are distributed as if it were unlimited.
    scale = others / streams
    rooms = [max(0.0, way.room) * scale if has_room else math.inf for way in ways]
    if sum(rooms) >= others:
        counts = _fill(ways, others, lowest=[0.0] * len(ways), highest=rooms)
    else:
        # The ways are full in any case, and the rest is distributed over them by time.
        unlimited = [math.inf if room > 0 else 0.0 for room in rooms]
        counts = _fill(ways, others, lowest=rooms, highest=unlimited)
    total = sum(counts)
    return tuple(round(count / total, 9) for count in counts)


def draw_way(
    ways: Sequence[RecoveryWay], shares: Sequence[float], rng: random.Random
) -> RecoveryWay:
    """Return one way at random, each with the probability of its share.

    Args:
        ways: The ways, at least one.
        shares: Their shares.
        rng: Source of randomness.
    """
    return rng.choices(ways, weights=shares)[0]


def _fastest_share(ways: Sequence[RecoveryWay], has_room: bool) -> tuple[float, ...]:
    """Return shares that use only the ways that are fastest for a single stream."""
    usable = [way for way in ways if way.room > 0 or not has_room]
    ready_s = min(way.ready_s for way in usable)
    fastest = [
        way.ready_s == ready_s and (way.room > 0 or not has_room) for way in ways
    ]
    return tuple(is_fastest / sum(fastest) for is_fastest in fastest)


def _fill(
    ways: Sequence[RecoveryWay],
    streams: float,
    *,
    lowest: Sequence[float],
    highest: Sequence[float],
) -> list[float]:
    """Return the number of streams of each way at the common time of the last one.

    The number of streams that a way takes until a given time increases linearly between
    the times at which it reaches its lowest and its highest number.

    Args:
        ways: The ways.
        streams: Number of streams, between the sums of the lowest and highest ones.
        lowest: Least number of each way.
        highest: Largest number of each way.
    """
    paces = [1.0 / max(way.per_stream_s, MIN_PER_STREAM_S) for way in ways]

    def counts_at(time_s: float) -> list[float]:
        return [
            min(most, max(least, (time_s - way.ready_s) * pace))
            for way, pace, least, most in zip(ways, paces, lowest, highest, strict=True)
        ]

    times_s = sorted(
        {
            way.ready_s + bound / pace
            for way, pace, least, most in zip(ways, paces, lowest, highest, strict=True)
            for bound in (least, most)
            if bound < math.inf
        }
    )
    # Between two of these times, the total increases linearly.
    start_s = max(
        (time_s for time_s in times_s if sum(counts_at(time_s)) <= streams),
        default=times_s[0],
    )
    counts = counts_at(start_s)
    growth = sum(
        pace
        for way, pace, count, least, most in zip(
            ways, paces, counts, lowest, highest, strict=True
        )
        if start_s >= way.ready_s + least / pace and count < most
    )
    if not growth:
        return counts
    return counts_at(start_s + max(0.0, streams - sum(counts)) / growth)
