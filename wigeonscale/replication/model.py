"""Data types and protocols of the replicated log."""

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
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(IntEnum):
    """Kind of a log entry; the values are those of the wire format."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2
    BASE = 3  # on disk only: the position before the first entry of the log file


@dataclass(frozen=True, slots=True)
class Member:
    """One replica of the log.

    Attributes:
        node_id: Stable identifier.
        address: ip:port of its gRPC server.
        voting: Whether it counts towards the quorum.
        storage_id: Identity of the disk that was admitted to vote; empty for a
            member that comes from the settings.
    """

    node_id: str
    address: str
    voting: bool = True
    storage_id: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Timeouts and batch sizes of a replica.

    Attributes:
        election_timeout_s: Time without a message of the leader before a follower
            starts an election, in seconds. The actual timeout is drawn at random
            between this and 1.5 times this. It is also the length of the leader's
            lease: a leader that no majority has acknowledged for this long steps
            down.
        heartbeat_s: Longest interval between two messages to a follower, in
            seconds.
        snapshot_entries: Number of applied entries between two snapshots.
        batch_entries: Maximum number of entries in one append request.
        batch_bytes: Maximum size of the entries in one append request, in bytes. A
            single entry may be larger.
        sync_before_send: Whether the leader syncs an entry before it sends it; the
            baseline of a benchmark.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    snapshot_entries: int = 2000
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    sync_before_send: bool = False


class StateMachine(Protocol):
    """State machine that committed entries are applied to; must be deterministic.

    Notes:
        A state machine may have two optional methods: ``preparation(data)`` for a
        command and ``restore_preparation(data)`` for a snapshot. Each returns None
        or a function that is called in a thread before the command is applied or
        the snapshot is restored. That function must not change anything that
        results depend on.
    """

    def apply(self, index: int, term: int, data: bytes) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state, serialised."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by one that :meth:`snapshot` returned."""


class SharedState(Protocol):
    """Soft state that replicas piggyback on append requests and replies.

    It is neither stored nor agreed on, and may be lost, duplicated or delayed.
    """

    def to_peer(self, node_id: str) -> bytes:
        """Return the data to send to a peer."""

    def from_peer(self, node_id: str, data: bytes) -> None:
        """Process the data that a peer sent."""


class NotLeaderError(WigeonscaleError):
    """A proposal was made to a replica that is not the leader.

    Args:
        node_id: Replica that received the proposal.
        leader: Address of the leader; empty when it is not known.
    """

    def __init__(self, *, node_id: str, leader: str):
        known = f"the leader is at {leader}" if leader else "no leader is known"
        super().__init__(
            ErrorKind.NOT_LEADER,
            f"replica {node_id} is not the leader; {known}",
            retry_after=0.5,
        )
        self.leader = leader
