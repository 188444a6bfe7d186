"""Start-time fair queueing among the organisations at one priority."""

__all__ = ["FairScheduler", "Item", "QueueEntry"]

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)

MIN_SHARE = 1e-3
# Maximum credit of an organisation that uses less than its share.
MAX_CREDIT_TURNS = 4.0
MIN_TAGS_TO_PRUNE = 256


@dataclass(frozen=True, slots=True, eq=False)
class QueueEntry(Generic[Item]):
    """A queued item with its scheduling attributes."""

    item: Item
    organisation: str
    priority: int
    cost: float


@dataclass(slots=True)
class _Backlog:
    share: float
    tag: float
    entries: OrderedDict = field(default_factory=OrderedDict)


class FairScheduler(Generic[Item]):
    """Serves the organisation with the least service relative to its share.

    Each organisation has a start tag (virtual time) that grows by cost over share with
    each item served; the smallest tag is served next. When an organisation becomes
    backlogged it resumes from its previous tag, but at most ``MAX_CREDIT_TURNS`` turns
    behind the current virtual time. It thus precedes organisations that use more than
    their share, and its credit is bounded.

    Args:
        quantum: Cost of one turn of an organisation with share 1.

    Notes:
        Adding and popping cost the logarithm of the number of backlogged
        organisations. Goyal, Vin and Cheng, "Start-time fair queueing", IEEE/ACM
        Transactions on Networking, 1997, with a bounded credit.
    """

    def __init__(self, *, quantum: float):
        self._credit = MAX_CREDIT_TURNS * quantum
        self._virtual_time = 0.0
        self._waiting: dict[str, _Backlog] = {}
        self._tags: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._prune_at = MIN_TAGS_TO_PRUNE
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, entry: QueueEntry[Item], share: float) -> None:
        """Queue an entry; ``share`` is the weight of its organisation."""
        backlog = self._waiting.get(entry.organisation)
        if backlog is None:
            backlog = _Backlog(share, self._first_tag(entry.organisation))
            self._waiting[entry.organisation] = backlog
            self._schedule(entry.organisation, backlog)
        backlog.share = max(share, MIN_SHARE)
        backlog.entries[entry.item] = entry
        self._count += 1

    def discard(self, entry: QueueEntry[Item]) -> None:
        """Remove a queued entry."""
        backlog = self._waiting[entry.organisation]
        del backlog.entries[entry.item]
        self._count -= 1
        if not backlog.entries:
            del self._waiting[entry.organisation]
            self._store_tag(entry.organisation, backlog.tag)

    def pop(self) -> QueueEntry[Item]:
        """Remove and return the next entry; the scheduler must not be empty."""
        while True:
            tag, _, organisation = heapq.heappop(self._heap)
            backlog = self._waiting.get(organisation)
            # Skip stale heap items: the backlog has ended or has a newer tag.
            if backlog is not None and backlog.tag == tag:
                break
        entry = next(iter(backlog.entries.values()))
        self._virtual_time = max(self._virtual_time, tag)
        backlog.tag = tag + entry.cost / backlog.share
        self.discard(entry)
        if backlog.entries:
            self._schedule(organisation, backlog)
        return entry

    def ahead(self, organisation: str, share: float) -> int:
        """Return how many entries precede a new one of the organisation.

        Notes:
            Linear in the backlogged organisations. Assumes that each entry costs 1.
        """
        own = self._waiting.get(organisation)
        count = len(own.entries) if own else 0
        tag = own.tag if own else self._first_tag(organisation)
        tag += count / max(share, MIN_SHARE)
        for name, other in self._waiting.items():
            if name != organisation and other.tag <= tag:
                sooner = int((tag - other.tag) * other.share) + 1
                count += min(len(other.entries), sooner)
        return count

    def _first_tag(self, organisation: str) -> float:
        return max(self._virtual_time - self._credit, self._tags.get(organisation, 0.0))

    def _schedule(self, organisation: str, backlog: _Backlog) -> None:
        place = (backlog.tag, next(self._order), organisation)
        heapq.heappush(self._heap, place)

    def _store_tag(self, organisation: str, tag: float) -> None:
        self._tags[organisation] = tag
        if len(self._tags) < self._prune_at:
            return
        oldest = self._virtual_time - self._credit
        self._tags = {name: tag for name, tag in self._tags.items() if tag > oldest}
        self._prune_at = max(MIN_TAGS_TO_PRUNE, 2 * len(self._tags))
