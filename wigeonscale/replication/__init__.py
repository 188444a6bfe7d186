"""Replicated log based on Raft, with election, snapshots and membership changes."""

__all__ = [
    "DiskFolder",
    "Folder",
    "GrpcTransport",
    "Member",
    "NotLeaderError",
    "PeerClient",
    "Replica",
    "ReplicaOptions",
    "ReplicationServicer",
    "Role",
    "SharedState",
    "StateMachine",
    "Transport",
]

from wigeonscale.replication.folder import DiskFolder, Folder
from wigeonscale.replication.model import (
    Member,
    NotLeaderError,
    ReplicaOptions,
    Role,
    SharedState,
    StateMachine,
)
from wigeonscale.replication.replica import Replica
from wigeonscale.replication.transport import (
    GrpcTransport,
    PeerClient,
    ReplicationServicer,
    Transport,
)
