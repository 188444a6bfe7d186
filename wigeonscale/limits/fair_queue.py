"""The bounded queue before a backend server: priority, then fair share."""

__all__ = ["FairQueue"]

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock, SystemClock

Item = TypeVar("Item", bound=Hashable)

# An organisation may hold at most this many times the room left, so that one
# with a long backlog always leaves room for those that come later.
HOLD_FACTOR = 8.0
MIN_SHARE = 1e-3


@dataclass(slots=True)
class _Entry(Generic[Item]):
    item: Item
    organisation: str
    priority: int
    cost: float


@dataclass(slots=True)
class _Backlog:
    share: float = 1.0
    deficit: float = 0.0
    entries: OrderedDict = field(default_factory=OrderedDict)


class FairQueue(Generic[Item]):
    """Higher priority first, then deficit round robin over organisations.

    Args:
        quantum: Cost served per turn and unit of share.
        limit: Most items held.
        clock: Clock port; None for this machine's clock.

    Example:
        >>> queue = FairQueue(limit=8)
        >>> for item in ("a1", "a2", "a3"):
        ...     queue.push(item, organisation="a")
        >>> queue.push("b1", organisation="b")
        >>> [queue.pop() for _ in range(4)]
        ['a1', 'b1', 'a2', 'a3']

    Notes:
        Push and remove take constant time, pop a turn over the organisations at
        most where costs are near the quantum. Shreedhar and Varghese, "Efficient
        fair queueing using deficit round robin", SIGCOMM 1995. The bound per
        organisation follows Choudhury and Hahne, "Dynamic queue length thresholds
        for shared-memory packet switches", IEEE/ACM Transactions on Networking,
        1998.
    """

    def __init__(self, *, limit: int, quantum: float = 1.0, clock: Clock | None = None):
        self._quantum = quantum
        self._limit = limit
        self._clock = clock or SystemClock()
        self._entries: dict[Item, _Entry[Item]] = {}
        self._levels: dict[int, OrderedDict[str, _Backlog]] = {}
        self._held: dict[str, int] = {}
        self._deadlines: list[tuple[float, int, _Entry[Item]]] = []
        self._expired: list[Item] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, item: Item) -> bool:
        return item in self._entries

    def push(
        self,
        item: Item,
        *,
        organisation: str,
        priority: int = 0,
        cost: float = 1.0,
        share: float = 1.0,
        deadline: float | None = None,
    ) -> None:
        """Queue an item.

        Args:
            item: Hashable, not queued yet.
            organisation: Whose turn it uses.
            priority: Larger goes first.
            cost: What it takes of a turn, in the unit of the quantum.
            share: Weight of the organisation.
            deadline: Latest useful start, as a reading of the clock's ``now``.

        Raises:
            WigeonscaleError: ``OVERLOADED`` when the queue is full, or the
                organisation holds so much of it that the others lack room.
        """
        self._check_room(organisation)
        entry = _Entry(item, organisation, priority, cost)
        level = self._levels.setdefault(priority, OrderedDict())
        backlog = level.get(organisation)
        if backlog is None:
            first_turn = self._quantum * max(share, MIN_SHARE)
            backlog = level[organisation] = _Backlog(deficit=first_turn)
        backlog.share = max(share, MIN_SHARE)
        backlog.entries[item] = entry
        self._entries[item] = entry
        self._held[organisation] = self._held.get(organisation, 0) + 1
        if deadline is not None:
            heapq.heappush(self._deadlines, (deadline, next(self._order), entry))

    def pop(self) -> Item | None:
        """Take the next item whose deadline has not passed; None for none."""
        self._drop_expired()
        if not self._levels:
            return None
        level = self._levels[max(self._levels)]
        backlog = self._next_turn(level)
        entry = next(iter(backlog.entries.values()))
        backlog.deficit -= entry.cost
        self._drop(entry)
        return entry.item

    def remove(self, item: Item) -> bool:
        """Take an item out of its turn; returns whether it was queued."""
        entry = self._entries.get(item)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def take_expired(self) -> list[Item]:
        """Return, once, the items dropped at their deadline, to be refused."""
        self._drop_expired()
        expired, self._expired = self._expired, []
        return expired

    def ahead(
        self, organisation: str, *, priority: int = 0, share: float = 1.0
    ) -> float:
        """Return how many queued items would start before a new one.

        Args:
            organisation: Whose item it would be.
            priority: Its priority.
            share: Weight of the organisation.

        Notes:
            Counts every item of higher priority, and of each other organisation at
            most what its share lets through while the own backlog is served.
            Costs one step per organisation and priority now queued. Costs are
            taken as equal.
        """
        higher = sum(
            len(backlog.entries)
            for level_priority, level in self._levels.items()
            if level_priority > priority
            for backlog in level.values()
        )
        level = self._levels.get(priority, {})
        own = len(level[organisation].entries) if organisation in level else 0
        turns = (own + 1) / max(share, MIN_SHARE)
        others = sum(
            min(len(backlog.entries), turns * backlog.share)
            for name, backlog in level.items()
            if name != organisation
        )
        return higher + own + others

    def _check_room(self, organisation: str) -> None:
        room = self._limit - len(self._entries)
        held = self._held.get(organisation, 0)
        if room <= 0:
            reason = f"the queue is full with {self._limit} requests"
        elif held >= HOLD_FACTOR * room:
            reason = (
                f"organisation {organisation} holds {held} of the queue's "
                f"{self._limit} places"
            )
        else:
            return
        raise WigeonscaleError(ErrorKind.OVERLOADED, reason)

    def _next_turn(self, level: OrderedDict[str, _Backlog]) -> _Backlog:
        turns = 0
        while True:
            organisation, backlog = next(iter(level.items()))
            if backlog.deficit >= _head_cost(backlog):
                return backlog
            backlog.deficit += self._quantum * backlog.share
            level.move_to_end(organisation)
            turns += 1
            if turns % len(level) == 0:
                self._skip_idle_rounds(level)

    def _skip_idle_rounds(self, level: OrderedDict[str, _Backlog]) -> None:
        # Small shares would take many rounds until someone may be served.
        rounds = min(
            (_head_cost(backlog) - backlog.deficit) // (self._quantum * backlog.share)
            for backlog in level.values()
        )
        if rounds > 0:
            for backlog in level.values():
                backlog.deficit += rounds * self._quantum * backlog.share

    def _drop(self, entry: _Entry[Item]) -> None:
        level = self._levels[entry.priority]
        backlog = level[entry.organisation]
        del backlog.entries[entry.item]
        del self._entries[entry.item]
        if not backlog.entries:
            del level[entry.organisation]
        if not level:
            del self._levels[entry.priority]
        self._held[entry.organisation] -= 1
        if not self._held[entry.organisation]:
            del self._held[entry.organisation]

    def _drop_expired(self) -> None:
        now = self._clock.now()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, entry = heapq.heappop(self._deadlines)
            if self._entries.get(entry.item) is entry:
                self._drop(entry)
                self._expired.append(entry.item)


def _head_cost(backlog: _Backlog) -> float:
    return next(iter(backlog.entries.values())).cost
