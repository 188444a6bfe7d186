"""Members of the cluster as of each log index."""

__all__ = ["MemberLog"]

from collections.abc import Iterable, Sequence

from wigeonscale.replication.model import EntryKind, Member
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.voters import members_from_wire
from wigeonscale.wire import wire_pb2 as wire


class MemberLog:
    """Changes of members in the log of one replica, committed or not.

    Args:
        initial_members: Members in effect until the first change.

    Notes:
        A change takes effect when it is appended (section 4.1 of the Raft
        dissertation), so it must be reverted if its entry is truncated.
    """

    def __init__(self, *, initial_members: Sequence[Member]):
        self._initial_members = tuple(initial_members)
        self._changes: list[tuple[int, tuple[Member, ...]]] = [
            (0, self._initial_members)
        ]

    @property
    def latest(self) -> tuple[Member, ...]:
        """Members according to the latest change."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """Log index of the latest change; 0 for the initial members."""
        return self._changes[-1][0]

    def at(self, index: int) -> tuple[Member, ...]:
        """Return the members as of the entry at ``index``."""
        return next(members for at, members in reversed(self._changes) if at <= index)

    def load(self, storage: LogStorage) -> None:
        """Reload the changes from snapshot and log."""
        snapshot = storage.snapshot
        if snapshot and snapshot.members:
            self._changes = [(snapshot.index, snapshot.members)]
        else:
            self._changes = [(0, self._initial_members)]
        first = max(storage.base_index, self.index) + 1
        self.add(storage.entries(first, storage.last_index))

    def add(self, entries: Iterable[wire.LogEntry]) -> None:
        """Add the changes among entries that were just appended."""
        for entry in entries:
            if entry.kind == EntryKind.MEMBERS:
                voters = wire.VoterSet.FromString(entry.data).voters
                self._changes.append((entry.index, members_from_wire(voters)))

    def drop_from(self, index: int) -> None:
        """Revert the changes from ``index`` (at least 1) on, after a truncation."""
        self._changes = [change for change in self._changes if change[0] < index]
