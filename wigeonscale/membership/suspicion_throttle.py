"""Keeps one silent backend server from being told to control again and again."""

__all__ = ["SuspicionThrottle"]

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

MAX_TRACKED_SUSPICIONS = 1024


class SuspicionThrottle:
    """What was told of agents that do not answer.

    Args:
        clock: Clock port.
        min_interval_s: Shortest time between two equal messages, in seconds.
    """

    def __init__(self, *, clock: Clock, min_interval_s: float):
        self._clock = clock
        self._min_interval_s = min_interval_s
        self._sent_at: dict[tuple[str, int, bool], float] = {}

    def message(
        self, agent_id: str, incarnation: int, *, is_hint: bool
    ) -> wire.WatchRequest | None:
        """Return the message to send, or None where it was told just now.

        Args:
            agent_id: The silent agent.
            incarnation: The incarnation that was asked.
            is_hint: Whether others are to blame as likely.
        """
        key = (agent_id, incarnation, is_hint)
        now = self._clock.now()
        # Many requests may miss one agent at once; one word a heartbeat is enough.
        if now - self._sent_at.get(key, float("-inf")) < self._min_interval_s:
            return None
        if len(self._sent_at) >= MAX_TRACKED_SUSPICIONS:
            self._sent_at.clear()
        self._sent_at[key] = now
        return wire.WatchRequest(
            suspect=wire.Suspect(
                agent_id=agent_id, incarnation=incarnation, is_hint=is_hint
            )
        )
