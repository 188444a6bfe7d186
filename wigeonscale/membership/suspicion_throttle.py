"""Limits how often the same silent agent is reported to control."""

__all__ = ["SuspicionThrottle"]

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

MAX_TRACKED_SUSPICIONS = 1024


class SuspicionThrottle:
    """Drops repeated reports of the same suspicion.

    Args:
        clock: Clock of this process.
        min_interval_s: Shortest time between two reports of a suspicion, in seconds.
    """

    def __init__(self, *, clock: Clock, min_interval_s: float):
        self._clock = clock
        self._min_interval_s = min_interval_s
        self._sent_at: dict[tuple[str, int, bool, str], float] = {}

    def message(
        self,
        agent_id: str,
        incarnation: int,
        *,
        is_hint: bool,
        witness: str = "",
        witness_domain: str = "",
    ) -> wire.WatchRequest | None:
        """Return the message to send, or None if it was sent recently.

        Args:
            agent_id: The silent agent.
            incarnation: The incarnation that was called.
            is_hint: Whether other processes are equally likely to be at fault.
            witness: Name of this process if its own probes got no answer, else empty.
            witness_domain: Failure domain of the witness.
        """
        key = (agent_id, incarnation, is_hint, witness)
        now = self._clock.now()
        # Many requests may fail on one agent at the same time; one report per interval
        # is enough.
        if now - self._sent_at.get(key, float("-inf")) < self._min_interval_s:
            return None
        if len(self._sent_at) >= MAX_TRACKED_SUSPICIONS:
            self._sent_at.clear()
        self._sent_at[key] = now
        return wire.WatchRequest(
            suspect=wire.Suspect(
                agent_id=agent_id,
                incarnation=incarnation,
                is_hint=is_hint,
                witness=witness,
                witness_domain=witness_domain,
            )
        )
