"""Plain ways to choose a backend server, to hold the project's own against."""

__all__ = ["LeastConnections", "RoundRobin"]

import itertools
import random
from collections.abc import Sequence

from wigeonscale.routing import Candidate, LoadTable


class RoundRobin:
    """Takes the servers in turn.

    Args:
        candidates: The servers.
        first: Turn to begin with, so that entries do not go in step.
    """

    def __init__(self, *, candidates: Sequence[Candidate], first: int):
        self._turns = itertools.islice(itertools.cycle(candidates), first, None)

    def choose(self, prefix: bytes) -> Candidate:
        """Return the next server."""
        return next(self._turns)


class LeastConnections:
    """Takes the server with the fewest own requests in progress, any of several.

    Args:
        candidates: The servers.
        table: Counts the own requests in progress.
        rng: Chooses among equals.
        weighted: Whether to divide by the server's rate.
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
        """Return the server with the fewest own requests."""
        return min(self._candidates, key=self._cost)

    def _cost(self, candidate: Candidate) -> tuple[float, float]:
        in_flight = self._table.in_flight(candidate.agent_id)
        if self._weighted:
            return (in_flight + 1) / candidate.rate, self._rng.random()
        return in_flight, self._rng.random()
