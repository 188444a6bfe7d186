"""Entries attached to control, over all replicas."""

__all__ = ["Entries"]

from wigeonscale.wire import wire_pb2 as wire


class Entries:
    """Which control replica each entry is attached to.

    An entry stands here once, with the replica that named it last, so that one
    which moves between replicas is never counted twice.
    """

    def __init__(self):
        self._replicas: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def replica_of(self, entry: str) -> str | None:
        """Return the control replica an entry is attached to, or None.

        Args:
            entry: Name of the entry.

        Returns:
            Node id of the replica.
        """
        return self._replicas.get(entry)

    def attached_to(self, replica: str) -> set[str]:
        """Return the entries attached to a replica.

        Args:
            replica: Node id of the control replica.

        Returns:
            Their names, at a cost that grows with the number of all entries.
        """
        return {entry for entry, at in self._replicas.items() if at == replica}

    def replicas(self) -> list[str]:
        """Return the control replicas that entries are attached to, sorted."""
        return sorted(set(self._replicas.values()))

    def apply(self, command: wire.CountEntries) -> None:
        """Take in what a replica found.

        Args:
            command: Entries attached to it, and gone from it.
        """
        for entry in command.gone:
            if self._replicas.get(entry) == command.replica:
                del self._replicas[entry]
        for entry in command.attached:
            self._replicas[entry] = command.replica

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write everything into a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for replica in self.replicas():
            attached = sorted(self.attached_to(replica))
            snapshot.entries.add(replica=replica, attached=attached)

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace everything by what a snapshot holds.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self._replicas.clear()
        for record in snapshot.entries:
            self.apply(record)
