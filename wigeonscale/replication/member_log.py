"""The members of the cluster at each position of the log."""

__all__ = ["MemberLog"]

from collections.abc import Iterable, Sequence

from wigeonscale.replication.model import EntryKind, Member
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.voters import members_from_wire
from wigeonscale.wire import wire_pb2 as wire


class MemberLog:
    """The changes of members in one replica's log, committed or not.

    Args:
        voters: Members of the first start, which hold until a change.

    Notes:
        A change counts from the moment it is appended (section 4.1 of the Raft
        dissertation), so a truncated one must be taken back.
    """

    def __init__(self, *, voters: Sequence[Member]):
        self._voters = tuple(voters)
        self._changes: list[tuple[int, tuple[Member, ...]]] = [(0, self._voters)]

    @property
    def latest(self) -> tuple[Member, ...]:
        """Members by the latest change."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """Log index of the latest change; 0 for the members of the first start."""
        return self._changes[-1][0]

    def at(self, index: int) -> tuple[Member, ...]:
        """Return the members by the latest change up to ``index``."""
        return next(members for at, members in reversed(self._changes) if at <= index)

    def load(self, storage: LogStorage) -> None:
        """Read the changes anew from snapshot and log."""
        snapshot = storage.snapshot
        if snapshot and snapshot.members:
            self._changes = [(snapshot.index, snapshot.members)]
        else:
            self._changes = [(0, self._voters)]
        first = max(storage.base_index, self.index) + 1
        self.add(storage.entries(first, storage.last_index))

    def add(self, entries: Iterable[wire.LogEntry]) -> None:
        """Take up the changes among entries just appended."""
        for entry in entries:
            if entry.kind == EntryKind.MEMBERS:
                voters = wire.VoterSet.FromString(entry.data).voters
                self._changes.append((entry.index, members_from_wire(voters)))

    def drop_from(self, index: int) -> None:
        """Drop the changes from ``index`` (1 or more) on, which was truncated."""
        self._changes = [change for change in self._changes if change[0] < index]
