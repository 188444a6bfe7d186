"""Which backend servers hold which prompt prefixes, as far as events tell."""

__all__ = ["PrefixView", "prefix_digest"]

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

AFFINITY_BYTES = 256
DIGEST_BYTES = 16
PREFIXES_PER_AGENT = 1024


def prefix_digest(prompt: bytes) -> bytes:
    """Return the digest that names the prefix of a prompt; empty for none.

    Args:
        prompt: The whole prompt; its first ``AFFINITY_BYTES`` bytes count.
    """
    if not prompt:
        return b""
    head = prompt[:AFFINITY_BYTES]
    return hashlib.blake2b(head, digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class _Cache:
    last_number: int | None = None
    gap_number: int = 0
    held: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    dropped: OrderedDict[bytes, int] = field(default_factory=OrderedDict)


class PrefixView:
    """Prefixes confirmed by cache events, by agent.

    Events are numbered per agent. They come late and with gaps. An eviction may
    be lost in a gap, so a gap forgets all that no later event confirmed.

    Notes:
        Constant time per event but for a gap, which costs the prefixes known of
        that agent. At most ``PREFIXES_PER_AGENT`` are kept per agent.
    """

    def __init__(self):
        self._caches: dict[str, _Cache] = {}

    def event(self, agent_id: str, number: int, digest: bytes, *, held: bool) -> None:
        """Take in one cache event.

        Args:
            agent_id: Backend server.
            number: The event's number; consecutive where none was lost.
            digest: Digest of the prefix.
            held: True when stored, False when evicted.
        """
        cache = self._caches.setdefault(agent_id, _Cache())
        if number < cache.gap_number:
            return
        if cache.last_number is not None and number > cache.last_number + 1:
            cache.held.clear()
            cache.dropped.clear()
            cache.gap_number = number
        cache.last_number = max(number, cache.last_number or number)
        newest = max(cache.held.get(digest, -1), cache.dropped.get(digest, -1))
        if number > newest:
            _note(cache, digest, number, held)

    def holds(self, agent_id: str, digest: bytes) -> bool:
        """Return whether the agent is known to hold the prefix."""
        cache = self._caches.get(agent_id)
        return cache is not None and digest in cache.held

    def forget(self, agent_id: str) -> None:
        """Drop all that is known of an agent that is gone or restarted."""
        self._caches.pop(agent_id, None)


def _note(cache: _Cache, digest: bytes, number: int, held: bool) -> None:
    new, old = (cache.held, cache.dropped) if held else (cache.dropped, cache.held)
    old.pop(digest, None)
    new[digest] = number
    new.move_to_end(digest)
    if len(new) > PREFIXES_PER_AGENT:
        new.popitem(last=False)
