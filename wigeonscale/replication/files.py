"""Content, encoding and loading of the files of a replica."""

__all__ = [
    "FIRST_START_NAME",
    "LOG_NAME",
    "SNAPSHOT_NAME",
    "VOTE_NAME",
    "Admission",
    "LoadedFiles",
    "Snapshot",
    "VoteState",
    "encode_snapshot",
    "encode_vote",
    "initial_admission",
    "load_files",
]

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import StrEnum

from google.protobuf.message import DecodeError

from wigeonscale.replication.folder import Folder
from wigeonscale.replication.model import EntryKind, Member
from wigeonscale.replication.records import (
    ScanFault,
    decode_single,
    encode_record,
    scan_records,
)
from wigeonscale.replication.voters import members_from_wire, members_to_wire
from wigeonscale.wire import wire_pb2 as wire

VOTE_NAME = "vote"
# Marks a folder of the first start in which no vote was saved yet; see
# ``wigeonscale.daemons.early_marker``.
FIRST_START_NAME = "first-start"
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"


class Admission(StrEnum):
    """Whether a replica may vote."""

    NEW = "new"  # empty folder: either bootstrap or a lost disk, not yet known
    FIRST_START = "first-start"  # empty folder that has never voted; see admission.py
    AWAITING = "awaiting"  # lost what it acknowledged; may not vote until admitted
    ADMITTED = "admitted"


@dataclass(frozen=True, slots=True)
class VoteState:
    """State that must be durable before a replica answers a message.

    Attributes:
        term: Highest term seen.
        voted_for: Candidate voted for in that term, or empty.
        storage_id: Identity of this disk; a new one is drawn after each data loss.
        admission: Whether the replica may vote.
    """

    term: int = 0
    voted_for: str = ""
    storage_id: str = ""
    admission: Admission = Admission.NEW


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after the entry at one log position."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    data: bytes = b""


@dataclass(slots=True)
class LoadedFiles:
    """Content of a data folder.

    Attributes:
        vote: Vote state, or None if its file is missing or damaged.
        snapshot: Newest snapshot, or None.
        base_index: Index before the first entry.
        base_term: Term at that index.
        entries: Valid entries with consecutive indexes.
        damage: Description of the damage with file, entry and byte offset; empty
            if there is none.
    """

    vote: VoteState | None = None
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: list[wire.LogEntry] = field(default_factory=list)
    damage: str = ""

    def add_damage(self, text: str) -> None:
        """Add one description to :attr:`damage`."""
        self.damage = f"{self.damage}; {text}" if self.damage else text


def encode_vote(vote: VoteState) -> bytes:
    """Return the content of the vote file."""
    return encode_record(json.dumps(asdict(vote)).encode())


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the content of the snapshot file."""
    message = wire.SnapshotChunk(
        last_index=snapshot.index,
        last_term=snapshot.term,
        voters=members_to_wire(snapshot.members),
        data=snapshot.data,
        final=True,
    )
    return encode_record(message.SerializeToString())


def load_files(folder: Folder) -> LoadedFiles | None:
    """Read a data folder.

    Args:
        folder: Data folder port.

    Returns:
        Its content, or None if nothing was ever acknowledged from this folder.
    """
    vote_file = folder.read(VOTE_NAME)
    log_file = folder.read(LOG_NAME)
    snapshot_file = folder.read(SNAPSHOT_NAME)
    if vote_file is None and log_file is None and snapshot_file is None:
        return None
    loaded = LoadedFiles(vote=_decode_vote(vote_file))
    if loaded.vote is None:
        loaded.add_damage(f"{VOTE_NAME}: {_describe_damage(vote_file)}")
    elif loaded.vote.admission in (Admission.NEW, Admission.FIRST_START):
        return None
    if snapshot_file is not None:
        _load_snapshot(loaded, snapshot_file)
    _load_log(loaded, log_file)
    _reconcile_snapshot(loaded)
    return loaded


def initial_admission(folder: Folder, *, is_first_start: bool) -> Admission:
    """Return the admission of a replica from whose folder nothing was acknowledged.

    Args:
        folder: Data folder port.
        is_first_start: Whether the cluster starts for the first time. A folder that was
            created then remains one of the first start until it is admitted.
    """
    vote = _decode_vote(folder.read(VOTE_NAME))
    was_first_start = vote is not None and vote.admission is Admission.FIRST_START
    is_marked = vote is None and folder.read(FIRST_START_NAME) is not None
    is_first_start = is_first_start or was_first_start or is_marked
    return Admission.FIRST_START if is_first_start else Admission.NEW


def _load_snapshot(loaded: LoadedFiles, data: bytes) -> None:
    snapshot = _decode_snapshot(data)
    if snapshot is None:
        loaded.add_damage(f"{SNAPSHOT_NAME}: {_describe_damage(data)}")
    elif snapshot.index > 0:
        loaded.snapshot = snapshot


def _load_log(loaded: LoadedFiles, data: bytes | None) -> None:
    scan = scan_records(data or b"")
    entries = _decode_entries(scan.payloads)
    if not entries:
        loaded.add_damage(f"{LOG_NAME}: {_describe_damage(data)}")
        return
    base, *loaded.entries = entries
    loaded.base_index = base.index
    loaded.base_term = base.term
    if scan.fault is ScanFault.CORRUPT or len(entries) < len(scan.payloads):
        at = entries[-1].index + 1
        offset = (*scan.offsets, scan.valid_bytes)[len(entries)]
        loaded.add_damage(f"{LOG_NAME}: entry {at} at byte {offset} is corrupt")


def _reconcile_snapshot(loaded: LoadedFiles) -> None:
    """Align the log with the snapshot.

    A crash between the writes of the two files is not treated as damage.
    """
    snapshot = loaded.snapshot or Snapshot()
    if loaded.base_index > snapshot.index:
        loaded.add_damage(
            f"{LOG_NAME}: starts after entry {loaded.base_index}, but the snapshot"
            f" ends at entry {snapshot.index}"
        )
    elif _term_at(loaded, snapshot.index) == snapshot.term:
        return
    loaded.base_index = snapshot.index
    loaded.base_term = snapshot.term
    loaded.entries = []


def _term_at(loaded: LoadedFiles, index: int) -> int | None:
    position = index - loaded.base_index
    if position == 0:
        return loaded.base_term
    if position > len(loaded.entries):
        return None
    return loaded.entries[position - 1].term


def _describe_damage(data: bytes | None) -> str:
    return "missing" if data is None else "checksum does not match"


def _decode_entries(payloads: Iterable[bytes]) -> list[wire.LogEntry]:
    """Return the base record and the consecutive entries that follow it."""
    entries = []
    for payload in payloads:
        try:
            entry = wire.LogEntry.FromString(payload)
        except DecodeError:
            break
        if entries and entry.index != entries[-1].index + 1:
            break
        if not entries and entry.kind != EntryKind.BASE:
            break
        entries.append(entry)
    return entries


def _decode_vote(data: bytes | None) -> VoteState | None:
    payload = decode_single(data or b"")
    if payload is None:
        return None
    fields = json.loads(payload)
    fields["admission"] = Admission(fields["admission"])
    return VoteState(**fields)


def _decode_snapshot(data: bytes) -> Snapshot | None:
    payload = decode_single(data)
    if payload is None:
        return None
    message = wire.SnapshotChunk.FromString(payload)
    return Snapshot(
        index=message.last_index,
        term=message.last_term,
        members=members_from_wire(message.voters),
        data=message.data,
    )
