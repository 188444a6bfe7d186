"""A small prefix cache for the fake engine, with optional loss of its events."""

__all__ = ["PrefixCache"]

import hashlib
from collections import OrderedDict, deque
from collections.abc import Sequence

from wigeonscale.ports import CacheEvent

MAX_EVENTS = 1024

PREFIX_POSITIONS = 32
"""Length of a cached prefix, in positions of the prompt."""


class PrefixCache:
    """An LRU cache of prompt prefixes and its log of insert and evict events.

    Args:
        slots: Capacity in prefixes; 0 disables the cache.
        lose_every: One event in this many is dropped; 0 drops none.

    Attributes:
        hits: Lookups that found their prefix.
        misses: Lookups that inserted their prefix.
    """

    def __init__(self, *, slots: int, lose_every: int):
        self.hits = 0
        self.misses = 0
        self._slots = slots
        self._lose_every = lose_every
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def lookup(self, sequence_id: str, pieces: Sequence[str]) -> int:
        """Look up a prompt's prefix and insert it on a miss.

        Args:
            sequence_id: Sequence that the prompt belongs to.
            pieces: Pieces of the prompt, one per position.

        Returns:
            Positions that need no computation; 0 on a miss.
        """
        if not self._slots:
            return 0
        prefix_text = "|".join(pieces[:PREFIX_POSITIONS])
        prefix = hashlib.blake2b(prefix_text.encode(), digest_size=8).hexdigest()
        if prefix in self._prefixes:
            self.hits += 1
            self._prefixes.move_to_end(prefix)
            return min(PREFIX_POSITIONS, len(pieces) - 1)
        self.misses += 1
        self._prefixes[prefix] = None
        self._emit_event(prefix, held=True, sequence_id=sequence_id)
        if len(self._prefixes) > self._slots:
            self._emit_event(self._prefixes.popitem(last=False)[0], held=False)
        return 0

    def clear(self) -> None:
        """Evict every prefix."""
        while self._prefixes:
            self._emit_event(self._prefixes.popitem(last=False)[0], held=False)

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the events that were not dropped, from after an event number."""
        return [event for event in self._events if event.number > number]

    def _emit_event(self, prefix: str, *, held: bool, sequence_id: str = "") -> None:
        self._last_number += 1
        if not self._lose_every or self._last_number % self._lose_every:
            event = CacheEvent(self._last_number, prefix, held, sequence_id)
            self._events.append(event)
