"""One entry's record of requests that crash backend servers."""

__all__ = ["CrashTracker"]

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.aborts import AbortTimes
from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    MAX_TRACKED_REQUESTS,
    UNCERTAIN_REFUSAL_S,
    next_to_evict,
    refusal_s,
    refusal_s_among,
    retention_s,
)
from wigeonscale.crashes.records import (
    AbortedStart,
    ConfirmedCrashes,
    CrashReport,
    KnownCrashes,
    log_record,
)
from wigeonscale.ports import Clock

# A backend server that aborted a run counts as crashed if control detects within this
# time that it has ended: by a refused probe in 0.02 to 0.3 s, by two unanswered probes
# later.
CONFIRMATION_TIMEOUT_S = 3.0
# How long a reported crash is kept here, until control's update that includes it has
# arrived.
REPORTED_RETENTION_S = 5.0
# Records of one update that are logged individually. A starting entry may receive all
# records in one update.
MAX_LOGGED_RECORDS = 16

logger = logging.getLogger(__name__)


class CrashTracker:
    """Decides which requests are refused because they crash backend servers.

    Many requests run on a server when it crashes. Only those that had just started
    there become suspects, and only if the server is confirmed to have ended. A suspect
    that later completes without a crash is cleared. Each entry reports its findings to
    control, which distributes them to all entries.

    Args:
        clock: Clock port.
        is_serving: Returns whether a backend server is known and not leaving.
        has_ended: Returns whether an incarnation is known to have ended.
        rng: Source of randomness for the length of uncertain refusals. It lets the
            entries retry such a request one after another, so that the result of the
            first retry reaches the others in time.

    Notes:
        Memory is bounded by :data:`~wigeonscale.crashes.MAX_TRACKED_REQUESTS`, and
        records expire.
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
        self._uncertain_refusal_s = UNCERTAIN_REFUSAL_S * (1.0 + rng.random())
        self._is_serving = is_serving
        self._has_ended = has_ended
        self._report_ready = asyncio.Event()
        # In the order of the last update.
        self._confirmed: dict[bytes, ConfirmedCrashes] = {}
        self._aborted_starts: dict[bytes, dict[str, AbortedStart]] = {}
        self._cleared: set[bytes] = set()
        # Last send of each request that has been refused before.
        self._retried_at: dict[bytes, float] = {}
        self._abort_times = AbortTimes(clock=clock)

    @property
    def refused(self) -> int:
        """Number of requests currently refused according to control's records."""
        now = self._clock.now()
        return sum(
            now < confirmed.last_at + refusal_s(len(confirmed.backends))
            for confirmed in self._confirmed.values()
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a request may have crashed a backend server."""
        if fingerprint in self._aborted_starts:
            self.confirm_crashes()
        return fingerprint in self._confirmed or fingerprint in self._aborted_starts

    def refusal_remaining_s(self, fingerprint: bytes) -> float:
        """Return how much longer a request is refused, in seconds; 0 if it is not.

        Args:
            fingerprint: Fingerprint of the request.
        """
        if not self.is_suspect(fingerprint):
            return 0.0
        now = self._clock.now()
        confirmed = self._confirmed.get(fingerprint)
        aborts = self._aborted_starts.get(fingerprint, {})
        backends = confirmed.backends if confirmed is not None else frozenset()
        new = {n: abort for n, abort in aborts.items() if abort.has_ended}
        is_unconfirmed = len(new) < len(aborts)
        if is_unconfirmed and len(backends | aborts.keys()) >= CRASHES_TO_REFUSE:
            # It is not known yet whether the last server crashed or only aborted a run.
            return CONFIRMATION_TIMEOUT_S
        if len(backends | new.keys()) < CRASHES_TO_REFUSE:
            return 0.0
        instants = [abort.at for abort in new.values()]
        if confirmed is not None:
            instants += [confirmed.first_at, confirmed.last_at]
        refused_s = refusal_s_among(
            backends | new.keys(),
            self._other_suspects(fingerprint),
            span_s=max(instants) - min(instants),
            uncertain_s=self._uncertain_refusal_s,
        )
        retried_at = self._retried_at.get(fingerprint, float("-inf"))
        allowed_at = max(max(instants) + refused_s, retried_at + CONFIRMATION_TIMEOUT_S)
        return max(0.0, allowed_at - now)

    def _other_suspects(self, fingerprint: bytes) -> list[frozenset[str]]:
        return [
            confirmed.backends
            for other, confirmed in self._confirmed.items()
            if other != fingerprint and len(confirmed.backends) >= CRASHES_TO_REFUSE
        ]

    def _confirmed_backends(self, fingerprint: bytes) -> frozenset[str]:
        confirmed = self._confirmed.get(fingerprint)
        return confirmed.backends if confirmed is not None else frozenset()

    def note_sent(self, fingerprint: bytes) -> None:
        """Record that a request is sent; retries after a refusal are sent singly.

        Load pattern: a refusal expires, and several copies of the request arrive at
        the same time. Only one is sent, and its outcome decides about the others.

        Args:
            fingerprint: Fingerprint of the request.
        """
        if len(self._confirmed_backends(fingerprint)) >= CRASHES_TO_REFUSE:
            self._retried_at[fingerprint] = self._clock.now()

    def note_aborted_start(self, fingerprint: bytes, backend_id: str) -> bool:
        """Record that a backend server aborted a run that had just started.

        Args:
            fingerprint: Fingerprint of the request.
            backend_id: Incarnation of the backend server.

        Returns:
            True if this is a new suspicion of a crash. False if it was recorded before,
            or if the server is leaving or no longer known: it then ended on purpose.
        """
        aborts = self._aborted_starts.get(fingerprint, {})
        if backend_id in aborts or backend_id in self._confirmed_backends(fingerprint):
            return False
        if not self._is_serving(backend_id):
            return False
        while len(self._aborted_starts) >= MAX_TRACKED_REQUESTS:
            del self._aborted_starts[next(iter(self._aborted_starts))]
        abort = AbortedStart(self._clock.now())
        self._aborted_starts.setdefault(fingerprint, {})[backend_id] = abort
        self.confirm_crashes()
        return True

    def note_abort(self, backend_id: str) -> None:
        """Record that a backend server aborted a run."""
        self._abort_times.note(backend_id)

    def was_aborting(self, backend_id: str, *, before: float) -> bool:
        """Return whether a server had started to abort runs by a local instant."""
        return self._abort_times.was_aborting(backend_id, before=before)

    def clear_suspect(self, fingerprint: bytes) -> None:
        """Clear a request that ran without a crash, and drop its crash records."""
        if not self.is_suspect(fingerprint):
            return
        backends = self._confirmed_backends(fingerprint)
        self._confirmed.pop(fingerprint, None)
        self._retried_at.pop(fingerprint, None)
        aborts = self._aborted_starts.pop(fingerprint, {})
        if backends or any(abort.reported_at is not None for abort in aborts.values()):
            self._cleared.add(fingerprint)
            self._report_ready.set()
        logger.info(
            "request completed without a crash, its crash records are removed",
            extra=log_fields(
                fingerprint=fingerprint.hex(),
                backends=sorted({*backends, *aborts}),
            ),
        )

    def apply_records(self, records: Iterable[KnownCrashes]) -> None:
        """Apply an update from control.

        Args:
            records: Requests whose crashes changed, in the order of the changes.
        """
        now = self._clock.now()
        records = list(records)
        for record in records:
            self._confirmed.pop(record.fingerprint, None)
            if record.backends:
                last_at = now - record.age_s
                backends = frozenset(record.backends)
                confirmed = ConfirmedCrashes(backends, last_at - record.span_s, last_at)
                self._confirmed[record.fingerprint] = confirmed
        self._evict(now)
        for record in records[:MAX_LOGGED_RECORDS]:
            log_record(record)
        if len(records) > MAX_LOGGED_RECORDS:
            logger.info(
                "applied %d crash records from control",
                len(records),
                extra=log_fields(outcome="known", refused=self.refused),
            )

    def confirm_crashes(self) -> None:
        """Check which servers that aborted runs have ended, and drop old records."""
        now = self._clock.now()
        for fingerprint, aborts in list(self._aborted_starts.items()):
            for backend_id, abort in list(aborts.items()):
                if not abort.has_ended and self._has_ended(backend_id):
                    abort.has_ended = True
                    self._report_ready.set()
                    self._log_aborted_start(fingerprint, backend_id, "ended")
                elif not abort.has_ended and now - abort.at > CONFIRMATION_TIMEOUT_S:
                    del aborts[backend_id]
                    self._log_aborted_start(fingerprint, backend_id, "not ended")
                elif (
                    abort.reported_at is not None
                    and now - abort.reported_at > REPORTED_RETENTION_S
                ):
                    del aborts[backend_id]
            if not aborts:
                del self._aborted_starts[fingerprint]

    def _log_aborted_start(
        self, fingerprint: bytes, backend_id: str, outcome: str
    ) -> None:
        logger.info(
            "backend server %s aborted a request that had just started",
            backend_id,
            extra=log_fields(fingerprint=fingerprint.hex(), outcome=outcome),
        )

    async def wait_for_report(self) -> None:
        """Wait until there is something to report to control."""
        await self._report_ready.wait()

    def take_report(self) -> CrashReport:
        """Return what is to be reported, and mark it as reported."""
        self._report_ready.clear()
        now = self._clock.now()
        crashes = []
        for fingerprint, aborts in self._aborted_starts.items():
            for backend_id, abort in aborts.items():
                if abort.has_ended and abort.reported_at is None:
                    abort.reported_at = now
                    crashes.append((fingerprint, backend_id))
        cleared, self._cleared = tuple(self._cleared), set()
        return CrashReport(tuple(crashes), cleared)

    def restore_report(self, report: CrashReport) -> None:
        """Schedule a report again that could not be submitted to control.

        Args:
            report: The report, as returned by :meth:`take_report`.
        """
        for fingerprint, backend_id in report.crashes:
            abort = self._aborted_starts.get(fingerprint, {}).get(backend_id)
            if abort is not None:
                abort.reported_at = None
        self._cleared.update(report.cleared)
        self._report_ready.set()

    def _evict(self, now: float) -> None:
        self._confirmed = {
            fingerprint: confirmed
            for fingerprint, confirmed in self._confirmed.items()
            if now - confirmed.last_at <= retention_s(len(confirmed.backends))
        }
        while len(self._confirmed) > MAX_TRACKED_REQUESTS:
            counts = {
                name: len(confirmed.backends)
                for name, confirmed in self._confirmed.items()
            }
            del self._confirmed[next_to_evict(counts)]
        self._retried_at = {
            name: at for name, at in self._retried_at.items() if name in self._confirmed
        }
