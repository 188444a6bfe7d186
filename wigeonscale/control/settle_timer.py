"""Lets announcements settle before chains are planned from them."""

__all__ = ["SettleTimer"]

import math
from collections.abc import Iterable

from wigeonscale.placement import EngineSpec
from wigeonscale.ports import Clock

# New chains wait at most this many settling times, however often engines join.
MAX_SETTLE_PERIODS = 10


class SettleTimer:
    """Knows since when no engine has come or gone.

    Engines that start together announce themselves one after the other. Chains made
    of the first few would leave the others idle, or would have to be rebuilt.

    Args:
        clock: Clock port.
        settle_s: Seconds without a new engine before new chains are made.
        rebuild_after_s: Seconds in which no engine came or went before chains that
            serve are rebuilt; an agent that restarts should be back by then.
    """

    def __init__(self, *, clock: Clock, settle_s: float, rebuild_after_s: float):
        self._clock = clock
        self._settle_s = settle_s
        self._rebuild_after_s = rebuild_after_s
        self._known: frozenset[tuple[str, int]] = frozenset()
        self._joined_at = -math.inf
        self._changed_at = -math.inf
        self._waiting_since = -math.inf

    def observe(self, engines: Iterable[EngineSpec]) -> None:
        """Take note of the engines that stand now.

        Args:
            engines: Every announced engine.
        """
        known = frozenset((engine.agent_id, engine.incarnation) for engine in engines)
        if known == self._known:
            return
        now = self._clock.now()
        self._changed_at = now
        if known - self._known:
            if self._is_quiet():
                self._waiting_since = now
            self._joined_at = now
        self._known = known

    def may_load(self) -> bool:
        """Return whether new chains may be made of engines that have to load."""
        waited_s = self._clock.now() - self._waiting_since
        return self._is_quiet() or waited_s >= MAX_SETTLE_PERIODS * self._settle_s

    def may_rebuild(self) -> bool:
        """Return whether chains that serve may be rebuilt."""
        quiet_s = self._clock.now() - self._changed_at
        return self.may_load() and quiet_s >= self._rebuild_after_s

    def _is_quiet(self) -> bool:
        return self._clock.now() - self._joined_at >= self._settle_s
