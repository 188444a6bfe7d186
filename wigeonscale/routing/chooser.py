"""Selection of one candidate for a request: by load, with prefix affinity."""

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
# A queued request costs as much as this many running ones. The bound on the cost ratio
# is slightly lower: prefix affinity may load a server more than others, but must not
# make a request queue while another server has a free slot.
QUEUED_WEIGHT = 24.0
LOAD_RATIO_BOUND = 20.0
FAILURE_WEIGHT = 2.0
SOFTPLUS_SHARPNESS = 2.0
SOFTPLUS_LINEAR_FROM = 20.0
MIN_RATE = 1e-9


class Chooser:
    """Selects the least loaded candidate of a bounded subset, with prefix affinity.

    A request with a prefix goes to a backend server that holds the prefix, else to
    the one selected by rendezvous hashing. Only servers whose cost is at most
    ``LOAD_RATIO_BOUND`` times the lowest cost are considered, so that affinity does
    not overload a server.

    Args:
        table: Load of the agents.
        rng: Source of randomness; its first number seeds the subset.
        subset: Maximum number of candidates used per target.
        view: Prefixes held by servers; None for affinity by hash only.

    Notes:
        Selection costs one hash per candidate of the subset if there is a prefix, else
        constant time, given a :class:`CandidatePool` or a tuple. Pass the same tuple
        object until the candidates change: a new tuple, or any other sequence, costs
        one hash per candidate.
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
            candidates: Candidates to select from.
            prefix: The prompt, or its first bytes; empty for no affinity.
            organisation: Organisation of the request; empty to ignore it.
            avoid: Ids of agents not to use.

        Returns:
            The selected candidate, or None if no candidate is usable.
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
        """Drop the load and the prefixes of agents that have left.

        Args:
            known: Ids of the agents that are members.
        """
        self._table.forget_absent(known)
        if self._view is not None:
            self._view.forget_absent(known)

    def clear_leaving(self, agent_id: str) -> None:
        """Use an agent again that had announced that it is leaving."""
        self._table.clear_leaving(agent_id)

    def _usable(self, candidates, avoid: frozenset[str]) -> list[Candidate]:
        if len(candidates) <= self._size and not isinstance(candidates, CandidatePool):
            return [c for c in candidates if self._is_usable(c, avoid)]
        pool = self._pool(candidates)
        usable = [c for c in pool.subset if self._is_usable(c, avoid)]
        if usable:
            return usable
        # No candidate of the subset is usable, for example after the loss of a failure
        # domain: fall back to candidates outside of the subset.
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
        # Keep a reference to the tuple, so that its id is not reused.
        self._pools[id(candidates)] = (candidates, pool)
        if len(self._pools) > MAX_CACHED_POOLS:
            self._pools.popitem(last=False)
        return pool

    def _with_affinity(self, allowed: list[Candidate], digest: bytes) -> Candidate:
        if self._view is not None:
            for candidate in allowed:  # in the order of cost
                if self._view.holds(candidate.agent_id, digest):
                    return candidate
        return max(allowed, key=lambda c: rendezvous_weight(digest, c.key, c.rate))

    def _cost(self, candidate: Candidate, organisation: str) -> float:
        # Requests at the server over its rate; queued requests have a higher weight.
        # The threshold is smoothed because the backlog is only an estimate.
        agent_id = candidate.agent_id
        requests = self._table.backlog(agent_id) + 1
        queued = _softplus(requests - self._table.slots(agent_id))
        # Servers divide their slots among organisations. If requests queue, those of
        # one organisation therefore wait less when spread over several servers.
        own = self._table.in_flight_of(agent_id, organisation) if organisation else 0
        weight = queued + own * min(1.0, queued)
        # A server that fails immediately appears idle and would attract all requests.
        weight += FAILURE_WEIGHT * self._table.failures(agent_id)
        return (requests + QUEUED_WEIGHT * weight) / max(candidate.rate, MIN_RATE)


def _softplus(excess: float) -> float:
    if excess > SOFTPLUS_LINEAR_FROM:
        return excess
    return math.log1p(math.exp(excess * SOFTPLUS_SHARPNESS)) / SOFTPLUS_SHARPNESS
