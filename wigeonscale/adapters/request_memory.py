"""Bounds the memory of what callers have sent and were not answered."""

__all__ = [
    "DEFAULT_LIMIT_BYTES",
    "RequestHolder",
    "RequestMemory",
    "request_memory_bytes",
]

from typing import Protocol

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
# The rest is left to the process itself, to responses and to the kernel.
MACHINE_SHARE = 0.2
BYTES_PER_MB = 1_000_000
# Requests of common size may use all of the memory, larger ones this share, so that
# large requests cannot keep out the others. While the others hold no more than the
# rest, a request of any size is held.
LARGE_SHARE = 0.75
MAX_COMMON_BYTES = 64 * 1024


def request_memory_bytes(machine_mb: float) -> int:
    """Return the memory that requests may hold, in bytes.

    Args:
        machine_mb: Memory of the machine, in MB; 0 if it is not known.

    Example:
        >>> request_memory_bytes(300)
        60000000
    """
    if not machine_mb:
        return DEFAULT_LIMIT_BYTES
    return int(machine_mb * BYTES_PER_MB * MACHINE_SHARE)


class RequestHolder(Protocol):
    """A connection that holds bytes of its caller."""

    @property
    def evictable_bytes(self) -> int:
        """Memory that :meth:`evict` frees; 0 while all of it is in use."""

    def evict(self) -> None:
        """Refuse what the caller has sent in part, and free its memory."""


class RequestMemory:
    """Memory held by the requests of all connections of one server.

    When it is used up, the connection that holds most for a request that is not
    complete is evicted, so that complete requests are served.

    Args:
        limit_bytes: Maximum of all connections together.

    Attributes:
        used_bytes: Memory held now.
    """

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self.used_bytes = 0
        self._held: dict[RequestHolder, int] = {}

    def hold(self, holder: RequestHolder, size: int) -> bool:
        """Set the memory that a connection holds.

        Others may be evicted. Cost: linear in the number of holders if the memory is
        used up, else constant.

        Args:
            holder: The connection.
            size: All that it holds, in bytes; 0 for nothing.

        Returns:
            Whether there is memory for it; if not, nothing changes.
        """
        previous = self._held.get(holder, 0)
        if size > previous:
            while not self._has_memory_for(size, self.used_bytes - previous):
                if not self._evict_one(holder, size):
                    return False
        self.used_bytes += size - previous
        if size:
            self._held[holder] = size
        else:
            self._held.pop(holder, None)
        return True

    def _has_memory_for(self, size: int, others: int) -> bool:
        if size <= MAX_COMMON_BYTES:
            return others + size <= self._limit_bytes
        if others <= self._limit_bytes * (1.0 - LARGE_SHARE):
            return True
        return others + size <= self._limit_bytes * LARGE_SHARE

    def _evict_one(self, holder: RequestHolder, size: int) -> bool:
        """Evict the connection that holds most; return False if it is the holder."""
        others = (other for other in self._held if other is not holder)
        victim = max(others, key=_evictable_bytes, default=None)
        if victim is None or victim.evictable_bytes < size:
            return False
        used_bytes = self.used_bytes
        victim.evict()
        return self.used_bytes < used_bytes


def _evictable_bytes(holder: RequestHolder) -> int:
    return holder.evictable_bytes
