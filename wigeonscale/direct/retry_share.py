"""This entry's share of the slack of the retry budget, held at control."""

__all__ = ["HoldRetryShare", "RetryShare"]

import logging
import math
import random
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import ALL_SHARE_PARTS
from wigeonscale.ports import Clock

# Time after the last contact to control during which the share is used.
UNCONFIRMED_USE_S = 30.0
# Control drops the share of a lost entry this long after the last retry that it may
# have allowed has left the window.
RELEASE_MARGIN_S = 5.0
# Commands of a former process of this entry are applied by this time after its end.
MIN_AGE_S = 5.0
CHECK_INTERVAL_S = 0.5
# Pause after a failed command or one that left the share unchanged.
RETRY_INTERVAL_S = 2.0
UNSUPPORTED_PAUSE_S = 30.0
# Replicas of an older version do not record shares, and may be upgraded one by one. So
# an unchanged share is held again after at most this time.
REFRESH_INTERVAL_S = 300.0
# Upper bound on the commands of all entries when their number changes.
MAX_COMMANDS_PER_S = 200
# Shares are computed for a number of entries that is rounded up to this many bits, so
# that hundreds of entries do not change theirs whenever one comes or goes.
SIGNIFICANT_BITS = 5

# Holds a share at control: sequence, wanted parts, time until the release in seconds.
# Returns the recorded parts.
HoldRetryShare = Callable[[int, int, float], Awaitable[int]]

logger = logging.getLogger(__name__)


class RetryShare:
    """This entry's share of the slack of the retry budget.

    Control records the share of each entry in the replicated log, and their sum never
    exceeds the whole. So a share may be used without contact, and an entry that
    control does not hear keeps its share. It stops using it after
    ``UNCONFIRMED_USE_S``; only after that, and one window, may control drop it.

    When entries are added, each entry lowers its share at once and tells control after
    one window, when the retries that the larger share allowed no longer count.

    Args:
        clock: Clock port.
        hold: Holds a share at control.
        holders: Returns the number of entries that share the slack; None if control
            does not report it.
        confirmed_at: Returns when control last confirmed the state of this entry, in
            seconds, or None.
        window_s: Length of the window of the budget, in seconds.
        rng: Random source that spreads the commands of all entries.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        hold: HoldRetryShare,
        holders: Callable[[], int | None],
        confirmed_at: Callable[[], float | None],
        window_s: float,
        rng: random.Random,
    ):
        self._clock = clock
        self._hold = hold
        self._holders = holders
        self._confirmed_at = confirmed_at
        self._window_s = window_s
        self._rng = rng
        self._usable_parts = 0
        # Parts recorded at control; None if unknown.
        self._recorded_parts: int | None = 0
        self._recorded_at = -math.inf
        self._refresh_s = REFRESH_INTERVAL_S * rng.uniform(0.5, 1.0)
        # Parts used before the share was last lowered; retries that they allowed count
        # until they leave the window.
        self._former_parts = 0
        self._lowered_at = clock.now()
        self._first_use_at = clock.now() + max(window_s, MIN_AGE_S)
        self._valid_until = -math.inf
        self._lapses = 0
        self._sequence = 0
        self._unsupported_until = -math.inf
        self._has_ended = False

    def fraction(self) -> float | None:
        """Return this entry's part of the slack, 0 to 1.

        Returns:
            None if control is of an older version, without shares.
        """
        self._renew()
        if self._is_unsupported():
            return None
        return self._usable_parts / ALL_SHARE_PARTS

    async def run(self) -> None:
        """Keep the share up to date until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if self._wanted_change() is None:
                continue
            await self._clock.sleep(self._rng.uniform(0, self._spread_s()))
            wanted = self._wanted_change()
            if wanted is None or await self._submit(wanted):
                continue
            await self._clock.sleep(RETRY_INTERVAL_S)

    async def end(self) -> None:
        """Give up the share; call this after the last retry."""
        self._has_ended = True
        parts = max(self._counted_parts(), self._recorded_parts or 0)
        self._lower(0)
        if not self._sequence:
            return  # control has recorded nothing of this process
        release_s = self._window_s + RELEASE_MARGIN_S
        try:
            await self._hold(self._next_sequence(), parts, release_s)
        except WigeonscaleError as exc:
            # Control drops the share later.
            logger.info("retry share not given up: %s", exc.message)

    def _renew(self) -> None:
        """Lower the share to its target, to 0 after too long without contact."""
        now = self._clock.now()
        confirmed_at = self._confirmed_at()
        if confirmed_at is not None:
            # Control may have dropped the share in a longer gap.
            if confirmed_at > self._valid_until:
                self._lapse()
            self._valid_until = max(self._valid_until, confirmed_at + UNCONFIRMED_USE_S)
        if now > self._valid_until:
            self._lapse()
        self._lower(self._target_parts())

    def _lapse(self) -> None:
        if self._usable_parts:
            logger.info("retry share unused after too long without contact to control")
        self._lapses += 1
        self._recorded_parts = None
        self._lower(0)

    def _lower(self, parts: int) -> None:
        if self._usable_parts > parts:
            self._former_parts = self._counted_parts()
            self._lowered_at = self._clock.now()
            self._usable_parts = parts

    def _counted_parts(self) -> int:
        """Return the largest share that was used in the last window."""
        if self._clock.now() - self._lowered_at >= self._window_s:
            return self._usable_parts
        return max(self._usable_parts, self._former_parts)

    def _target_parts(self) -> int:
        """Return the equal share of each entry, in parts."""
        holders = max(1, self._holders() or 0)
        step = 1 << max(0, holders.bit_length() - SIGNIFICANT_BITS)
        return ALL_SHARE_PARTS // (math.ceil(holders / step) * step)

    def _is_unsupported(self) -> bool:
        if self._clock.now() < self._unsupported_until:
            return True
        return self._confirmed_at() is not None and self._holders() is None

    def _wanted_change(self) -> int | None:
        """Return the parts that control must record now; None if nothing changes."""
        self._renew()
        now = self._clock.now()
        if self._has_ended or self._is_unsupported() or now < self._first_use_at:
            return None
        if now > self._valid_until:
            return None
        counted = self._counted_parts()
        target = self._target_parts()
        if self._usable_parts < target:
            return max(target, counted)
        if counted != self._usable_parts:
            return None
        is_old = now - self._recorded_at >= self._refresh_s
        return counted if is_old or counted != self._recorded_parts else None

    async def _submit(self, wanted: int) -> bool:
        """Submit a share; return whether this entry may now use its whole target."""
        lapses = self._lapses
        recorded, outcome = None, "held"
        try:
            recorded = await self._hold(
                self._next_sequence(), wanted, self._release_s()
            )
        except WigeonscaleError as exc:
            outcome = exc.kind.value
            if exc.kind is ErrorKind.BAD_REQUEST:
                self._unsupported_until = self._clock.now() + UNSUPPORTED_PAUSE_S
        self._renew()
        if self._lapses != lapses:
            # The answer may be older than the gap.
            recorded, outcome = None, "lapsed"
        self._apply(wanted, recorded)
        logger.info(
            "retry share",
            extra=log_fields(
                wanted=wanted,
                recorded=recorded,
                usable=self._usable_parts,
                holders=self._holders(),
                outcome=outcome,
            ),
        )
        return recorded is not None and self._usable_parts >= self._target_parts()

    def _apply(self, wanted: int, recorded: int | None) -> None:
        if recorded == 0 and wanted > self._usable_parts:
            return  # a refused increase changes nothing
        self._recorded_parts = recorded
        if recorded is None or self._has_ended:
            return
        self._recorded_at = self._clock.now()
        self._lower(recorded)
        usable = min(wanted, recorded, self._target_parts())
        self._usable_parts = max(self._usable_parts, usable)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _release_s(self) -> float:
        return UNCONFIRMED_USE_S + self._window_s + RELEASE_MARGIN_S

    def _spread_s(self) -> float:
        return (self._holders() or 0) / MAX_COMMANDS_PER_S
