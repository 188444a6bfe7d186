"""Durable storage of one replica: vote, log entries and snapshot.

Entries are appended in memory first and become durable with
:meth:`LogStorage.sync`; concurrent callers share one sync (group commit). A write
always completes, even if its caller is cancelled, so that memory and disk stay
consistent.
"""

__all__ = ["LogStorage"]

import asyncio
import contextlib
import logging
from collections.abc import Coroutine, Iterable, Iterator, Sequence
from dataclasses import replace

from wigeonscale.adapters.logs import log_fields
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication.files import (
    LOG_NAME,
    SNAPSHOT_NAME,
    VOTE_NAME,
    Admission,
    Snapshot,
    VoteState,
    encode_snapshot,
    encode_vote,
    initial_admission,
    load_files,
)
from wigeonscale.replication.folder import Folder
from wigeonscale.replication.model import EntryKind
from wigeonscale.replication.records import encode_record
from wigeonscale.replication.waiting import run_shielded
from wigeonscale.wire import wire_pb2 as wire

DAMAGED_SUFFIX = ".damaged"

logger = logging.getLogger(__name__)


class LogStorage:
    """Vote, log and snapshot of one replica.

    Args:
        folder: Data folder port.

    Attributes:
        vote: Durable vote state.
        snapshot: Newest durable snapshot, or None.
        base_index: Index before the first entry in memory.
        base_term: Term at that index.
        synced_index: Index of the last durable entry.
        syncs: Number of syncs of log entries so far.
    """

    def __init__(self, *, folder: Folder):
        self._folder = folder
        self._write_lock = asyncio.Lock()
        self._writes: set[asyncio.Task] = set()
        self._failure: OSError | None = None
        self._entries: list[wire.LogEntry] = []
        # Byte offsets of the durable entries in the log file.
        self._offsets: list[int] = []
        self._size = 0
        self.vote = VoteState()
        self.snapshot: Snapshot | None = None
        self.base_index = 0
        self.base_term = 0
        self.synced_index = 0
        self.syncs = 0

    async def load(self, new_storage_id: str, *, is_first_start: bool = False) -> str:
        """Read the folder, drop a torn tail and back up damaged files.

        A damaged file does not stop the replica: it keeps the valid part, takes a new
        storage id and may not vote until it has caught up and the others have
        admitted it again.

        Args:
            new_storage_id: Storage id to take if the folder is empty or damaged.
            is_first_start: Whether the cluster starts for the first time, so that an
                empty folder has lost nothing.

        Returns:
            Description of the damage; empty if there is none.
        """
        with self._recording_failure():
            loaded = load_files(self._folder)
        if loaded is None:
            admission = initial_admission(self._folder, is_first_start=is_first_start)
            await self.save_vote(
                VoteState(storage_id=new_storage_id, admission=admission)
            )
            await self._run_write(self._rewrite())
            return ""
        self._entries = loaded.entries
        self.base_index = loaded.base_index
        self.base_term = loaded.base_term
        self.snapshot = loaded.snapshot
        if not loaded.damage:
            self.vote = loaded.vote
        else:
            logger.error("damaged storage: %s", loaded.damage)
            # The vote is written first: after a crash between the two writes, the
            # replica must not vote on the basis of an incomplete log.
            await self.save_vote(self._vote_after_damage(loaded.vote, new_storage_id))
            await self._run_write(self._back_up_damaged_files())
        await self._run_write(self._rewrite())
        return loaded.damage

    # ------------------------------------------------------------- reading

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def has_changes(self) -> bool:
        """Whether the log contains commands or changes of members, durable or not."""
        return self.base_index > 0 or any(
            entry.kind != EntryKind.NO_OP for entry in self._entries
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> wire.LogEntry:
        """Return the entry at ``index``, which must be in memory."""
        return self._entries[index - self.base_index - 1]

    def entries(self, first: int, last: int) -> Sequence[wire.LogEntry]:
        """Return the entries ``first..last``, inclusive; all must be in memory."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> list[wire.LogEntry]:
        """Return entries from ``first`` on, limited in number and total bytes."""
        selected = []
        size = 0
        for entry in self.entries(first, min(self.last_index, first + max_entries - 1)):
            size += len(entry.data)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    # ------------------------------------------------------------- writing

    async def save_vote(self, vote: VoteState) -> None:
        """Make the vote state durable.

        Raises:
            ValueError: The term would decrease.
        """
        await self._run_write(self._save_vote(vote))

    def append(self, entries: Sequence[wire.LogEntry]) -> None:
        """Append entries in memory; :meth:`sync` makes them durable."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise WigeonscaleError(
                    ErrorKind.CORRUPT_LOG,
                    f"entry {entry.index} does not follow entry {self.last_index}",
                )
            self._entries.append(entry)

    async def sync(self) -> None:
        """Wait until all entries appended so far are durable."""
        target = self.last_index
        if self.synced_index < target:
            await self._run_write(self._sync_to(target))

    async def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones, also on disk."""
        await self._run_write(self._truncate_from(index))

    async def save_snapshot(self, snapshot: Snapshot, keep_from: int) -> None:
        """Make a snapshot durable, then remove entries before ``keep_from``.

        Args:
            snapshot: The snapshot; ignored unless it is newer than the current one.
            keep_from: Index of the first entry to keep, at most
                ``snapshot.index + 1``. A log that has no entry at the snapshot's
                index and term is dropped completely.
        """
        await self._run_write(self._save_snapshot(snapshot, keep_from))

    async def close(self) -> None:
        """Wait for the writes in progress and release the data folder."""
        await asyncio.gather(*self._writes, return_exceptions=True)
        self._folder.close()

    async def _run_write(self, write: Coroutine) -> None:
        await run_shielded(self._writes, self._run_exclusively(write))

    async def _run_exclusively(self, write: Coroutine) -> None:
        async with self._write_lock:
            if self._failure is not None:
                write.close()
                raise self._failure
            with self._recording_failure():
                await write

    @contextlib.contextmanager
    def _recording_failure(self) -> Iterator[None]:
        try:
            yield
        except OSError as exc:
            # After a failed sync the content of the disk is unknown.
            self._failure = exc
            logger.error(
                "data folder failed, stopping this replica: %s",
                exc,
                extra=log_fields(outcome="storage-failed", file=exc.filename),
            )
            raise

    async def _save_vote(self, vote: VoteState) -> None:
        if vote.term < self.vote.term:
            raise ValueError(
                f"term {vote.term} is lower than the current term {self.vote.term}"
            )
        await self._folder.replace(VOTE_NAME, encode_vote(vote))
        self.vote = vote

    async def _sync_to(self, target: int) -> None:
        first = self.synced_index + 1
        last = self.last_index
        if first > min(target, last):
            return
        data, offsets = _encode(self.entries(first, last), self._size)
        await self._folder.append(LOG_NAME, data)
        self.syncs += 1
        self._offsets += offsets
        self._size += len(data)
        self.synced_index = last

    async def _truncate_from(self, index: int) -> None:
        position = index - self.base_index - 1
        del self._entries[position:]
        self.synced_index = min(self.synced_index, index - 1)
        if position < len(self._offsets):
            self._size = self._offsets[position]
            del self._offsets[position:]
            await self._folder.truncate(LOG_NAME, self._size)

    async def _save_snapshot(self, snapshot: Snapshot, keep_from: int) -> None:
        if self.snapshot and snapshot.index <= self.snapshot.index:
            return
        await self._folder.replace(SNAPSHOT_NAME, encode_snapshot(snapshot))
        self.snapshot = snapshot
        if self.term_at(snapshot.index) != snapshot.term:
            self._entries = []
            self.base_index = snapshot.index
            self.base_term = snapshot.term
        elif keep_from > self.base_index + 1:
            base_term = self.term_at(keep_from - 1)
            del self._entries[: keep_from - self.base_index - 1]
            self.base_index = keep_from - 1
            self.base_term = base_term
        await self._rewrite()

    async def _rewrite(self) -> None:
        base = wire.LogEntry(
            index=self.base_index, term=self.base_term, kind=EntryKind.BASE
        )
        last = self.last_index
        data, offsets = _encode([base, *self._entries], 0)
        self._offsets = offsets[1:]
        self._size = len(data)
        await self._folder.replace(LOG_NAME, data)
        self.synced_index = last

    async def _back_up_damaged_files(self) -> None:
        for name in (LOG_NAME, SNAPSHOT_NAME):
            data = self._folder.read(name)
            if data is not None:
                await self._folder.replace(name + DAMAGED_SUFFIX, data)
        snapshot = self.snapshot or Snapshot()
        await self._folder.replace(SNAPSHOT_NAME, encode_snapshot(snapshot))

    def _vote_after_damage(
        self, vote: VoteState | None, new_storage_id: str
    ) -> VoteState:
        known = vote or VoteState()
        voted_for = known.voted_for if known.term >= self.last_term else ""
        return replace(
            known,
            term=max(known.term, self.last_term),
            voted_for=voted_for,
            storage_id=new_storage_id,
            admission=Admission.AWAITING,
        )


def _encode(entries: Iterable[wire.LogEntry], offset: int) -> tuple[bytes, list[int]]:
    """Return the encoded records of entries and the file offset of each."""
    records = []
    offsets = []
    for entry in entries:
        record = encode_record(entry.SerializeToString())
        offsets.append(offset)
        records.append(record)
        offset += len(record)
    return b"".join(records), offsets
