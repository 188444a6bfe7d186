"""Baseline policies for the choice of backend server."""

__all__ = ["LeastConnections", "RoundRobin"]

import itertools
import random
from collections.abc import Sequence

from wigeonscale.routing import Candidate, LoadTable


class RoundRobin:
    """Chooses the servers in rotation.

    Args:
        candidates: The servers.
        first: Starting position; entries differ in it so that they do not choose
            the same server at the same time.
    """

    def __init__(self, *, candidates: Sequence[Candidate], first: int):
        self._turns = itertools.islice(itertools.cycle(candidates), first, None)

    def choose(self, prefix: bytes) -> Candidate:
        """Return the next server."""
        return next(self._turns)


class LeastConnections:
    """Chooses the server with the fewest requests of this entry in flight.

    Args:
        candidates: The servers.
        table: Counts the entry's requests in flight.
        rng: Breaks ties.
        weighted: Whether counts are divided by the server's rate.
    """

    def __init__(
        self,
        *,
        candidates: Sequence[Candidate],
        table: LoadTable,
        rng: random.Random,
        weighted: bool,
    ):
        self._candidates = candidates
        self._table = table
        self._rng = rng
        self._weighted = weighted

    def choose(self, prefix: bytes) -> Candidate:
        """Return the server with the fewest requests in flight."""
        return min(self._candidates, key=self._cost)

    def _cost(self, candidate: Candidate) -> tuple[float, float]:
        in_flight = self._table.in_flight(candidate.agent_id)
        if self._weighted:
            return (in_flight + 1) / candidate.rate, self._rng.random()
        return in_flight, self._rng.random()
