"""Prompt parts that have run without a crash, as known to one entry."""

__all__ = ["ProvenParts"]

from wigeonscale.ports import Clock

# Weights and servers change, so a part does not stay proven for longer.
PROVEN_RETENTION_S = 600.0
# Requests share some tens of parts at a time. An entry takes 0.2 KB for each.
MAX_PROVEN_PARTS = 1024


class ProvenParts:
    """Parts of prompts with which a run went well past its start.

    Args:
        clock: Clock port.

    Notes:
        Holds at most :data:`MAX_PROVEN_PARTS` parts; the one that ran the longest time
        ago is dropped first.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> parts = ProvenParts(clock=ManualClock())
        >>> parts.note(b"one")
        >>> b"one" in parts, b"two" in parts
        (True, False)
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # In the order of the last run.
        self._ran_at: dict[bytes, float] = {}

    def __contains__(self, key: bytes) -> bool:
        ran_at = self._ran_at.get(key)
        return ran_at is not None and self._clock.now() - ran_at <= PROVEN_RETENTION_S

    def note(self, key: bytes, *, age_s: float = 0.0) -> None:
        """Record that a run with a part went well past its start.

        Args:
            key: Key of the part.
            age_s: Time since then, in seconds.
        """
        ran_at = self._clock.now() - age_s
        if ran_at < self._ran_at.get(key, float("-inf")):
            return
        self._ran_at.pop(key, None)
        self._ran_at[key] = ran_at
        if len(self._ran_at) > MAX_PROVEN_PARTS:
            del self._ran_at[next(iter(self._ran_at))]
