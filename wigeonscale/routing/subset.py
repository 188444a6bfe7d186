"""Subsetting: a bounded, stable set of candidates spread over failure domains."""

__all__ = ["Candidate", "CandidatePool", "rendezvous_weight"]

import bisect
import hashlib
import itertools
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

HASH_BITS = 64


@dataclass(frozen=True, slots=True)
class Candidate:
    """A pipeline replica or plain service that a request may be sent to.

    Attributes:
        agent_id: Agent to dispatch to: the head of the chain, or the service's agent.
        key: Stable name of the replica, for example its chain id.
        rate: Planned rate, in any unit common to all candidates.
        domain: Failure domain of the agent.
    """

    agent_id: str
    key: str
    rate: float = 1.0
    domain: str = ""


def rendezvous_weight(seed: bytes, key: str, rate: float = 1.0) -> float:
    """Return the rendezvous (highest random weight) hash of a candidate.

    Args:
        seed: Identifies the chooser, or the key to be placed.
        key: Name of the candidate.
        rate: Capacity of the candidate; it is selected in proportion to it.

    Returns:
        A weight; the candidate with the highest weight is selected.

    Notes:
        Weighted rendezvous hashing: each candidate is selected with a probability
        proportional to its rate, and if a candidate is removed, only what was mapped
        to it moves. Thaler and Ravishankar, "Using name-based mappings to increase
        hit rates", IEEE/ACM Transactions on Networking, 1998.
    """
    raw = hashlib.blake2b(key.encode(), key=seed[:64], digest_size=HASH_BITS // 8)
    draw = (int.from_bytes(raw.digest(), "big") + 1) / (2**HASH_BITS + 1)
    return max(rate, 1e-9) / -math.log(draw)


class CandidatePool:
    """All candidates of one target, with the subset that one entry uses.

    Candidates are ranked by rendezvous weight within their failure domain. The
    subset takes the first of every domain, then the second, until it is full.

    Args:
        seed: Identifies the entry, so that entries use different subsets.
        size: Maximum number of candidates in the subset.
        candidates: Initial candidates.

    Notes:
        ``add`` and ``remove`` cost one hash, a binary search in the domain's
        ranking and ``size`` steps; a change replaces at most one candidate of the
        subset per domain. Nothing else depends on the number of candidates.
    """

    def __init__(self, *, seed: bytes, size: int, candidates: Iterable[Candidate] = ()):
        self._seed = seed
        self._size = size
        self._members: dict[str, tuple[float, Candidate]] = {}
        self._ranked: dict[str, list[tuple[float, str]]] = {}
        self._subset: tuple[Candidate, ...] | None = None
        for candidate in candidates:
            self.add(candidate)

    def __len__(self) -> int:
        return len(self._members)

    @property
    def subset(self) -> tuple[Candidate, ...]:
        """The candidates that this entry uses: the best of each domain first."""
        if self._subset is None:
            self._subset = tuple(
                itertools.islice(self._interleave_domains(), self._size)
            )
        return self._subset

    def add(self, candidate: Candidate) -> None:
        """Add a candidate, or replace the one with the same key."""
        self.remove(candidate.key)
        weight = rendezvous_weight(self._seed, candidate.key, candidate.rate)
        self._members[candidate.key] = (weight, candidate)
        ranked = self._ranked.setdefault(candidate.domain, [])
        bisect.insort(ranked, (-weight, candidate.key))
        self._subset = None

    def remove(self, key: str) -> None:
        """Remove a candidate; an unknown key is ignored."""
        weight, candidate = self._members.pop(key, (0.0, None))
        if candidate is None:
            return
        ranked = self._ranked[candidate.domain]
        ranked.pop(bisect.bisect_left(ranked, (-weight, key)))
        if not ranked:
            del self._ranked[candidate.domain]
        self._subset = None

    def replace(self, candidates: Iterable[Candidate]) -> None:
        """Replace all candidates; only those that differ are removed and added."""
        wanted = {candidate.key: candidate for candidate in candidates}
        for key in self._members.keys() - wanted.keys():
            self.remove(key)
        for key, candidate in wanted.items():
            if self._members.get(key, (0.0, None))[1] != candidate:
                self.add(candidate)

    def ranked(self, count: int) -> list[Candidate]:
        """Return the first ``count`` candidates, starting with the subset."""
        return list(itertools.islice(self._interleave_domains(), count))

    def _interleave_domains(self) -> Iterator[Candidate]:
        for rank in itertools.count():
            tier = [
                ranked[rank] for ranked in self._ranked.values() if rank < len(ranked)
            ]
            if not tier:
                return
            for _, key in sorted(tier):
                yield self._members[key][1]
