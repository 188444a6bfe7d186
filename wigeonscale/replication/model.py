"""Plain data of the replicated log: roles, members, options and the state machine."""

__all__ = [
    "EntryKind",
    "Member",
    "NotLeaderError",
    "ReplicaOptions",
    "Role",
    "SharedState",
    "StateMachine",
]

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Protocol

from wigeonscale.errors import ErrorKind, WigeonscaleError


class Role(StrEnum):
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(IntEnum):
    """What a log entry carries; the values are those of the wire."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2
    BASE = 3  # only on disk: position before the first entry of the file


@dataclass(frozen=True, slots=True)
class Member:
    """One replica of the log.

    Attributes:
        node_id: Stable name.
        address: ip:port of its gRPC server.
        voting: Whether it counts in the quorum.
        storage_id: Identity of the disk that was admitted; empty in settings.
    """

    node_id: str
    address: str
    voting: bool = True
    storage_id: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Times and sizes of a replica.

    Attributes:
        election_timeout_s: Silence of the leader before an election; the real
            wait is drawn between this and one and a half times this. It is the
            leader's lease too: without a majority for as long it steps down.
        heartbeat_s: Longest pause between two messages to a follower.
        snapshot_entries: Applied entries between two snapshots.
        batch_entries: Most entries in one append.
        batch_bytes: Most bytes of entries in one append, but for a single one.
        sync_before_send: Plain variant for measurements: the leader syncs an
            entry before it sends it.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    snapshot_entries: int = 2000
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    sync_before_send: bool = False


class StateMachine(Protocol):
    """What the committed entries are applied to; must be deterministic.

    Notes:
        A machine may have two more methods, ``preparation(data)`` for a command and
        ``restore_preparation(data)`` for a snapshot. They return a function to be
        called in a thread before the command is applied or the snapshot restored,
        or None. It must change nothing that the results depend on.
    """

    def apply(self, index: int, term: int, data: bytes) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that :meth:`snapshot` returned."""


class SharedState(Protocol):
    """Soft state that replicas pass on with the messages of the log.

    Nothing of it is stored or agreed on; it may be lost, doubled or late.
    """

    def to_peer(self, node_id: str) -> bytes:
        """Return what a peer shall know now."""

    def from_peer(self, node_id: str, data: bytes) -> None:
        """Take in what a peer told."""


class NotLeaderError(WigeonscaleError):
    """Only the leader takes proposals.

    Args:
        node_id: Replica that was asked.
        leader: Address of the leader as far as known, else empty.
    """

    def __init__(self, *, node_id: str, leader: str):
        known = f"the leader is at {leader}" if leader else "no leader is known"
        super().__init__(
            ErrorKind.NOT_LEADER,
            f"replica {node_id} does not lead; {known}",
            retry_after=0.5,
        )
        self.leader = leader
