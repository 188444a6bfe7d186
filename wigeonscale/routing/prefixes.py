"""Which backend servers hold which prompt prefixes, as far as events tell."""

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
    """Return the digest that names the prefix of a prompt; empty for none.

    Args:
        prompt: The whole prompt; its first ``AFFINITY_BYTES`` bytes count.
    """
    if not prompt:
        return b""
    head = prompt[:AFFINITY_BYTES]
    return hashlib.blake2b(head, digest_size=DIGEST_BYTES).digest()


class PrefixEventsLike(Protocol):
    """The fields of the wire's PrefixEvents that are read here."""

    full: bool
    number: int
    events: Sequence


@dataclass(slots=True)
class _Cache:
    last_number: int | None = None
    held: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    evicted: OrderedDict[bytes, int] = field(default_factory=OrderedDict)


class PrefixView:
    """Prefixes held by each agent's backend server, as cache events tell.

    Events are numbered per agent. They come late, crossed and with gaps. A prefix
    whose eviction was lost in a gap stays believed until a request for it has found
    out, since that costs one miss; a gap of ``RESET_GAP_EVENTS`` events or more
    forgets all of the agent's prefixes.

    Notes:
        Constant time per event and per question. At most ``PREFIXES_PER_AGENT``
        prefixes held, and as many evicted, are kept per agent.
    """

    def __init__(self):
        self._caches: dict[str, _Cache] = {}

    def event(self, agent_id: str, number: int, digest: bytes, *, held: bool) -> None:
        """Take in one cache event.

        Args:
            agent_id: Agent of the backend server.
            number: The event's number; consecutive where none was lost.
            digest: Digest of the prefix.
            held: True when stored, False when evicted.
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

    def take(self, agent_id: str, message: PrefixEventsLike) -> None:
        """Take in the cache events of one message.

        Args:
            agent_id: Agent of the backend server.
            message: The wire's PrefixEvents.
        """
        if message.full:
            self._caches[agent_id] = cache = _Cache(last_number=message.number)
            for event in message.events:
                _record_event(cache, event.digest, event.number, held=event.held)
            return
        for event in message.events:
            self.event(agent_id, event.number, event.digest, held=event.held)

    def holds(self, agent_id: str, digest: bytes) -> bool:
        """Return whether the agent's server is believed to hold the prefix."""
        cache = self._caches.get(agent_id)
        return cache is not None and digest in cache.held

    def forget(self, agent_id: str) -> None:
        """Drop all that is known of an agent that is gone or restarted."""
        self._caches.pop(agent_id, None)

    def forget_absent(self, known: Container[str]) -> None:
        """Drop all that is known of agents that are not among the members."""
        for agent_id in [a for a in self._caches if a not in known]:
            self.forget(agent_id)


def _record_event(cache: _Cache, digest: bytes, number: int, held: bool) -> None:
    new, old = (cache.held, cache.evicted) if held else (cache.evicted, cache.held)
    old.pop(digest, None)
    new[digest] = number
    new.move_to_end(digest)
    if len(new) > PREFIXES_PER_AGENT:
        new.popitem(last=False)
