"""Bounded queue in front of a backend server: by priority, then by fair share."""

__all__ = ["FairQueue"]

import heapq
import itertools
from typing import Generic

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits.fair_scheduler import FairScheduler, Item, QueueEntry
from wigeonscale.ports import Clock, SystemClock

# An organisation may hold at most this many times the free places of the queue, so that
# a long backlog always leaves places for other organisations.
DYNAMIC_THRESHOLD_FACTOR = 8.0


class FairQueue(Generic[Item]):
    """Strict priorities, with start-time fair queueing over organisations in each.

    Args:
        quantum: Cost of one turn of an organisation with share 1.
        limit: Maximum number of items.
        clock: Clock port; None for the system clock.

    Example:
        >>> queue = FairQueue(limit=8)
        >>> for item in ("a1", "a2", "a3"):
        ...     queue.push(item, organisation="a")
        >>> queue.push("b1", organisation="b")
        >>> [queue.pop() for _ in range(4)]
        ['a1', 'b1', 'a2', 'a3']

    Notes:
        Push and remove take constant time; for pop see :class:`FairScheduler`. The
        bound per organisation follows Choudhury and Hahne, "Dynamic queue length
        thresholds for shared-memory packet switches", IEEE/ACM Transactions on
        Networking, 1998.
    """

    def __init__(self, *, limit: int, quantum: float = 1.0, clock: Clock | None = None):
        self._quantum = quantum
        self._limit = limit
        self._clock = clock or SystemClock()
        self._entries: dict[Item, QueueEntry[Item]] = {}
        self._schedulers: dict[int, FairScheduler[Item]] = {}
        self._held: dict[str, int] = {}
        self._deadlines: list[tuple[float, int, QueueEntry[Item]]] = []
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
            item: Hashable; must not be queued already.
            organisation: Organisation that the item is accounted to.
            priority: Higher priorities are served first.
            cost: Cost of the item, in the unit of ``quantum``.
            share: Weight of the organisation.
            deadline: Latest useful start time, on the clock's ``now`` scale.

        Raises:
            WigeonscaleError: ``OVERLOADED`` if the queue is full, or if the
                organisation holds too many of its places.
        """
        self._check_space(organisation)
        entry = QueueEntry(item, organisation, priority, cost)
        if priority not in self._schedulers:
            self._schedulers[priority] = FairScheduler(quantum=self._quantum)
        self._schedulers[priority].add(entry, share)
        self._entries[item] = entry
        self._held[organisation] = self._held.get(organisation, 0) + 1
        if deadline is not None:
            heapq.heappush(self._deadlines, (deadline, next(self._order), entry))

    def pop(self) -> Item | None:
        """Remove and return the next item within its deadline; None if empty."""
        self._drop_expired()
        if not self._schedulers:
            return None
        entry = self._schedulers[max(self._schedulers)].pop()
        self._forget(entry)
        return entry.item

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was queued."""
        entry = self._entries.get(item)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def take_expired(self) -> list[Item]:
        """Return the items that have expired since the last call, to be refused."""
        self._drop_expired()
        expired, self._expired = self._expired, []
        return expired

    def ahead(self, organisation: str, *, priority: int = 0, share: float = 1.0) -> int:
        """Return how many queued items would be served before a new one.

        Args:
            organisation: Organisation of the new item.
            priority: Priority of the new item.
            share: Weight of the organisation.

        Notes:
            Counts all items of higher priority, those of this organisation, and of
            each other organisation at most what its share allows before the new item
            is served. Linear in the priorities, and in the organisations at this
            priority.
        """
        higher = sum(
            len(scheduler)
            for level_priority, scheduler in self._schedulers.items()
            if level_priority > priority
        )
        scheduler = self._schedulers.get(priority)
        return higher + (scheduler.ahead(organisation, share) if scheduler else 0)

    def _check_space(self, organisation: str) -> None:
        free_places = self._limit - len(self._entries)
        held = self._held.get(organisation, 0)
        if free_places <= 0:
            reason = f"the queue is full with {self._limit} requests"
        elif held >= DYNAMIC_THRESHOLD_FACTOR * free_places:
            reason = (
                f"organisation {organisation} holds {held} of the queue's "
                f"{self._limit} places"
            )
        else:
            return
        raise WigeonscaleError(ErrorKind.OVERLOADED, reason)

    def _drop(self, entry: QueueEntry[Item]) -> None:
        self._schedulers[entry.priority].discard(entry)
        self._forget(entry)

    def _forget(self, entry: QueueEntry[Item]) -> None:
        if not self._schedulers[entry.priority]:
            del self._schedulers[entry.priority]
        del self._entries[entry.item]
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
