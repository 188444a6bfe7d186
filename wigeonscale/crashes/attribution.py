"""Attribution of crashes to one of the suspects that share them.

A suspect is a request, or a part of a prompt that many requests share. A request that
crashes servers is interrupted together with harmless ones, and a part that crashes
servers always occurs together with harmless parts.
"""

__all__ = ["Suspect", "refusal_s_among"]

from collections.abc import Iterable, Set
from dataclasses import dataclass

from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    UNCERTAIN_REFUSAL_S,
    refusal_s,
)

# Servers that end within this time may have a common cause, such as a power failure of
# a rack. Copies of a popular request then run on several of them at the same time.
COMMON_CAUSE_S = 1.0
# First refusal of a part that has run without a crash before. It is short, since the
# part may be popular and the crashes a coincidence.
PROVEN_REFUSAL_S = 1.0
# Each further crash multiplies that refusal by this.
PROVEN_REFUSAL_GROWTH_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request or a part of a prompt that may crash backend servers.

    Attributes:
        backends: Backend servers that ended while they ran it.
        is_proven: Whether it has run without a crash before.
    """

    backends: Set[str]
    is_proven: bool = False

    @property
    def _rank(self) -> tuple[bool, int]:
        return not self.is_proven, len(self.backends)

    def is_likelier_than(self, other: "Suspect") -> bool:
        """Return whether crashes shared with another suspect are attributed to this."""
        return self._rank > other._rank

    def is_as_likely_as(self, other: "Suspect") -> bool:
        """Return whether shared crashes cannot be attributed to one of the two."""
        return self._rank == other._rank


def refusal_s_among(
    suspect: Suspect,
    others: Iterable[Suspect],
    *,
    span_s: float,
    uncertain_s: float = UNCERTAIN_REFUSAL_S,
) -> float:
    """Return how long a suspect is refused, considering the other suspects.

    A crash with several suspects is attributed to one that has never run without a
    crash, and among those to the one with the most crashes. Two that crash servers may
    have had their first crashes in common. Neither is released by further crashes of
    the other if it had one alone: it is refused for a short time again.

    Args:
        suspect: The request or part.
        others: All others that may be refused.
        span_s: Time from its first crash to its last, in seconds.
        uncertain_s: Duration of a refusal that may be wrong, in seconds.

    Returns:
        Seconds after its last crash; 0 if it is not refused.

    Example:
        >>> three, four = Suspect({"a", "b", "c"}), Suspect({"a", "b", "c", "d"})
        >>> refusal_s_among(three, [four], span_s=9.0)
        0.0
        >>> refusal_s_among(three, [three], span_s=9.0)
        5.0
        >>> alone = Suspect({"a", "b", "c", "e"})
        >>> refusal_s_among(alone, [Suspect({"a", "b", "c", "d", "f"})], span_s=9.0)
        5.0
        >>> refusal_s_among(three, [], span_s=0.1)
        5.0
        >>> refusal_s_among(three, [], span_s=9.0)
        600.0
        >>> proven = Suspect({"a", "b", "c", "d"}, is_proven=True)
        >>> refusal_s_among(proven, [three], span_s=9.0)
        0.0
        >>> refusal_s_among(proven, [], span_s=9.0)
        4.0
    """
    crashes = len(suspect.backends)
    if crashes < CRASHES_TO_REFUSE:
        return 0.0
    unexplained, unshared = set(suspect.backends), set(suspect.backends)
    for other in others:
        if other.is_likelier_than(suspect):
            unexplained -= other.backends
        elif other.is_as_likely_as(suspect):
            unshared -= other.backends
    if len(unexplained) < CRASHES_TO_REFUSE:
        has_crash_alone = bool(unexplained & unshared)
        return uncertain_s if has_crash_alone and not suspect.is_proven else 0.0
    if suspect.is_proven:
        beyond = crashes - CRASHES_TO_REFUSE
        return PROVEN_REFUSAL_S * PROVEN_REFUSAL_GROWTH_FACTOR**beyond
    is_tied = len(unexplained & unshared) < CRASHES_TO_REFUSE
    if is_tied or span_s < COMMON_CAUSE_S:
        return uncertain_s
    return refusal_s(crashes)
