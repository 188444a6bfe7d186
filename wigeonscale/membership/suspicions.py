"""Keeps one silent backend server from being told to control again and again."""

__all__ = ["Suspicions"]

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

MAX_SUSPICIONS = 1024


class Suspicions:
    """What was told of agents that do not answer.

    Args:
        clock: Clock port.
        again_s: Time after which the same word is worth telling again, in seconds.
    """

    def __init__(self, *, clock: Clock, again_s: float):
        self._clock = clock
        self._again_s = again_s
        self._told_at: dict[tuple[str, int, bool], float] = {}

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
        if now - self._told_at.get(key, float("-inf")) < self._again_s:
            return None
        if len(self._told_at) >= MAX_SUSPICIONS:
            self._told_at.clear()
        self._told_at[key] = now
        return wire.WatchRequest(
            suspect=wire.Suspect(
                agent_id=agent_id, incarnation=incarnation, is_hint=is_hint
            )
        )
