"""Division of a retry budget among entries that see each other's reports late.

The budget has two parts that are never exchanged. ``OWN_FRACTION`` is divided equally:
an entry may use its part at any time, also without any contact to the others.
``CLAIM_FRACTION`` is divided by claims: an entry reports a claim before it uses it, and
uses it once the totals of all claims include it and fit into this part.

The sum of the usable claims is bounded, whatever the entries want. Consider the claim
that was raised last. It was accepted on totals that arrived at least ``CLAIM_DELAY_S``
after the report that raised it, so these totals include every other claim at its
current height or higher. An entry lowers a claim when it reports the lower value,
before others can use the difference.
"""

__all__ = [
    "CLAIM_DELAY_S",
    "CLAIM_FRACTION",
    "OWN_FRACTION",
    "accepted_claim",
    "own_share",
    "pool_share",
    "target_claim",
]

import math
from collections.abc import Iterable

# Fraction of the budget that entries divide by claims.
CLAIM_FRACTION = 0.75
# Fraction of the budget that entries may use without contact to control. Both parts
# add up to 1, because entries with and without contact may use theirs at the same time.
OWN_FRACTION = 0.25
# Fraction of its equal part that an entry keeps while others want retries, for the
# first loss of an engine that affects it.
KEPT_FRACTION = 0.25
# A loss affects the entries of one of about three failure domains. The number is used
# until the totals contain the entries that want retries.
USUAL_DOMAINS = 3
# A report reaches the other entries within 0.7 s; the rest is a margin for one late
# message.
CLAIM_DELAY_S = 1.0


def own_share(budget: float) -> int:
    """Return the retries that an entry may make without contact to control.

    Args:
        budget: Equal part of the budget of this entry.

    Example:
        >>> own_share(11.0)
        2
    """
    return math.floor(OWN_FRACTION * budget)


def pool_share(left: float, entries: int, wanting: int, *, is_wanting: bool) -> float:
    """Return one entry's part of the retries that are left.

    Entries that want none keep a quarter of their equal part, and the others divide the
    rest.

    Args:
        left: Retries to divide.
        entries: Number of entries.
        wanting: Number of entries that want retries; 0 if unknown.
        is_wanting: Whether this entry is one of them.

    Returns:
        The part; the parts of all entries add up to ``left``.

    Example:
        >>> pool_share(28.0, 28, 7, is_wanting=True)
        3.25
        >>> pool_share(28.0, 28, 7, is_wanting=False)
        0.25
        >>> pool_share(28.0, 28, 0, is_wanting=False)
        1.0
    """
    entries = max(1, entries)
    wanting = min(wanting, entries)
    equal = max(0.0, left) / entries
    if wanting == 0:
        return equal
    if not is_wanting:
        return KEPT_FRACTION * equal
    return equal + (1.0 - KEPT_FRACTION) * equal * (entries - wanting) / wanting


def target_claim(budget: float, entries: int, wanting: int, *, is_wanting: bool) -> int:
    """Return the claim that an entry should report.

    The claim is the part that ``pool_share`` gives of the part of the budget for
    claims, in whole retries. An entry keeps at least one for its first loss.

    Args:
        budget: Equal part of the budget of this entry.
        entries: Number of entries.
        wanting: Number of entries that want retries; 0 if unknown.
        is_wanting: Whether this entry is one of them.

    Example:
        >>> target_claim(10.0, 28, 0, is_wanting=False)
        7
        >>> target_claim(10.0, 28, 9, is_wanting=False)
        2
        >>> target_claim(10.0, 28, 9, is_wanting=True)
        17
    """
    equal = math.floor(CLAIM_FRACTION * budget)
    if not is_wanting:
        part = pool_share(equal * entries, entries, wanting, is_wanting=False)
        return math.ceil(part)
    wanting = min(entries, wanting or math.ceil(entries / USUAL_DOMAINS))
    kept = math.ceil(KEPT_FRACTION * equal)
    return equal + math.floor((equal - kept) * (entries - wanting) / wanting)


def accepted_claim(
    reported: Iterable[int], *, total: int, budget: float, accepted: int
) -> int:
    """Return the claim that an entry may use.

    Args:
        reported: Claims that the entry reported since ``CLAIM_DELAY_S`` before the
            totals arrived, and the last one before.
        total: Sum of the claims of all entries.
        budget: Budget of all entries.
        accepted: Claim that it may use so far.

    Returns:
        The lowest reported claim less the excess of the total over the part of the
        budget for claims, or the accepted one if it is higher.

    Example:
        >>> accepted_claim([9, 9], total=77, budget=100.0, accepted=4)
        7
    """
    excess = max(0, total - math.floor(CLAIM_FRACTION * budget))
    return max(accepted, min(reported, default=0) - excess)
