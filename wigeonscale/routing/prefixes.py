"""Index of the prompt prefixes cached by each backend server, from cache events."""

__all__ = ["PrefixView", "prefix_digest"]

import hashlib
from collections import OrderedDict
from collections.abc import Container, Sequence
from dataclasses import dataclass, field
from typing import Protocol

AFFINITY_BYTES = 256
DIGEST_BYTES = 16
PREFIXES_PER_AGENT = 1024
RESET_GAP_EVENTS = 256


def prefix_digest(prompt: bytes) -> bytes:
    """Return the digest that identifies the prefix of a prompt; empty if no prompt.

    Args:
        prompt: The whole prompt; only the first ``AFFINITY_BYTES`` bytes are used.
    """
    if not prompt:
        return b""
    head = prompt[:AFFINITY_BYTES]
    return hashlib.blake2b(head, digest_size=DIGEST_BYTES).digest()


class PrefixEventsLike(Protocol):
    """The fields of the wire message PrefixEvents that are used here."""

    full: bool
    number: int
    events: Sequence


@dataclass(slots=True)
class _Cache:
    last_number: int | None = None
    held: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    evicted: OrderedDict[bytes, int] = field(default_factory=OrderedDict)


class PrefixView:
    """Prefixes cached by each agent's backend server, according to cache events.

    Events are numbered per agent. They may arrive late, out of order and with gaps. A
    prefix whose eviction was lost in a gap stays in the view until a request for it has
    missed, which costs no more than that one miss. A gap of ``RESET_GAP_EVENTS`` events
    or more drops all prefixes of the agent.

    Notes:
        Constant time per event and per lookup. Per agent, at most
        ``PREFIXES_PER_AGENT`` held and as many evicted prefixes are stored.
    """

    def __init__(self):
        self._caches: dict[str, _Cache] = {}

    def apply_event(
        self, agent_id: str, number: int, digest: bytes, *, held: bool
    ) -> None:
        """Apply one cache event.

        Args:
            agent_id: Agent of the backend server.
            number: Sequence number of the event; a gap means lost events.
            digest: Digest of the prefix.
            held: True if the prefix was stored, False if it was evicted.
        """
        cache = self._caches.setdefault(agent_id, _Cache())
        last = number if cache.last_number is None else cache.last_number
        if number - last >= RESET_GAP_EVENTS:
            cache.held.clear()
            cache.evicted.clear()
        cache.last_number = max(number, last)
        newest = max(cache.held.get(digest, -1), cache.evicted.get(digest, -1))
        if number > newest:
            _record_event(cache, digest, number, held)

    def apply_events(self, agent_id: str, message: PrefixEventsLike) -> None:
        """Apply the cache events of one message.

        Args:
            agent_id: Agent of the backend server.
            message: The wire message PrefixEvents; a full one replaces the agent's
                prefixes.
        """
        if message.full:
            self._caches[agent_id] = cache = _Cache(last_number=message.number)
            for event in message.events:
                _record_event(cache, event.digest, event.number, held=event.held)
            return
        for event in message.events:
            self.apply_event(agent_id, event.number, event.digest, held=event.held)

    def holds(self, agent_id: str, digest: bytes) -> bool:
        """Return whether the agent's server holds the prefix, as far as known."""
        cache = self._caches.get(agent_id)
        return cache is not None and digest in cache.held

    def forget(self, agent_id: str) -> None:
        """Drop the prefixes of an agent that has left or restarted."""
        self._caches.pop(agent_id, None)

    def forget_absent(self, known: Container[str]) -> None:
        """Drop the prefixes of all agents that are not in ``known``."""
        for agent_id in [a for a in self._caches if a not in known]:
            self.forget(agent_id)


def _record_event(cache: _Cache, digest: bytes, number: int, held: bool) -> None:
    new, old = (cache.held, cache.evicted) if held else (cache.evicted, cache.held)
    old.pop(digest, None)
    new[digest] = number
    new.move_to_end(digest)
    if len(new) > PREFIXES_PER_AGENT:
        new.popitem(last=False)
