"""Crash records of control, as known to one entry."""

__all__ = ["ConfirmedRecords"]

import logging
from collections.abc import Iterable, Iterator

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.policy import (
    MAX_TRACKED_REQUESTS,
    next_to_evict,
    retention_s,
)
from wigeonscale.crashes.records import ConfirmedCrashes, KnownCrashes, log_record
from wigeonscale.ports import Clock

# Records of one update that are logged individually. A starting entry may receive all
# records in one update.
MAX_LOGGED_RECORDS = 16

logger = logging.getLogger(__name__)


class ConfirmedRecords:
    """Confirmed crashes by the key of a request or part, in the order of updates.

    Args:
        clock: Clock port.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._records: dict[bytes, ConfirmedCrashes] = {}

    def __contains__(self, key: bytes) -> bool:
        return key in self._records

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._records)

    def get(self, key: bytes) -> ConfirmedCrashes | None:
        """Return the crashes of a request or part; None if there are none."""
        return self._records.get(key)

    def items(self) -> Iterable[tuple[bytes, ConfirmedCrashes]]:
        """Return pairs of a key and its crashes."""
        return self._records.items()

    def backends(self, key: bytes) -> frozenset[str]:
        """Return the servers that crashed while they ran a request or part."""
        record = self._records.get(key)
        return record.backends if record is not None else frozenset()

    def pop(self, key: bytes) -> None:
        """Remove the crashes of a request or part."""
        self._records.pop(key, None)

    def apply(self, updates: Iterable[KnownCrashes]) -> None:
        """Apply an update from control.

        Args:
            updates: Records that changed, in the order of the changes.
        """
        now = self._clock.now()
        # Records of parts that only ran change nothing here.
        updates = [
            update
            for update in updates
            if update.backends or update.fingerprint in self._records
        ]
        for update in updates:
            self._records.pop(update.fingerprint, None)
            if update.backends:
                last_at = now - update.age_s
                self._records[update.fingerprint] = ConfirmedCrashes(
                    frozenset(update.backends),
                    last_at - update.span_s,
                    last_at,
                    trial=update.trial,
                    trial_at=now - update.trial_age_s,
                    failed_trials=update.failed_trials,
                )
        self._evict(now)
        for update in updates[:MAX_LOGGED_RECORDS]:
            log_record(update)
        if len(updates) > MAX_LOGGED_RECORDS:
            logger.info(
                "applied %d crash records from control",
                len(updates),
                extra=log_fields(outcome="known", records=len(self._records)),
            )

    def _evict(self, now: float) -> None:
        self._records = {
            key: record
            for key, record in self._records.items()
            if now - record.last_at <= retention_s(len(record.backends))
        }
        while len(self._records) > MAX_TRACKED_REQUESTS:
            counts = {
                key: len(record.backends) for key, record in self._records.items()
            }
            del self._records[next_to_evict(counts)]
