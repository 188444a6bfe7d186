"""The replicated log: election, replication, storage, snapshots, membership."""

__all__ = [
    "DiskFolder",
    "Folder",
    "GrpcLinks",
    "Link",
    "Links",
    "Member",
    "NotLeaderError",
    "Replica",
    "ReplicaOptions",
    "ReplicationServicer",
    "Role",
    "SharedState",
    "StateMachine",
]

from wigeonscale.replication.folder import DiskFolder, Folder
from wigeonscale.replication.links import (
    GrpcLinks,
    Link,
    Links,
    ReplicationServicer,
)
from wigeonscale.replication.model import (
    Member,
    NotLeaderError,
    ReplicaOptions,
    Role,
    SharedState,
    StateMachine,
)
from wigeonscale.replication.replica import Replica
