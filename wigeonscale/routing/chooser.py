"""The choice of one candidate for one request."""

__all__ = ["Chooser"]

import math
import random
from collections import OrderedDict
from collections.abc import Container, Sequence

from wigeonscale.routing.load import LoadTable
from wigeonscale.routing.prefixes import PrefixView, prefix_digest
from wigeonscale.routing.subset import Candidate, CandidatePool, rendezvous_weight

DEFAULT_SUBSET = 16
MAX_CACHED_POOLS = 256
# A request that must queue weighs as many running ones. The bound on the ratio is
# a little below: affinity may crowd a server, but not make a request queue while
# another server has room.
QUEUED_WEIGHT = 24.0
LOAD_RATIO_BOUND = 20.0
FAILURE_WEIGHT = 2.0
SOFTPLUS_SHARPNESS = 2.0
SOFTPLUS_LINEAR_FROM = 20.0
MIN_RATE = 1e-9


class Chooser:
    """The least loaded of a bounded subset, with prefix affinity.

    A request with a prefix goes to a backend server that holds the prefix, or
    else to the one that rendezvous hashing gives, among those whose cost is at most
    ``LOAD_RATIO_BOUND`` times the smallest: affinity yields to load.

    Args:
        table: Load of the agents.
        rng: Source of the random choices; its first number seeds the subset.
        subset: Candidates used per target.
        view: Prefixes known to be held; None for affinity by hash alone.

    Notes:
        A choice costs one hash per member of the subset when it has a prefix, else
        constant time, in a :class:`CandidatePool` that is updated incrementally or
        in a tuple: pass the same tuple object until the candidates change, since
        a new one, as any other sequence, costs one hash per candidate.
    """

    def __init__(
        self,
        *,
        table: LoadTable,
        rng: random.Random,
        subset: int = DEFAULT_SUBSET,
        view: PrefixView | None = None,
    ):
        self._table = table
        self._rng = rng
        self._size = subset
        self._view = view
        self._seed = rng.getrandbits(128).to_bytes(16, "big")
        self._pools: OrderedDict[int, tuple[Sequence[Candidate], CandidatePool]]
        self._pools = OrderedDict()

    def new_pool(self, candidates: Sequence[Candidate] = ()) -> CandidatePool:
        """Return a pool with this chooser's subset size and seed."""
        return CandidatePool(seed=self._seed, size=self._size, candidates=candidates)

    def choose(
        self,
        candidates: Sequence[Candidate] | CandidatePool,
        *,
        prefix: bytes = b"",
        organisation: str = "",
        avoid: frozenset[str] = frozenset(),
    ) -> Candidate | None:
        """Return the candidate for one request.

        Args:
            candidates: Where the request may go.
            prefix: The prompt, or its first bytes; empty for no affinity.
            organisation: Whose request it is; empty where it does not matter.
            avoid: Ids of agents not to use.

        Returns:
            The choice, or None when no candidate is usable.
        """
        usable = self._usable(candidates, avoid)
        if not usable:
            return None
        random = self._rng.random
        costed = sorted((self._cost(c, organisation), random(), c) for c in usable)
        if not prefix:
            return costed[0][2]
        limit = LOAD_RATIO_BOUND * costed[0][0]
        allowed = [candidate for cost, _, candidate in costed if cost <= limit]
        return self._with_affinity(allowed, prefix_digest(prefix))

    def forget_absent(self, known: Container[str]) -> None:
        """Drop what was learnt of agents that are gone.

        Args:
            known: Ids of the agents that are members.
        """
        self._table.forget_absent(known)
        if self._view is not None:
            self._view.forget_absent(known)

    def clear_leaving(self, agent_id: str) -> None:
        """Offer work again to an agent that had said that it leaves."""
        self._table.clear_leaving(agent_id)

    def _usable(self, candidates, avoid: frozenset[str]) -> list[Candidate]:
        if len(candidates) <= self._size and not isinstance(candidates, CandidatePool):
            return [c for c in candidates if self._is_usable(c, avoid)]
        pool = self._pool(candidates)
        usable = [c for c in pool.subset if self._is_usable(c, avoid)]
        if usable:
            return usable
        # All of the subset is out, as after a lost domain: look at the others.
        return [c for c in pool.ranked(4 * self._size) if self._is_usable(c, avoid)]

    def _is_usable(self, candidate: Candidate, avoid: frozenset[str]) -> bool:
        agent_id = candidate.agent_id
        return agent_id not in avoid and not self._table.leaving(agent_id)

    def _pool(self, candidates) -> CandidatePool:
        if isinstance(candidates, CandidatePool):
            return candidates
        if not isinstance(candidates, tuple):
            return self.new_pool(candidates)
        known = self._pools.get(id(candidates))
        if known is not None:
            self._pools.move_to_end(id(candidates))
            return known[1]
        pool = self.new_pool(candidates)
        # The tuple is kept too, so that its id cannot become another's.
        self._pools[id(candidates)] = (candidates, pool)
        if len(self._pools) > MAX_CACHED_POOLS:
            self._pools.popitem(last=False)
        return pool

    def _with_affinity(self, allowed: list[Candidate], digest: bytes) -> Candidate:
        if self._view is not None:
            for candidate in allowed:  # the least cost first
                if self._view.holds(candidate.agent_id, digest):
                    return candidate
        return max(allowed, key=lambda c: rendezvous_weight(digest, c.key, c.rate))

    def _cost(self, candidate: Candidate, organisation: str) -> float:
        # Requests at the server over its rate, those that must queue weighing
        # more. The soft bend allows for a backlog that is only an estimate.
        agent_id = candidate.agent_id
        requests = self._table.backlog(agent_id) + 1
        queued = _softplus(requests - self._table.slots(agent_id))
        # Servers share their slots by organisation, so where requests queue, those
        # of one organisation are better off at different servers.
        own = self._table.in_flight_of(agent_id, organisation) if organisation else 0
        weight = queued + own * min(1.0, queued)
        # One that fails at once has no load, and must not draw all requests by it.
        weight += FAILURE_WEIGHT * self._table.failures(agent_id)
        return (requests + QUEUED_WEIGHT * weight) / max(candidate.rate, MIN_RATE)


def _softplus(excess: float) -> float:
    if excess > SOFTPLUS_LINEAR_FROM:
        return excess
    return math.log1p(math.exp(excess * SOFTPLUS_SHARPNESS)) / SOFTPLUS_SHARPNESS
