"""Delays planning until the set of engines has settled."""

__all__ = ["SettleTimer"]

import math
from collections.abc import Iterable

from wigeonscale.placement import EngineSpec
from wigeonscale.ports import Clock

# Caps the delay of new chains, in settle periods, however often engines join.
MAX_SETTLE_PERIODS = 10


class SettleTimer:
    """Tracks how long the set of engines has been stable.

    Engines that start together announce themselves one after the other. Chains planned
    from the first few would leave the others idle or would have to be rebuilt.

    Args:
        clock: Time source.
        settle_s: Time without a joining engine before new chains are planned, in
            seconds.
        rebuild_after_s: Time without a joining or leaving engine before serving
            chains are rebuilt, in seconds. Long enough for an agent to restart.
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
        """Restart the timers if engines joined or left since the last call.

        Args:
            engines: All announced engines.
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
        """Return whether new chains may use engines that still have to load layers."""
        waited_s = self._clock.now() - self._waiting_since
        return self._is_quiet() or waited_s >= MAX_SETTLE_PERIODS * self._settle_s

    def may_rebuild(self) -> bool:
        """Return whether serving chains may be rebuilt."""
        quiet_s = self._clock.now() - self._changed_at
        return self.may_load() and quiet_s >= self._rebuild_after_s

    def _is_quiet(self) -> bool:
        return self._clock.now() - self._joined_at >= self._settle_s
