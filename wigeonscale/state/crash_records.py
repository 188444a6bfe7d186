"""Replicated records of which requests were running when backend servers crashed."""

__all__ = ["CrashRecords"]

from collections import OrderedDict
from collections.abc import Iterable

from wigeonscale.crashes import (
    CRASHES_TO_REFUSE,
    MAX_COMMON_PARTS,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    TRIAL_INTERVAL_S,
    next_to_evict,
    retention_s,
)
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000


class CrashRecords:
    """Backend servers that crashed, by the request or prompt part that they ran.

    Attributes:
        index: Log index of the newest change; 0 before any.

    Notes:
        Eviction depends on commands only, so that it is the same on all replicas. A
        cleared record is kept with no backends until it expires, so that watchers
        are notified that it was cleared. The record of a part that many good runs
        share is kept without any crash, so that an entry that starts knows it before
        it may be suspected.
    """

    def __init__(self):
        self.index = 0
        # Ordered by last change, newest last.
        self._records: OrderedDict[bytes, wire.CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, found: wire.RecordCrashes, *, index: int, now_ms: int) -> bool:
        """Apply the findings of an entry.

        Args:
            found: New crashes, keys of requests and parts that ran without one,
                trials that the entry asks for, parts that many runs share, and servers
                that were reported before and have not crashed.
            index: Log index of the command.
            now_ms: Largest wall time of any command so far, in milliseconds.

        Returns:
            Whether anything changed.
        """
        has_changed = False
        for crash in found.crashes:
            has_changed |= self._add(crash, index, now_ms)
        for fingerprint in found.cleared:
            has_changed |= self._clear(fingerprint, index, now_ms)
        for key in found.trials:
            has_changed |= self._grant_trial(key, found.trial_id, index, now_ms)
        for key in found.ran:
            has_changed |= self._note_common(key, index, now_ms)
        for backend in found.withdrawn:
            has_changed |= self._withdraw(backend, index)
        if has_changed:
            self.index = index
            self._evict(now_ms)
        return has_changed

    def after(self, index: int) -> list[wire.CrashRecord]:
        """Return the records that changed after a log index, oldest change first.

        Args:
            index: Log index up to which the caller knows the records; 0 for none.
        """
        changed = []
        for record in reversed(self._records.values()):
            if record.index <= index:
                break
            changed.append(record)
        return changed[::-1]

    def _add(self, crash: wire.Crash, index: int, now_ms: int) -> bool:
        before = self._records.get(crash.fingerprint)
        backends = list(before.backends) if before is not None else []
        if not crash.fingerprint or crash.backend in backends:
            return False
        record = self._put(
            crash.fingerprint,
            [*backends, crash.backend][-MAX_CRASHES_PER_REQUEST:],
            index,
            now_ms,
        )
        if backends:
            record.first_ms = before.first_ms
        if before is not None:
            record.failed_trials = before.failed_trials + _is_on_trial(before, now_ms)
            record.ran_ms, record.is_common = before.ran_ms, before.is_common
        return True

    def _clear(self, fingerprint: bytes, index: int, now_ms: int) -> bool:
        before = self._records.get(fingerprint)
        if before is None or not before.backends:
            return False
        record = self._put(fingerprint, [], index, now_ms)
        record.ran_ms, record.is_common = now_ms, before.is_common
        return True

    def _note_common(self, key: bytes, index: int, now_ms: int) -> bool:
        """Keep a good run of a part, if there is room for another one."""
        record = self._records.get(key)
        if not key or (record is None and self._count_common() >= MAX_COMMON_PARTS):
            return False
        if record is None or not record.backends:
            record = self._put(key, [], index, now_ms)
        else:
            record.index = index
            self._records.move_to_end(key)
        record.ran_ms, record.is_common = now_ms, True
        return True

    def _withdraw(self, backend: str, index: int) -> bool:
        """Remove a server that has not crashed from all records."""
        blamed = [
            record for record in self._records.values() if backend in record.backends
        ]
        for record in blamed:
            record.backends.remove(backend)
            record.index = index
            self._records.move_to_end(record.fingerprint)
        return bool(blamed)

    def _count_common(self) -> int:
        return sum(record.is_common for record in self._records.values())

    def _grant_trial(self, key: bytes, trial_id: str, index: int, now_ms: int) -> bool:
        record = self._records.get(key)
        if record is None or not record.backends or not trial_id:
            return False
        if _is_on_trial(record, now_ms):
            return False
        record.trial, record.trial_ms, record.index = trial_id, now_ms, index
        self._records.move_to_end(key)
        return True

    def _put(
        self, fingerprint: bytes, backends: list[str], index: int, now_ms: int
    ) -> wire.CrashRecord:
        record = self._records[fingerprint] = wire.CrashRecord(
            fingerprint=fingerprint,
            backends=backends,
            wall_ms=now_ms,
            first_ms=now_ms,
            index=index,
            failed_trials=0,
        )
        self._records.move_to_end(fingerprint)
        return record

    def _evict(self, now_ms: int) -> None:
        expired = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now_ms - record.wall_ms > MS_PER_S * retention_s(len(record.backends))
        ]
        for fingerprint in expired:
            del self._records[fingerprint]
        while len(self._records) > MAX_TRACKED_REQUESTS:
            counts = {
                name: len(r.backends)
                for name, r in self._records.items()
                if len(r.backends) >= CRASHES_TO_REFUSE or not r.is_common
            }
            del self._records[next_to_evict(counts)]

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        snapshot.crashes.extend(self._records.values())

    def load(self, records: Iterable[wire.CrashRecord]) -> None:
        """Replace the contents by the records of a snapshot.

        Args:
            records: Ordered by last change, newest last.
        """
        self._records.clear()
        for record in records:
            kept = wire.CrashRecord()
            kept.CopyFrom(record)
            self._records[kept.fingerprint] = kept
        self.index = max((r.index for r in self._records.values()), default=0)


def _is_on_trial(record: wire.CrashRecord, now_ms: int) -> bool:
    age_ms = now_ms - record.trial_ms
    return bool(record.trial) and age_ms < MS_PER_S * TRIAL_INTERVAL_S
