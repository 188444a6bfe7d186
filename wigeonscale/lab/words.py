"""What entries hear of each other's load, and how late."""

__all__ = ["Words"]

import random
from collections.abc import Sequence

from wigeonscale.direct import BackendTracker

# From an entry's word until another hears it: the replicas pass sums on among them a
# few times a second.
PASS_ON_S = 0.2

_Loads = dict[str, tuple[int, float]]


class Words:
    """Each entry tells its load and hears the sum of all, each at its own time.

    Args:
        entries: What the entries believe.
        interval_s: Time between two words of an entry, in seconds.
        rng: Spreads them over the interval.
    """

    def __init__(
        self,
        entries: Sequence[BackendTracker],
        *,
        interval_s: float,
        rng: random.Random,
    ):
        self._interval_s = interval_s
        self._due = [(rng.random() * interval_s, entry) for entry in entries]
        self._under_way: list[tuple[float, BackendTracker, _Loads]] = []
        self._board: dict[BackendTracker, _Loads] = {}

    def pass_on(self, now: float) -> None:
        """Let the words of an instant go out and arrive.

        Args:
            now: The instant; not before that of the last call.
        """
        while self._under_way and self._under_way[0][0] <= now:
            _, entry, told = self._under_way.pop(0)
            self._board[entry] = told
        for number, (due_at, entry) in enumerate(self._due):
            if now >= due_at:
                self._due[number] = due_at + self._interval_s, entry
                self._exchange(entry, now)

    def _exchange(self, entry: BackendTracker, now: float) -> None:
        told = dict(entry.report_loads())
        self._under_way.append((now + PASS_ON_S, entry, told))
        entry.apply_totals(_sum([*(self._board | {entry: told}).values()]))


def _sum(loads: Sequence[_Loads]) -> _Loads:
    totals: _Loads = {}
    for told in loads:
        for name, (running, token_layers) in told.items():
            before = totals.get(name, (0, 0.0))
            totals[name] = before[0] + running, before[1] + token_layers
    return totals
