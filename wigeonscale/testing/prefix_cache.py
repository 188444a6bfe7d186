"""The prefix cache of the fake engine, small, with events that may be lost."""

__all__ = ["PrefixCache"]

import hashlib
from collections import OrderedDict, deque
from collections.abc import Sequence

from wigeonscale.ports import CacheEvent

EVENTS_KEPT = 1024

PREFIX_POSITIONS = 32
"""Positions of a prompt that the cache keeps for other prompts."""


class PrefixCache:
    """The newest prompt prefixes of an engine, and the events about them.

    Args:
        slots: Prefixes that fit; 0 for none.
        lose_every: Every how many events one is lost; 0 for never.
    """

    def __init__(self, *, slots: int, lose_every: int):
        self.hits = 0
        self.misses = 0
        self._slots = slots
        self._lose_every = lose_every
        self._held: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._number = 0

    def use(self, sequence_id: str, pieces: Sequence[str]) -> int:
        """Look up a prompt's prefix; returns how many positions it saves."""
        if not self._slots:
            return 0
        shared = "|".join(pieces[:PREFIX_POSITIONS])
        prefix = hashlib.blake2b(shared.encode(), digest_size=8).hexdigest()
        if prefix in self._held:
            self.hits += 1
            self._held.move_to_end(prefix)
            return min(PREFIX_POSITIONS, len(pieces) - 1)
        self.misses += 1
        self._held[prefix] = None
        self._tell(prefix, held=True, sequence_id=sequence_id)
        if len(self._held) > self._slots:
            self._tell(self._held.popitem(last=False)[0], held=False)
        return 0

    def clear(self) -> None:
        """Evict everything."""
        while self._held:
            self._tell(self._held.popitem(last=False)[0], held=False)

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the events above a number that were not lost."""
        return [event for event in self._events if event.number > number]

    def _tell(self, prefix: str, *, held: bool, sequence_id: str = "") -> None:
        self._number += 1
        if not self._lose_every or self._number % self._lose_every:
            event = CacheEvent(self._number, prefix, held, sequence_id)
            self._events.append(event)
