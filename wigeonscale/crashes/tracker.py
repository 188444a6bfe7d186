"""One entry's record of requests and prompt parts that crash backend servers."""

__all__ = ["CrashTracker"]

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.aborted_starts import CONFIRMATION_TIMEOUT_S, AbortedStarts
from wigeonscale.crashes.aborts import AbortTimes
from wigeonscale.crashes.attribution import Suspect, refusal_s_among
from wigeonscale.crashes.common_parts import CommonParts
from wigeonscale.crashes.confirmed import ConfirmedRecords
from wigeonscale.crashes.fingerprint import is_part_key
from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    UNCERTAIN_REFUSAL_S,
    refusal_s,
)
from wigeonscale.crashes.proven import ProvenParts
from wigeonscale.crashes.records import CrashReport, KnownCrashes, key_fields
from wigeonscale.crashes.trials import (
    TRIAL_INTERVAL_S,
    TRIAL_RETRY_AFTER_S,
    Trials,
    early_trial_at,
)
from wigeonscale.crashes.withdrawals import Withdrawals
from wigeonscale.ports import Clock

# The crash of a part that has run before is reported after this delay, and not at all
# if a run with the part goes well meanwhile. Popular parts occur in almost all crashes.
PROVEN_REPORT_DELAY_S = 1.0
# An early trial is left for this long to requests in which nothing else is suspected. A
# crash under another suspect would look like one under the part.
CLEAN_TRIAL_S = 2.0

logger = logging.getLogger(__name__)


def _always() -> bool:
    return True


class CrashTracker:
    """Decides what is refused because it crashes backend servers.

    Refused are single requests, whatever their id, and parts of prompts, whatever else
    a request holds. Both are named by keys.

    Many requests run on a server when it crashes. Only those that had just started
    there become suspects, with the parts of their prompts, and only if the server is
    confirmed to have ended; one that answers again has not. A suspect that later runs
    without a crash is cleared. Each entry reports its findings to control, which
    distributes them to all entries.

    Args:
        clock: Clock port.
        is_serving: Returns whether a backend server is known and not leaving.
        has_ended: Returns whether an incarnation is known to have ended.
        rng: Source of randomness for the length of uncertain refusals and the times
            of reports. It lets the entries retry a refused request one after another,
            so that the result of the first retry reaches the others in time.
        is_connected: Returns whether control can be reached.

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
        is_connected: Callable[[], bool] = _always,
    ):
        self._clock = clock
        self._uncertain_refusal_s = UNCERTAIN_REFUSAL_S * (1.0 + rng.random())
        self._is_serving = is_serving
        self._report_ready = asyncio.Event()
        # Set, and replaced, by each update from control.
        self._records_changed = asyncio.Event()
        self._confirmed = ConfirmedRecords(clock=clock)
        self._aborted_starts = AbortedStarts(
            clock=clock, has_ended=has_ended, is_connected=is_connected
        )
        self._withdrawals = Withdrawals(clock=clock, has_ended=has_ended)
        self._proven_parts = ProvenParts(clock=clock)
        self._common_parts = CommonParts(clock=clock, rng=rng)
        self._trials = Trials(clock=clock)
        self._cleared: set[bytes] = set()
        # Last send of each request that has been refused before.
        self._retried_at: dict[bytes, float] = {}
        self._abort_times = AbortTimes(clock=clock)

    def count_refused(self, *, parts: bool = False) -> int:
        """Return the number of requests, or of parts, that control's records refuse.

        Args:
            parts: Whether to count parts of prompts instead of requests.
        """
        now = self._clock.now()
        return sum(
            now < record.last_at + refusal_s(len(record.backends))
            for key, record in self._confirmed.items()
            if is_part_key(key) is parts
        )

    def is_suspect(self, key: bytes) -> bool:
        """Return whether a request or part may have crashed a backend server."""
        if key in self._aborted_starts:
            self.confirm_crashes()
        return key in self._confirmed or key in self._aborted_starts

    def is_suspect_elsewhere(self, key: bytes, backend_ids: Collection[str]) -> bool:
        """Return whether a request or part may have crashed any other server.

        Args:
            key: Fingerprint of the request, or key of the part.
            backend_ids: Servers whose crashes do not count.
        """
        if not self.is_suspect(key):
            return False
        suspected = {*self._confirmed.backends(key), *self._aborted_starts.of(key)}
        return not suspected <= set(backend_ids)

    def refusal_remaining_s(self, key: bytes) -> float:
        """Return how much longer a request or part is refused, in seconds.

        Args:
            key: Fingerprint of the request, or key of the part.

        Returns:
            The duration; 0 if it is not refused. An early trial is not considered.
        """
        now = self._clock.now()
        refused_until = self._refused_until(key)
        if refused_until is None:
            return 0.0
        if now < refused_until or not self._needs_trial(key):
            return max(0.0, refused_until - now)
        # A whole request is tried without a grant if control gives no answer.
        is_tried_alone = key in self._proven_parts or not is_part_key(key)
        record = self._confirmed.get(key)
        return self._trials.wait_s(key, record, is_tried_alone=is_tried_alone)

    def _needs_trial(self, key: bytes) -> bool:
        """Return whether control grants the tries of a key after its refusal."""
        record = self._confirmed.get(key)
        grants_all = record is not None and record.failed_trials is not None
        return is_part_key(key) or grants_all

    def refused_keys(self, keys: Collection[bytes]) -> dict[bytes, float]:
        """Return what is refused in a request, and for how long, in seconds.

        Args:
            keys: All that may be refused in the request.
        """
        remaining_s = {key: self._remaining_with_trial_s(key, keys) for key in keys}
        return {key: wait_s for key, wait_s in remaining_s.items() if wait_s > 0}

    def _remaining_with_trial_s(self, key: bytes, keys: Collection[bytes]) -> float:
        """Return how much longer a key is refused if it may be tried early."""
        remaining_s = self.refusal_remaining_s(key)
        early_at = self._early_trial_at(key, keys)
        refused_until = None if early_at is None else self._refused_until(key)
        if refused_until is None:
            return remaining_s
        now = self._clock.now()
        if self._trials.is_granted(key, self._confirmed.get(key)):
            is_reserved = now < min(early_at, refused_until) + CLEAN_TRIAL_S
            is_left = is_reserved and not self._is_only_suspect(key, keys)
            return TRIAL_RETRY_AFTER_S if is_left else 0.0
        return min(remaining_s, max(early_at - now, TRIAL_RETRY_AFTER_S))

    def _early_trial_at(self, key: bytes, keys: Collection[bytes]) -> float | None:
        """Return when a refused part may be tried early; None if it may not.

        Args:
            key: Key of the part.
            keys: All that may be refused in the request.
        """
        record = self._confirmed.get(key)
        if record is None or not is_part_key(key):
            return None
        aborts = self._aborted_starts.of(key).values()
        crashed_at = [abort.at for abort in aborts if abort.has_ended]
        return early_trial_at(
            record,
            max([record.last_at, *crashed_at]),
            is_accompanied=key not in self._proven_parts
            and any(other in self._proven_parts for other in keys),
        )

    def _is_only_suspect(self, key: bytes, keys: Collection[bytes]) -> bool:
        return not any(other != key and self.is_suspect(other) for other in keys)

    def _refused_until(self, key: bytes) -> float | None:
        """Return until when a request or part is refused; None if it is not."""
        if not self.is_suspect(key):
            return None
        confirmed = self._confirmed.get(key)
        aborts = self._aborted_starts.of(key)
        crashed = self._crashed_backends(key)
        is_proven = key in self._proven_parts
        broken = {name for name, abort in aborts.items() if abort.is_broken}
        is_unconfirmed = not is_proven and not broken <= crashed
        if is_unconfirmed and len(crashed | broken) >= CRASHES_TO_REFUSE:
            # It is not known yet whether the last server crashed or only aborted a run.
            return self._clock.now() + CONFIRMATION_TIMEOUT_S
        if len(crashed) < CRASHES_TO_REFUSE:
            return None
        instants = [abort.at for abort in aborts.values() if abort.has_ended]
        if confirmed is not None:
            instants += [confirmed.first_at, confirmed.last_at]
        refused_s = refusal_s_among(
            Suspect(crashed, is_proven),
            self._other_suspects(key),
            span_s=max(instants) - min(instants),
            uncertain_s=self._uncertain_refusal_s,
        )
        refused_until = max(instants) + refused_s
        if is_part_key(key):
            return refused_until if refused_s else None
        retried_at = self._retried_at.get(key, float("-inf"))
        return max(refused_until, retried_at + CONFIRMATION_TIMEOUT_S)

    def ask_for_trials(
        self, refused: Collection[bytes], *, keys: Collection[bytes] = ()
    ) -> bool:
        """Ask control for trials of the refused parts of one request.

        If several of them are refused, other requests with only one of them may show
        which is the cause, so these ask first.

        Args:
            refused: What is refused in the request.
            keys: All that may be refused in the request.

        Returns:
            Whether the request may be sent if control grants what was asked now.
        """
        now = self._clock.now()
        keys = {*keys, *refused}
        asked = [
            key
            for key in refused
            if key in self._confirmed
            and self._needs_trial(key)
            and now >= self._trial_due_at(key, refused, keys)
            and self._trials.ask(key, self._confirmed.get(key))
        ]
        if asked:
            self._report_ready.set()
        return len(asked) == len(refused)

    def _trial_due_at(
        self, key: bytes, refused: Collection[bytes], keys: Collection[bytes]
    ) -> float:
        """Return when a request may ask for the trial of a part."""
        refused_until = self._refused_until(key) or self._clock.now()
        early_at = self._early_trial_at(key, keys)
        if early_at is None:
            return refused_until + (TRIAL_INTERVAL_S if len(refused) > 1 else 0.0)
        delay_s = 0.0 if self._is_only_suspect(key, keys) else CLEAN_TRIAL_S
        return min(early_at, refused_until) + delay_s

    async def wait_for_records(self) -> None:
        """Wait for the next update from control."""
        await self._records_changed.wait()

    def _other_suspects(self, key: bytes) -> list[Suspect]:
        suspects = []
        for other in {*self._confirmed, *self._aborted_starts} - {key}:
            crashed = self._crashed_backends(other)
            if len(crashed) >= CRASHES_TO_REFUSE:
                suspects.append(Suspect(crashed, other in self._proven_parts))
        return suspects

    def _crashed_backends(self, key: bytes) -> frozenset[str]:
        aborts = self._aborted_starts.of(key)
        ended = {name for name, abort in aborts.items() if abort.has_ended}
        return self._confirmed.backends(key) | ended

    def note_sent(self, fingerprint: bytes, parts: Iterable[bytes] = ()) -> None:
        """Record that a request is sent; retries after a refusal are sent singly.

        Load pattern: a refusal expires, and several copies of the request arrive at
        the same time. Only one is sent, and its outcome decides about the others.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Keys of the parts of its prompt.
        """
        if len(self._confirmed.backends(fingerprint)) >= CRASHES_TO_REFUSE:
            self._retried_at[fingerprint] = self._clock.now()
        for key in (fingerprint, *parts):
            if len(self._crashed_backends(key)) >= CRASHES_TO_REFUSE:
                self._trials.note_sent(key)

    def note_not_run(self, parts: Iterable[bytes]) -> None:
        """Record that a request that was sent did not run, so that it was no trial.

        Args:
            parts: Keys of the parts of its prompt.
        """
        for key in parts:
            self._trials.note_not_run(key)

    def note_aborted_start(
        self,
        fingerprint: bytes,
        backend_id: str,
        parts: Iterable[bytes] = (),
        *,
        is_broken: bool = True,
    ) -> bool:
        """Record that a run that had just started was aborted.

        Args:
            fingerprint: Fingerprint of the request.
            backend_id: Incarnation of the backend server.
            parts: Keys of the parts of its prompt.
            is_broken: Whether the server broke it off; if not, its silence ended the
                run, and it may go on.

        Returns:
            True if this is a new suspicion of a crash. False if it was recorded before,
            or if the server is leaving or no longer known: it then ended on purpose.
        """
        if not self._is_serving(backend_id):
            return False
        keys = (fingerprint, *parts)
        new = [key for key in keys if not self._is_recorded(key, backend_id)]
        for key in new:
            self._aborted_starts.add(key, backend_id, is_broken=is_broken)
        self.confirm_crashes()
        return fingerprint in new

    def _is_recorded(self, key: bytes, backend_id: str) -> bool:
        is_aborted = backend_id in self._aborted_starts.of(key)
        return is_aborted or backend_id in self._confirmed.backends(key)

    def note_abort(self, backend_id: str) -> None:
        """Record that a backend server aborted a run."""
        self._abort_times.note(backend_id)

    def was_aborting(self, backend_id: str, *, before: float) -> bool:
        """Return whether a server had started to abort runs by a local instant."""
        return self._abort_times.was_aborting(backend_id, before=before)

    def clear_suspect(self, fingerprint: bytes, parts: Iterable[bytes] = ()) -> None:
        """Clear a request that ran without a crash, and the parts of its prompt.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Keys of the parts of its prompt.
        """
        parts = tuple(parts)
        self._clear(fingerprint)
        for key in parts:
            self._proven_parts.note(key)
            self._clear(key)
        self._common_parts.note_run(parts)
        if self._common_parts.is_due():
            self._report_ready.set()

    def _clear(self, key: bytes) -> None:
        if not self.is_suspect(key):
            return
        backends = self._confirmed.backends(key)
        self._confirmed.pop(key)
        self._retried_at.pop(key, None)
        self._trials.discard(key)
        aborts = self._aborted_starts.pop(key)
        if backends or any(abort.reported_at is not None for abort in aborts.values()):
            self._cleared.add(key)
            self._report_ready.set()
        logger.info(
            "%s ran without a crash, its crash records are removed",
            "prompt part" if is_part_key(key) else "request",
            extra=log_fields(**key_fields(key), backends=sorted({*backends, *aborts})),
        )

    def apply_records(self, records: Iterable[KnownCrashes]) -> None:
        """Apply an update from control.

        Args:
            records: Requests and parts whose crashes changed, in the order of the
                changes.
        """
        records = list(records)
        self._confirmed.apply(records)
        self._records_changed.set()
        self._records_changed = asyncio.Event()
        for record in records:
            self._trials.restart_wait(record.fingerprint)
            if not record.trial:
                self._trials.note_crash(record.fingerprint)
            if not record.backends:
                self._aborted_starts.discard_reported(record.fingerprint)
            if is_part_key(record.fingerprint):
                self._note_ran_elsewhere(record)
        self._trials.retain({*self._confirmed, *self._aborted_starts})
        self._retried_at = {
            key: at for key, at in self._retried_at.items() if key in self._confirmed
        }

    def _note_ran_elsewhere(self, record: KnownCrashes) -> None:
        ran_age_s = record.ran_age_s
        if ran_age_s is not None:
            ran_at = self._clock.now() - ran_age_s
            self._common_parts.note_reported(
                record.fingerprint, ran_at, is_new=not record.backends
            )
        elif not record.backends and record.failed_trials is None:
            # Control of an older version tells only that the crashes were cleared.
            ran_age_s = record.age_s
        if ran_age_s is not None:
            self._proven_parts.note(record.fingerprint, age_s=ran_age_s)

    def confirm_crashes(self) -> None:
        """Check which servers that aborted runs have ended, and drop old records."""
        has_confirmed = self._aborted_starts.confirm()
        if self._withdrawals.check() or has_confirmed:
            self._report_ready.set()

    async def wait_for_report(self) -> None:
        """Wait until there is something to report to control."""
        await self._report_ready.wait()

    def take_report(self) -> CrashReport:
        """Return what is to be reported, and mark it as reported.

        Crashes of parts that have run before are held back for a short time; until
        then, :meth:`wait_for_report` does not wait.
        """
        self._report_ready.clear()
        now = self._clock.now()
        crashes = []
        for key, backend_id, abort in self._aborted_starts.unreported():
            if key in self._proven_parts and now - abort.at < PROVEN_REPORT_DELAY_S:
                self._report_ready.set()
                continue
            abort.reported_at = now
            self._withdrawals.note_reported(backend_id)
            crashes.append((key, backend_id))
        cleared, self._cleared = tuple(self._cleared), set()
        trials = self._trials.take_unreported()
        trial_id = self._trials.id if trials else ""
        ran = self._common_parts.take() if self._common_parts.is_due() else ()
        withdrawn = self._withdrawals.take()
        if self._withdrawals.check():
            self._report_ready.set()
        return CrashReport(tuple(crashes), cleared, trials, trial_id, ran, withdrawn)

    def restore_report(self, report: CrashReport) -> None:
        """Schedule a report again that could not be submitted to control.

        Args:
            report: The report, as returned by :meth:`take_report`.
        """
        for key, backend_id in report.crashes:
            abort = self._aborted_starts.of(key).get(backend_id)
            if abort is not None:
                abort.reported_at = None
        self._cleared.update(report.cleared)
        self._trials.restore(report.trials)
        self._common_parts.restore(report.ran)
        self._withdrawals.restore(report.withdrawn)
        self._report_ready.set()
