"""Timestamps that peers echo, so that clocks of two nodes are never compared."""

__all__ = ["MICROSECONDS_PER_S", "EchoClock"]

import random

from wigeonscale.ports import Clock

MICROSECONDS_PER_S = 1_000_000
OFFSET_BITS = 52


class EchoClock:
    """Timestamps of the local clock for messages to peers.

    They have a random offset, so that a timestamp sent by an earlier process on this
    node is not mistaken for one of this process.

    Args:
        clock: Clock port.
        rng: Source of the offset.
    """

    def __init__(self, *, clock: Clock, rng: random.Random):
        self._clock = clock
        self._offset = rng.getrandbits(OFFSET_BITS)
        self._started_us = self.now()

    def now(self) -> int:
        """Return the timestamp to send, in microseconds."""
        return self._offset + int(self._clock.now() * MICROSECONDS_PER_S)

    def local_time_of(self, echo_us: int) -> float | None:
        """Return the local time of an echoed timestamp, in seconds.

        None if this process did not send the timestamp.
        """
        if not self._started_us <= echo_us <= self.now():
            return None
        return (echo_us - self._offset) / MICROSECONDS_PER_S
