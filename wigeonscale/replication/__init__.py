"""The replicated log: election, replication, storage, snapshots, membership."""

__all__ = [
    "Member",
    "NotLeaderError",
    "Replica",
    "ReplicaOptions",
    "Role",
    "StateMachine",
]

from wigeonscale.replication.model import (
    Member,
    NotLeaderError,
    ReplicaOptions,
    Role,
    StateMachine,
)
from wigeonscale.replication.replica import Replica
