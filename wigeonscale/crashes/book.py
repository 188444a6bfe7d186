"""What one entry knows of requests under which backend servers crash."""

__all__ = ["CrashTracker"]

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.breaks import Breaks
from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    DOUBT_HOLD_S,
    MAX_TRACKED_REQUESTS,
    hold_among,
    next_to_evict,
    refusal_s,
    retention_s,
)
from wigeonscale.crashes.records import (
    CrashReport,
    KnownCrashes,
    Loss,
    Told,
    log_record,
)
from wigeonscale.ports import Clock

# A backend server that broke off a run counts as crashed if control finds it gone
# within this time: a refused probe says so in 0.02 to 0.3 s, two unanswered ones later.
CONFIRM_S = 3.0
# What was told to control is remembered here until control's word of it is back.
TOLD_KEPT_S = 5.0
# Records of one update that get a line each; an entry that starts may be told them all.
LOGGED_RECORDS = 16

logger = logging.getLogger(__name__)


class CrashTracker:
    """Decides which requests are refused since backend servers crash under them.

    Many requests run on a server that crashes. Those count that had just begun there,
    if the server is found to have ended; one that runs well later is cleared. What
    each entry finds goes to control, and comes back to all of them.

    Args:
        clock: Clock port.
        is_serving: Returns whether a backend server is known and not leaving.
        has_ended: Returns whether an incarnation is known to be gone.
        rng: Source of randomness: where a refusal is in doubt, the entries try the
            request again one after another, and the first one's word holds the others.

    Notes:
        Bounded by :data:`~wigeonscale.crashes.MAX_TRACKED_REQUESTS`, and by time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        is_serving: Callable[[str], bool],
        has_ended: Callable[[str], bool],
        rng: random.Random,
    ):
        self._clock = clock
        self._doubt_s = DOUBT_HOLD_S * (1.0 + rng.random())
        self._is_serving = is_serving
        self._has_ended = has_ended
        self._due = asyncio.Event()
        # In the order of the last change.
        self._told: dict[bytes, Told] = {}
        self._losses: dict[bytes, dict[str, Loss]] = {}
        self._cleared: set[bytes] = set()
        # Last send of each request that was refused before.
        self._tried_at: dict[bytes, float] = {}
        self._breaks = Breaks(clock=clock)

    @property
    def refused(self) -> int:
        """How many requests are refused just now by control's word."""
        now = self._clock.now()
        return sum(
            now < told.last_at + refusal_s(len(told.names))
            for told in self._told.values()
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a backend server was lost as it began to run a request."""
        if fingerprint in self._losses:
            self.confirm_crashes()
        return fingerprint in self._told or fingerprint in self._losses

    def refusal_remaining_s(self, fingerprint: bytes) -> float:
        """Return for how long a request is refused, in seconds; 0 if it is not.

        Args:
            fingerprint: The request's.
        """
        if not self.is_suspect(fingerprint):
            return 0.0
        now = self._clock.now()
        told = self._told.get(fingerprint)
        losses = self._losses.get(fingerprint, {})
        names = told.names if told is not None else frozenset()
        new = {n: loss for n, loss in losses.items() if loss.has_ended}
        is_open = len(new) < len(losses)
        if is_open and len(names | losses.keys()) >= CRASHES_TO_REFUSE:
            # It is not known yet whether the last one ended or only broke off.
            return CONFIRM_S
        if len(names | new.keys()) < CRASHES_TO_REFUSE:
            return 0.0
        instants = [loss.at for loss in new.values()]
        if told is not None:
            instants += [told.first_at, told.last_at]
        hold = hold_among(
            names | new.keys(),
            self._rivals(fingerprint),
            span_s=max(instants) - min(instants),
            doubt_s=self._doubt_s,
        )
        tried_at = self._tried_at.get(fingerprint, float("-inf"))
        free_at = max(max(instants) + hold, tried_at + CONFIRM_S)
        return max(0.0, free_at - now)

    def _rivals(self, fingerprint: bytes) -> list[frozenset[str]]:
        return [
            told.names
            for other, told in self._told.items()
            if other != fingerprint and len(told.names) >= CRASHES_TO_REFUSE
        ]

    def _names_told(self, fingerprint: bytes) -> frozenset[str]:
        told = self._told.get(fingerprint)
        return told.names if told is not None else frozenset()

    def note_sent(self, fingerprint: bytes) -> None:
        """Take in that a request is sent; one that was refused goes alone.

        Load pattern: the time of a refusal ends, and several copies of the request
        come at once. The fate of one says what becomes of the others.

        Args:
            fingerprint: The request's.
        """
        if len(self._names_told(fingerprint)) >= CRASHES_TO_REFUSE:
            self._tried_at[fingerprint] = self._clock.now()

    def note_lost(self, fingerprint: bytes, backend_id: str) -> bool:
        """Take in that a backend server broke off a run that had just begun.

        Args:
            fingerprint: The request's.
            backend_id: The incarnation.

        Returns:
            Whether this is news of a server that may have crashed: one that is
            leaving, or is not known any more, ends by intent.
        """
        losses = self._losses.get(fingerprint, {})
        if backend_id in losses or backend_id in self._names_told(fingerprint):
            return False
        if not self._is_serving(backend_id):
            return False
        while len(self._losses) >= MAX_TRACKED_REQUESTS:
            del self._losses[next(iter(self._losses))]
        loss = Loss(self._clock.now())
        self._losses.setdefault(fingerprint, {})[backend_id] = loss
        self.confirm_crashes()
        return True

    def note_abort(self, backend_id: str) -> None:
        """Take in that a backend server broke off a run."""
        self._breaks.note(backend_id)

    def was_aborting(self, backend_id: str, *, before: float) -> bool:
        """Return whether a server was breaking runs off before a local instant."""
        return self._breaks.was_aborting(backend_id, before=before)

    def note_ran(self, fingerprint: bytes) -> None:
        """Take in that a request ran without a crash."""
        if not self.is_suspect(fingerprint):
            return
        names = self._names_told(fingerprint)
        self._told.pop(fingerprint, None)
        self._tried_at.pop(fingerprint, None)
        losses = self._losses.pop(fingerprint, {})
        if names or any(loss.told_at is not None for loss in losses.values()):
            self._cleared.add(fingerprint)
            self._due.set()
        logger.info(
            "request is cleared of crashes",
            extra=log_fields(
                fingerprint=fingerprint.hex(), backends=sorted({*names, *losses})
            ),
        )

    def take(self, records: Iterable[KnownCrashes]) -> None:
        """Take in what control tells.

        Args:
            records: Requests whose crashes changed, in the order of the change.
        """
        now = self._clock.now()
        records = list(records)
        for record in records:
            self._told.pop(record.fingerprint, None)
            if record.backends:
                last_at = now - record.age_s
                names = frozenset(record.backends)
                told = Told(names, last_at - record.span_s, last_at)
                self._told[record.fingerprint] = told
        self._forget(now)
        for record in records[:LOGGED_RECORDS]:
            log_record(record)
        if len(records) > LOGGED_RECORDS:
            logger.info(
                "%d records of crashes taken in",
                len(records),
                extra=log_fields(outcome="known", refused=self.refused),
            )

    def confirm_crashes(self) -> None:
        """See which of the servers that broke runs off are known to have ended."""
        now = self._clock.now()
        for fingerprint, losses in list(self._losses.items()):
            for backend_id, loss in list(losses.items()):
                if not loss.has_ended and self._has_ended(backend_id):
                    loss.has_ended = True
                    self._due.set()
                    self._log_loss(fingerprint, backend_id, "ended")
                elif not loss.has_ended and now - loss.at > CONFIRM_S:
                    del losses[backend_id]
                    self._log_loss(fingerprint, backend_id, "not ended")
                elif loss.told_at is not None and now - loss.told_at > TOLD_KEPT_S:
                    del losses[backend_id]
            if not losses:
                del self._losses[fingerprint]

    def _log_loss(self, fingerprint: bytes, backend_id: str, outcome: str) -> None:
        logger.info(
            "%s broke off a request that had just begun",
            backend_id,
            extra=log_fields(fingerprint=fingerprint.hex(), outcome=outcome),
        )

    async def until_due(self) -> None:
        """Wait until there is something to tell control."""
        await self._due.wait()

    def due(self) -> CrashReport:
        """Return what is to be told, and take it as told."""
        self._due.clear()
        now = self._clock.now()
        crashes = []
        for fingerprint, losses in self._losses.items():
            for backend_id, loss in losses.items():
                if loss.has_ended and loss.told_at is None:
                    loss.told_at = now
                    crashes.append((fingerprint, backend_id))
        cleared, self._cleared = tuple(self._cleared), set()
        return CrashReport(tuple(crashes), cleared)

    def not_told(self, report: CrashReport) -> None:
        """Take back that a report was told: control did not take it.

        Args:
            report: As :meth:`due` returned it.
        """
        for fingerprint, backend_id in report.crashes:
            loss = self._losses.get(fingerprint, {}).get(backend_id)
            if loss is not None:
                loss.told_at = None
        self._cleared.update(report.cleared)
        self._due.set()

    def _forget(self, now: float) -> None:
        self._told = {
            fingerprint: told
            for fingerprint, told in self._told.items()
            if now - told.last_at <= retention_s(len(told.names))
        }
        while len(self._told) > MAX_TRACKED_REQUESTS:
            counts = {name: len(told.names) for name, told in self._told.items()}
            del self._told[next_to_evict(counts)]
        self._tried_at = {
            name: at for name, at in self._tried_at.items() if name in self._told
        }
